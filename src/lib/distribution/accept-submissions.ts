/**
 * Accepts submissions and thereby defines the order of configuration versions.
 *
 * A single compare-and-swap of the store's key `head` defines the order. It
 * depends on no role of this node, no lease and no clock, so any number of
 * nodes may accept submissions at the same time.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {waitFor} from '../common/clock.js';
import {type SubmissionId} from '../common/ids.js';
import {
	findSubmission, prepareDelta, type Configuration, type Delta,
} from '../configuration/configuration.js';
import {type ItemChange} from '../configuration/configured-item.js';
import {evaluateSubmission, findItemProblems} from '../configuration/evaluate-submission.js';
import {type Submission, type SubmissionOutcome} from '../configuration/submission.js';
import {type Store, type StoreError} from '../store/store.js';
import {
	defaultHeadLimits, headKey, planHeadRecord, type HeadLimits, type HeadRecord,
} from './head-record.js';
import {readHead, type HeadError, type HeadState} from './read-head.js';
import {removeKeys, removeSnapshot, writeSnapshot} from './snapshot.js';

/** The dependencies of acceptance. @internal */
export type AcceptanceContext = {
	readonly store: Store;
	/** Returns the newest version that this node holds. */
	readonly getConfiguration: () => Configuration;
	/** Applies a configuration that was read or written while accepting submissions, if it is newer than the active one. */
	readonly applyIfNewer: (configuration: Configuration, deltas: readonly Delta[]) => void;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
	readonly limits?: HeadLimits;
};

/** Maximum number of attempts to read and write the head before a submission fails. */
const maximumAttemptCount = 12;

/** Upper bound of the jittered delay before the second attempt; it doubles with each attempt up to {@link maximumBackoffMs}. */
const initialBackoffMs = 20;
const maximumBackoffMs = 1000;

const unavailableRetryAfterMs = 2000;

/** A submission in progress; its outcome is `undefined` until it is decided. */
type PendingSubmission = {
	readonly submission: Submission;
	readonly outcome: SubmissionOutcome | undefined;
	/** Whether a write with this submission got no answer, so that the submission may be in force. */
	readonly isUnconfirmed: boolean;
};

type Batch = {
	readonly pending: readonly PendingSubmission[];
	readonly changes: readonly ItemChange[];
	readonly ids: readonly SubmissionId[];
};

function mergeChanges(earlier: readonly ItemChange[], later: readonly ItemChange[]): readonly ItemChange[] {
	return [...earlier, ...later];
}

/** Evaluates the undecided submissions in order, each on the result of the ones before, and combines their changes. */
function planBatch(configuration: Configuration, pending: readonly PendingSubmission[]): Batch {
	let {tree} = configuration;
	let changes: readonly ItemChange[] = [];
	const ids: SubmissionId[] = [];
	const results = pending.map((entry): PendingSubmission => {
		const isDuplicate = ids.includes(entry.submission.id);
		if (entry.outcome !== undefined || isDuplicate) {
			return entry;
		}

		const evaluation = evaluateSubmission(configuration, tree, entry.submission);
		if (evaluation.type === 'settled') {
			// If an unconfirmed submission is not in the head, its write was not applied, so this outcome is the final one.
			return {...entry, outcome: evaluation.outcome};
		}

		tree = evaluation.tree;
		changes = mergeChanges(changes, evaluation.changes);
		ids.push(entry.submission.id);
		return entry;
	});
	return {pending: results, changes, ids};
}

function settleUndecided(pending: readonly PendingSubmission[], decide: (entry: PendingSubmission) => SubmissionOutcome | undefined): readonly PendingSubmission[] {
	return pending.map(entry => entry.outcome === undefined ? {...entry, outcome: decide(entry)} : entry);
}

function describeHeadError(error: HeadError): string {
	switch (error.type) {
		case 'unavailable': {
			return `the platform's store does not answer (${error.reason})`;
		}

		case 'store-behind': {
			return `the platform's store holds version ${error.storeVersion}, older than version ${error.version} that the fleet has applied; see "The store came back older" in the operators' guide`;
		}

		case 'fork': {
			return `the platform's store and the fleet have different histories at version ${error.storeVersion}; see "The store came back older" in the operators' guide`;
		}

		case 'damaged': {
			return `the platform's store holds a damaged configuration: ${error.reason}`;
		}
	}
}

function refuseUndecided(pending: readonly PendingSubmission[], reason: string): readonly PendingSubmission[] {
	return settleUndecided(pending, entry => entry.isUnconfirmed
		? {type: 'unknown', id: entry.submission.id}
		: {type: 'unavailable', reason, retryAfterMs: unavailableRetryAfterMs});
}

