/**
 * Keeps one node's calls on the store within its share, so that a herd of
 * nodes that all want something at once does not take the store down.
 *
 * @module
 */
import {errAsync, type ResultAsync} from 'neverthrow';
import {readNow} from '../common/clock.js';
import {createTokenBucket, takeToken, type TokenBucketLimits} from '../common/token-bucket.js';
import {type Store} from './store.js';

/** Counts of what a node asked of the store. @public */
export type StoreCounts = {
	readonly reads: number;
	readonly writes: number;
	readonly watches: number;
	readonly refused: number;
};

/** A store that counts and bounds its calls. @public */
export type BudgetedStore = Store & {readonly getCounts: () => StoreCounts};

/**
 * Puts a budget before a store.
 *
 * @param store - The store.
 * @param limits - Calls a second and the burst, all kinds together.
 * @returns The store, whose calls over the budget fail at once as `unavailable`.
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
		errAsync({type: 'unavailable', reason: 'this node has used up its share of calls on the store'});

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
