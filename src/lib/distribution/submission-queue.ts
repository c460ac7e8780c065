/**
 * Queues submissions and accepts them in batches, with one write per batch.
 *
 * @module
 */
import {type Submission, type SubmissionOutcome} from '../configuration/submission.js';

/** @internal */
export type SubmissionQueue = {
	readonly submit: (submission: Submission) => Promise<SubmissionOutcome>;
};

type QueuedSubmission = {
	readonly submission: Submission;
	readonly resolve: (outcome: SubmissionOutcome) => void;
};

/** Maximum number of queued submissions; further ones are refused with a retry delay. */
const maximumQueuedCount = 500;

/** Maximum number of submissions in one write. */
const maximumBatchSize = 50;

const retryAfterMs = 1000;

/**
 * @param accept - Accepts a batch of submissions with one write.
 * @returns The queue.
 * @internal
 */
export function createSubmissionQueue(accept: (submissions: readonly Submission[]) => Promise<readonly SubmissionOutcome[]>): SubmissionQueue {
	let queue: readonly QueuedSubmission[] = [];
	let isRunning = false;

	const runBatch = async (batch: readonly QueuedSubmission[]): Promise<void> => {
		try {
			const outcomes = await accept(batch.map(entry => entry.submission));
			for (const [index, entry] of batch.entries()) {
				entry.resolve(outcomes[index] ?? {type: 'unknown', id: entry.submission.id});
			}
		} catch {
			// An unexpected exception: whether the batch was written is unknown.
			for (const entry of batch) {
				entry.resolve({type: 'unknown', id: entry.submission.id});
			}
		}
	};

	const runQueue = async (): Promise<void> => {
		if (isRunning) {
			return;
		}

		isRunning = true;
		while (queue.length > 0) {
			const batch = queue.slice(0, maximumBatchSize);
			queue = queue.slice(maximumBatchSize);
			await runBatch(batch);
		}

		isRunning = false;
	};

	return {
		async submit(submission) {
			if (queue.length >= maximumQueuedCount) {
				return {type: 'unavailable', reason: 'the submission queue of this node is full', retryAfterMs};
			}

			return new Promise(resolve => {
				queue = [...queue, {submission, resolve}];
				void runQueue();
			});
		},
	};
}