async function prepareHeadRecord(store: Store, state: HeadState, next: Configuration, delta: Delta, limits: HeadLimits): Promise<Result<HeadRecord, StoreError>> {
	const {record, page, needsSnapshot} = planHeadRecord(state.record, delta, limits);
	if (page !== undefined) {
		const written = await store.write({key: page.key, value: JSON.stringify(page.deltas), expectedRevision: 0});
		// A page that already exists was written by an earlier attempt: its key identifies its content.
		return written.isOk() || written.error.type === 'conflict' ? ok(record) : err(written.error);
	}

	if (!needsSnapshot) {
		return ok(record);
	}

	const snapshot = await writeSnapshot(store, next);
	return snapshot.map(key => ({...record, snapshot: {version: next.version, key}}));
}

/** Removes the pages and the snapshot that the new head no longer refers to. */
async function collectGarbage(store: Store, previous: HeadRecord | undefined, record: HeadRecord): Promise<void> {
	if (record.pages.length > 0 || previous === undefined || record.snapshot?.key === previous.snapshot?.key) {
		return;
	}

	await removeKeys(store, previous.pages.map(page => page.key));
	if (previous.snapshot !== undefined) {
		await removeSnapshot(store, previous.snapshot.key);
	}
}

type AttemptResult = {
	readonly pending: readonly PendingSubmission[];
	readonly isFinished: boolean;
};

async function runAttempt(context: AcceptanceContext, before: readonly PendingSubmission[]): Promise<AttemptResult> {
	const {store, limits = defaultHeadLimits} = context;
	const head = await readHead(store, context.getConfiguration());
	if (head.isErr()) {
		// Only the head shows whether an unconfirmed submission was applied, so try to read it again.
		const hasUnconfirmed = before.some(entry => entry.outcome === undefined && entry.isUnconfirmed);
		return hasUnconfirmed ? {pending: before, isFinished: false} : {pending: refuseUndecided(before, describeHeadError(head.error)), isFinished: true};
	}

	const {configuration, deltas, record: previous, revision} = head.value;
	context.applyIfNewer(configuration, deltas);
	const batch = planBatch(configuration, before);
	if (batch.ids.length === 0) {
		return {pending: batch.pending, isFinished: true};
	}

	const {delta, next} = prepareDelta(configuration, batch.changes, batch.ids);
	const record = await prepareHeadRecord(store, head.value, next, delta, limits);
	if (record.isErr()) {
		return {pending: refuseUndecided(batch.pending, 'a page or snapshot of the configuration could not be written to the platform\'s store'), isFinished: true};
	}

	const written = await store.write({key: headKey, value: JSON.stringify(record.value), expectedRevision: revision});
	if (written.isOk()) {
		context.applyIfNewer(next, [delta]);
		void collectGarbage(store, previous, record.value);
		return {pending: settleUndecided(batch.pending, () => ({type: 'accepted', version: next.version, isRepeated: false})), isFinished: true};
	}

	switch (written.error.type) {
		case 'conflict': {
			return {pending: batch.pending, isFinished: false};
		}

		case 'unknown': {
			return {pending: batch.pending.map(entry => entry.outcome === undefined ? {...entry, isUnconfirmed: true} : entry), isFinished: false};
		}

		case 'unavailable':
		case 'not-applied': {
			return {pending: refuseUndecided(batch.pending, written.error.reason), isFinished: true};
		}
	}
}

/**
 * Accepts several submissions with one write of the head.
 *
 * @param context - The dependencies.
 * @param submissions - The submissions, in the order in which they arrived.
 * @returns The outcome of each submission, in the same order.
 * @internal
 */
export async function acceptSubmissions(context: AcceptanceContext, submissions: readonly Submission[]): Promise<readonly SubmissionOutcome[]> {
	let pending = submissions.map((submission): PendingSubmission => {
		const problems = findItemProblems(submission.changes);
		return {submission, isUnconfirmed: false, outcome: problems.length === 0 ? undefined : {type: 'invalid', problems}};
	}) as readonly PendingSubmission[];
	for (let attempt = 0; attempt < maximumAttemptCount; attempt++) {
		const result = await runAttempt(context, pending);
		pending = result.pending;
		if (result.isFinished) {
			break;
		}

		await waitFor(context.random() * Math.min(maximumBackoffMs, initialBackoffMs * (2 ** attempt)));
	}

	return refuseUndecided(pending, 'the head could not be written, because other submissions were accepted first at every attempt; submit again').map((entry): SubmissionOutcome =>
		entry.outcome ?? {type: 'unknown', id: entry.submission.id});
}

/**
 * Looks up a submission whose outcome was `unknown`.
 *
 * @param context - The dependencies.
 * @param id - The submission's id.
 * @returns The version that applied the submission, 0 if none did, or why the head could not be read.
 * @internal
 */
export async function findSubmissionVersion(context: AcceptanceContext, id: SubmissionId): Promise<Result<number, string>> {
	const head = await readHead(context.store, context.getConfiguration());
	if (head.isErr()) {
		return err(describeHeadError(head.error));
	}

	context.applyIfNewer(head.value.configuration, head.value.deltas);
	return ok(findSubmission(head.value.configuration, id) ?? 0);
}
