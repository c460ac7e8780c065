/**
 * Accepts submissions: the one place where the configuration's order is made.
 *
 * The order comes from a single compare-and-swap of the store's `head`. What
 * this node believes about itself, a lease or a clock plays no part in it, so
 * any node may accept, and any number of them at once.
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

/** What acceptance works with. @internal */
export type AcceptanceContext = {
	readonly store: Store;
	/** The newest version that this node holds. */
	readonly getConfiguration: () => Configuration;
	/** Takes over a newer version that acceptance came by. */
	readonly applyIfNewer: (configuration: Configuration, deltas: readonly Delta[]) => void;
	/** A number from 0 up to 1. */
	readonly random: () => number;
	readonly limits?: HeadLimits;
};

/** Rounds of reading and writing before a submission is given up on. */
const maximumAttemptCount = 12;

/** The wait before the second attempt, in milliseconds; it doubles, with jitter, up to the last. */
const initialBackoffMs = 20;
const maximumBackoffMs = 1000;

const unavailableRetryAfterMs = 2000;

/** One submission on its way, and what became of it so far. */
type PendingSubmission = {
	readonly submission: Submission;
	readonly outcome: SubmissionOutcome | undefined;
	/** A write that carried it had no answer, so it may be in force. */
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

/** Lays every open submission on the version, one on top of the other. */
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
			// A submission in doubt that the head does not know was not applied, so any outcome found now is the true one.
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
			return `the platform's store holds another version ${error.storeVersion} than the fleet; see "The store came back older" in the operators' guide`;
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
		// A page that is there already was written by an earlier try: its key names its content.
		return written.isOk() || written.error.type === 'conflict' ? ok(record) : err(written.error);
	}

	if (!needsSnapshot) {
		return ok(record);
	}

	const snapshot = await writeSnapshot(store, next);
	return snapshot.map(key => ({...record, snapshot: {version: next.version, key}}));
}

/** Removes what the new head no longer refers to. */
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
		// What is in doubt stays so until the head can be read: worth another attempt.
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
		return {pending: refuseUndecided(batch.pending, 'the platform\'s store refused a part of the configuration'), isFinished: true};
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
 * Accepts several submissions with one write, or says for each why not.
 *
 * @param context - What acceptance works with.
 * @param submissions - The submissions, in the order in which they arrived.
 * @returns The outcome of each, in the same order.
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

	return refuseUndecided(pending, 'other submissions came first, again and again; submit again').map((entry): SubmissionOutcome =>
		entry.outcome ?? {type: 'unknown', id: entry.submission.id});
}

/**
 * Looks up a submission whose outcome was `unknown`.
 *
 * @param context - What acceptance works with.
 * @param id - The submission's id.
 * @returns The version that carried it out, 0 if none did, or why that cannot be told.
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
