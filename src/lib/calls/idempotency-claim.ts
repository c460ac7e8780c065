/**
 * Ensures that a request with an idempotency key is executed at most once,
 * whichever nodes its retries reach: before the first attempt, the node claims
 * the key by writing a record to the platform's store with compare-and-swap. A
 * node whose write does not succeed does not send the request.
 *
 * @module
 */
import {z} from 'zod';
import {computeDigest} from '../common/digest.js';
import {type CallId} from '../common/ids.js';
import {parseJson} from '../common/parse-json.js';
import {type Verdict} from '../common/verdict.js';
import {type Store} from '../store/store.js';

const recordSchema = z.strictObject({
	call: z.string(),
	state: z.enum(['started', 'released', 'finished']),
	status: z.int().optional(),
}).readonly();

type ClaimRecord = z.infer<typeof recordSchema>;

/** A claim, which permits sending the request, or the reason why it must not be sent. @internal */
export type ClaimResult =
	| {readonly type: 'held'; readonly claim: IdempotencyClaim}
	/** Another request has claimed the key. */
	| {readonly type: 'taken'; readonly verdict: Verdict; readonly status: number | undefined}
	/** The store does not respond; the request was not sent. */
	| {readonly type: 'unavailable'; readonly reason: string};

/** The claim of a call on an idempotency key. @internal */
export type IdempotencyClaim = {
	/** Records that the request was executed, and the status of its response. */
	readonly finish: (status: number) => Promise<void>;
	/** Releases the key after a request that was not executed. */
	readonly release: () => Promise<void>;
};

/** TTL of the record in the store, kept by a lease of the platform: one day. */
export const claimTtlMs = 86_400_000;

const maximumWriteAttempts = 3;

function getStoreKey(scope: string, key: string): string {
	return `stonemoor/once/${computeDigest(`${scope} ${key}`)}`;
}

type StoredClaim = {readonly record: ClaimRecord | undefined; readonly revision: number};

async function readRecord(store: Store, key: string): Promise<StoredClaim | string> {
	const stored = await store.read(key);
	if (stored.isErr()) {
		return stored.error.reason;
	}

	if (stored.value === undefined) {
		return {record: undefined, revision: 0};
	}

	// An unreadable record still shows that another request claimed the key.
	const unreadable: ClaimRecord = {call: '', state: 'started'};
	return {record: parseJson(stored.value.value, recordSchema).unwrapOr(unreadable), revision: stored.value.revision};
}

function createClaim(store: Store, key: string, call: CallId, revision: number): IdempotencyClaim {
	const put = async (record: ClaimRecord): Promise<void> => {
		// If this write fails, the record stays in the state `started`, and a retry is told that the request may have been executed.
		await store.write({
			key, value: JSON.stringify(record), expectedRevision: revision, ttlMs: claimTtlMs,
		});
	};

	return {
		finish: async status => put({call, state: 'finished', status}),
		release: async () => put({call, state: 'released'}),
	};
}

function createTakenResult(record: ClaimRecord): ClaimResult {
	return {type: 'taken', verdict: record.state === 'finished' ? 'ran' : 'may-have-run', status: record.status};
}

/**
 * Claims an idempotency key for a call.
 *
 * @param store - The platform's store.
 * @param scope - The name of the route: the same key on another route is a different key.
 * @param idempotencyKey - The caller's key.
 * @param call - The call that claims the key.
 * @returns The claim, or why the request must not be sent.
 * @internal
 */
export async function claimIdempotencyKey(store: Store, scope: string, idempotencyKey: string, call: CallId): Promise<ClaimResult> {
	const key = getStoreKey(scope, idempotencyKey);
	const value = JSON.stringify({call, state: 'started'} satisfies ClaimRecord);
	let expectedRevision = 0;
	let reason = 'the record of the key changed during each attempt';
	for (let attempt = 0; attempt < maximumWriteAttempts; attempt++) {
		const written = await store.write({
			key, value, expectedRevision, ttlMs: claimTtlMs,
		});
		if (written.isOk()) {
			return {type: 'held', claim: createClaim(store, key, call, written.value)};
		}

		if (written.error.type === 'unavailable' || written.error.type === 'not-applied') {
			return {type: 'unavailable', reason: written.error.reason};
		}

		const current = await readRecord(store, key);
		if (typeof current === 'string') {
			return {type: 'unavailable', reason: current};
		}

		const {record, revision} = current;
		if (record?.call === call && record.state === 'started') {
			// The response to this call's own write was lost, but the write took effect.
			return {type: 'held', claim: createClaim(store, key, call, revision)};
		}

		if (record !== undefined && record.state !== 'released') {
			return createTakenResult(record);
		}

		expectedRevision = revision;
		reason = written.error.type;
	}

	return {type: 'unavailable', reason};
}
