/**
 * An in-memory stand-in for the platform's key-value store. It enforces the
 * limits of the store (request rates, value size) and simulates its faults:
 * latency, outages, writes that are dropped, responses that are lost after the
 * write took effect, expired leases and a restored backup.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {readNow} from '../../src/lib/common/clock.js';
import {createTokenBucket, takeToken, type TokenBucket} from '../../src/lib/common/token-bucket.js';
import {
	maximumValueBytes, type Store, type StoredValue, type StoreError, type StoreReadError, type StoreWatch, type StoreWrite,
} from '../../src/lib/store/store.js';

/** The current limits and faults of the store. */
export type StoreFaults = {
	/** Delay before each response, in milliseconds. */
	readonly latencyMs: number;
	readonly isDown: boolean;
	/** How many of the next writes take effect, but their response is lost. */
	readonly writesToLose: number;
	/** How many of the next writes are dropped before they take effect, without a response. */
	readonly writesToDrop: number;
	readonly readsPerSecond: number;
	readonly writesPerSecond: number;
};

/** Numbers of calls and bytes. A watch counts as one call, however long it waits. */
export type StoreCallCounts = {
	readonly reads: number;
	readonly writes: number;
	readonly watches: number;
	/** Calls of all kinds that exceeded the rate limit. */
	readonly refused: number;
	readonly bytesIn: number;
	readonly bytesOut: number;
};

/** All keys of the store with their values. */
export type StoreBackup = ReadonlyArray<readonly [string, StoredValue]>;

export type MemoryStore = Store & {
	readonly setFaults: (faults: Partial<StoreFaults>) => void;
	readonly getFaults: () => StoreFaults;
	readonly getCallCounts: () => StoreCallCounts;
	readonly createBackup: () => StoreBackup;
	/** Removes all leased keys at the same time, as if the platform had lost its leases. */
	readonly expireLeases: () => void;
	/** Replaces the content of the store by a backup. */
	readonly restoreBackup: (backup: StoreBackup) => void;
};

/** A store without faults, with its usual latency and rate limits. */
export const defaultFaults: StoreFaults = {
	latencyMs: 1, isDown: false, writesToLose: 0, writesToDrop: 0, readsPerSecond: 2000, writesPerSecond: 400,
};

const unavailableError: StoreReadError = {type: 'unavailable', reason: 'the store is down'};

