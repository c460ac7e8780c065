/**
 * Takes submissions in and lets those that wait ride together on one write.
 *
 * @module
 */
import {type Submission, type SubmissionOutcome} from '../configuration/submission.js';

/** @internal */
export type SubmissionQueue = {
	readonly submit: (submission: Submission) => Promise<SubmissionOutcome>;
};

type Waiting = {
	readonly submission: Submission;
	readonly resolve: (outcome: SubmissionOutcome) => void;
};

/** Submissions that wait at once; more are told to come back. */
const maximumWaiting = 500;

/** Submissions that ride on one write. */
const maximumBatch = 50;

const retryAfterMs = 1000;

/**
 * @param accept - Accepts several submissions with one write.
 * @returns The queue.
 * @internal
 */
export function createSubmissionQueue(accept: (submissions: readonly Submission[]) => Promise<readonly SubmissionOutcome[]>): SubmissionQueue {
	let waiting: readonly Waiting[] = [];
	let isRunning = false;

	const runBatch = async (batch: readonly Waiting[]): Promise<void> => {
		try {
			const outcomes = await accept(batch.map(entry => entry.submission));
			for (const [index, entry] of batch.entries()) {
				entry.resolve(outcomes[index] ?? {type: 'unknown', id: entry.submission.id});
			}
		} catch {
			// An error of this program's own: whether anything was written is not known.
			for (const entry of batch) {
				entry.resolve({type: 'unknown', id: entry.submission.id});
			}
		}
	};

	const run = async (): Promise<void> => {
		if (isRunning) {
			return;
		}

		isRunning = true;
		while (waiting.length > 0) {
			const batch = waiting.slice(0, maximumBatch);
			waiting = waiting.slice(maximumBatch);
			await runBatch(batch);
		}

		isRunning = false;
	};

	return {
		async submit(submission) {
			if (waiting.length >= maximumWaiting) {
				return {type: 'unavailable', reason: 'too many submissions wait at this node', retryAfterMs};
			}

			return new Promise(resolve => {
				waiting = [...waiting, {submission, resolve}];
				void run();
			});
		},
	};
}
