/**
 * Limits the rate of one node's calls to the store, so that many nodes calling
 * at the same moment do not overload the store.
 *
 * @module
 */
import {errAsync, type ResultAsync} from 'neverthrow';
import {readNow} from '../common/clock.js';
import {createTokenBucket, takeToken, type TokenBucketLimits} from '../common/token-bucket.js';
import {type Store} from './store.js';

/** Counts of one node's calls to the store by kind, and of calls refused over the limit. @public */
export type StoreCounts = {
	readonly reads: number;
	readonly writes: number;
	readonly watches: number;
	readonly refused: number;
};

/** A store that counts its calls and limits their rate. @public */
export type BudgetedStore = Store & {readonly getCounts: () => StoreCounts};

/**
 * Wraps a store with a token bucket.
 *
 * @param store - The store to wrap.
 * @param limits - Rate in calls per second and burst, over reads, writes and watches together.
 * @returns A store whose calls over the limit fail immediately with `unavailable`.
 * @public
 */
export function createBudgetedStore(store: Store, limits: TokenBucketLimits): BudgetedStore {
	let bucket = createTokenBucket(limits, readNow());
	let counts: StoreCounts = {
		reads: 0, writes: 0, watches: 0, refused: 0,
	};

	const tryTakeToken = (): boolean => {
		const taken = takeToken(bucket, limits, readNow());
		bucket = taken.bucket;
		if (!taken.isTaken) {
			counts = {...counts, refused: counts.refused + 1};
		}

		return taken.isTaken;
	};

	const refuse = <T>(): ResultAsync<T, {readonly type: 'unavailable'; readonly reason: string}> =>
		errAsync({type: 'unavailable', reason: 'this node has exceeded its rate limit for calls to the store'});

	return {
		read(key) {
			if (!tryTakeToken()) {
				return refuse();
			}

			counts = {...counts, reads: counts.reads + 1};
			return store.read(key);
		},
		write(request) {
			if (!tryTakeToken()) {
				return refuse();
			}

			counts = {...counts, writes: counts.writes + 1};
			return store.write(request);
		},
		watch(request) {
			if (!tryTakeToken()) {
				return refuse();
			}

			counts = {...counts, watches: counts.watches + 1};
			return store.watch(request);
		},
		getCounts: () => counts,
	};
}
