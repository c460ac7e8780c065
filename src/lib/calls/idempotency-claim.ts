/**
 * Makes a request with an idempotency key run at most once, whichever nodes its
 * repeats reach: before the first attempt, a record of the key is put into the
 * platform's store by compare-and-swap. Nobody who does not get the record in
 * sends the request on.
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

/** The right to send a request, or why there is none. @internal */
export type ClaimResult =
	| {readonly type: 'held'; readonly claim: IdempotencyClaim}
	/** Another request with the key holds it. */
	| {readonly type: 'taken'; readonly verdict: Verdict; readonly status: number | undefined}
	/** The store does not answer; nothing was sent. */
	| {readonly type: 'unavailable'; readonly reason: string};

/** A held key. @internal */
export type IdempotencyClaim = {
	/** Notes that the request ran, and with which status. */
	readonly finish: (status: number) => Promise<void>;
	/** Lets the key go after a request that was not run. */
	readonly release: () => Promise<void>;
};

/** The record's life in the store, by the platform's lease, in milliseconds: a day. */
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

	// A record that cannot be read still says that somebody took the key.
	const unreadable: ClaimRecord = {call: '', state: 'started'};
	return {record: parseJson(stored.value.value, recordSchema).unwrapOr(unreadable), revision: stored.value.revision};
}

function createClaim(store: Store, key: string, call: CallId, revision: number): IdempotencyClaim {
	const put = async (record: ClaimRecord): Promise<void> => {
		// If this write fails, the record keeps saying `started`: a repeat is then told that the request may have run.
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
 * Takes a key for a call.
 *
 * @param store - The platform's store.
 * @param scope - The route: the same key on another route is another key.
 * @param idempotencyKey - The caller's key.
 * @param call - The call.
 * @returns The fence, or why the request must not be sent.
 * @internal
 */
export async function claimIdempotencyKey(store: Store, scope: string, idempotencyKey: string, call: CallId): Promise<ClaimResult> {
	const key = getStoreKey(scope, idempotencyKey);
	const value = JSON.stringify({call, state: 'started'} satisfies ClaimRecord);
	let expectedRevision = 0;
	let reason = 'the store kept changing';
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
			// The answer to our own write was lost, but the write took effect.
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