export function createMemoryStore(initialFaults: Partial<StoreFaults> = {}): MemoryStore {
	let faults: StoreFaults = {...defaultFaults, ...initialFaults};
	let calls: StoreCallCounts = {
		reads: 0, writes: 0, watches: 0, refused: 0, bytesIn: 0, bytesOut: 0,
	};
	let values = new Map<string, StoredValue>();
	let watchers: ReadonlySet<() => void> = new Set();
	const buckets = new Map<'reads' | 'writes', TokenBucket>();
	const leasedRevisions = new Map<string, number>();

	const tryAcquire = (kind: 'reads' | 'writes'): boolean => {
		const perSecond = kind === 'reads' ? faults.readsPerSecond : faults.writesPerSecond;
		const limits = {perSecond, burst: perSecond};
		const taken = takeToken(buckets.get(kind) ?? createTokenBucket(limits, readNow()), limits, readNow());
		buckets.set(kind, taken.bucket);
		if (!taken.isTaken) {
			calls = {...calls, refused: calls.refused + 1};
		}

		return taken.isTaken;
	};

	const delay = async (): Promise<void> => {
		if (faults.latencyMs > 0) {
			await sleep(faults.latencyMs);
		}
	};

	const notifyWatchers = (): void => {
		for (const wake of watchers) {
			wake();
		}
	};

	const countBytesOut = (stored: StoredValue | undefined): void => {
		calls = {...calls, bytesOut: calls.bytesOut + (stored?.value.length ?? 0)};
	};

	const read = async (key: string): Promise<Result<StoredValue | undefined, StoreReadError>> => {
		calls = {...calls, reads: calls.reads + 1};
		await delay();
		if (faults.isDown) {
			return err(unavailableError);
		}

		if (!tryAcquire('reads')) {
			return err({type: 'unavailable', reason: 'rate limit of reads exceeded'});
		}

		const stored = values.get(key);
		countBytesOut(stored);
		return ok(stored);
	};

	const applyWrite = ({key, value, expectedRevision, ttlMs}: StoreWrite): Result<number, StoreError> => {
		const revision = values.get(key)?.revision ?? 0;
		if (revision !== expectedRevision) {
			return err({type: 'conflict', revision});
		}

		if (value === undefined) {
			values.delete(key);
		} else {
			values.set(key, {value, revision: revision + 1});
		}

		if (ttlMs !== undefined) {
			leasedRevisions.set(key, revision + 1);
			setTimeout(() => {
				if (values.get(key)?.revision === revision + 1) {
					values.delete(key);
				}
			}, ttlMs).unref();
		}

		notifyWatchers();
		return ok(revision + 1);
	};

	const write = async (request: StoreWrite): Promise<Result<number, StoreError>> => {
		calls = {...calls, writes: calls.writes + 1, bytesIn: calls.bytesIn + (request.value?.length ?? 0)};
		await delay();
		if (faults.isDown) {
			return err(unavailableError);
		}

		if (!tryAcquire('writes')) {
			return err({type: 'not-applied', reason: 'rate limit of writes exceeded'});
		}

		if (Buffer.byteLength(request.value ?? '') > maximumValueBytes) {
			return err({type: 'not-applied', reason: 'the value is too large'});
		}

		if (faults.writesToDrop > 0) {
			faults = {...faults, writesToDrop: faults.writesToDrop - 1};
			return err({type: 'unknown', reason: 'the answer was lost'});
		}

		const result = applyWrite(request);
		if (faults.writesToLose > 0) {
			faults = {...faults, writesToLose: faults.writesToLose - 1};
			return err({type: 'unknown', reason: 'the answer was lost'});
		}

		return result;
	};

	const waitForChange = async ({key, knownRevision, timeoutMs, signal}: StoreWatch): Promise<void> => {
		if ((values.get(key)?.revision ?? 0) !== knownRevision || signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = (): void => {
				clearTimeout(timer);
				watchers = new Set([...watchers].filter(watcher => watcher !== wake));
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const wake = (): void => {
				if (faults.isDown || (values.get(key)?.revision ?? 0) !== knownRevision) {
					finish();
				}
			};

			const timer = setTimeout(finish, timeoutMs);
			watchers = new Set([...watchers, wake]);
			signal?.addEventListener('abort', finish);
		});
	};

	const watch = async (request: StoreWatch): Promise<Result<StoredValue | undefined, StoreReadError>> => {
		calls = {...calls, watches: calls.watches + 1};
		await delay();
		if (faults.isDown) {
			return err(unavailableError);
		}

		if (!tryAcquire('reads')) {
			return err({type: 'unavailable', reason: 'rate limit of reads exceeded (watch)'});
		}

		await waitForChange(request);
		if (faults.isDown) {
			return err(unavailableError);
		}

		const stored = values.get(request.key);
		if ((stored?.revision ?? 0) === request.knownRevision) {
			return ok(undefined);
		}

		countBytesOut(stored);
		return ok(stored);
	};

	return {
		read: key => new ResultAsync(read(key)),
		write: request => new ResultAsync(write(request)),
		watch: request => new ResultAsync(watch(request)),
		setFaults(changes) {
			faults = {...faults, ...changes};
			notifyWatchers();
		},
		getFaults: () => faults,
		getCallCounts: () => calls,
		expireLeases() {
			for (const [key, revision] of leasedRevisions) {
				if (values.get(key)?.revision === revision) {
					values.delete(key);
				}
			}

			leasedRevisions.clear();
			notifyWatchers();
		},
		createBackup: () => [...values],
		restoreBackup(backup) {
			values = new Map(backup);
			notifyWatchers();
		},
	};
}
