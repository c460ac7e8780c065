/**
 * Bounds how many nodes one node sends its whole state to at once. Whoever
 * comes on top asks another node.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {createTokenBucket, takeToken} from '../common/token-bucket.js';

/** @internal */
export type FullStateLimit = {readonly tryAcquire: () => boolean};

/** Whole states a second that one node sends, and how many at once: at 2 MB each, some tens of megabits. */
const limits = {perSecond: 4, burst: 4} as const;

/**
 * @returns A limit that nothing has been taken of.
 * @internal
 */
export function createFullStateLimit(): FullStateLimit {
	let bucket = createTokenBucket(limits, readNow());
	return {
		tryAcquire() {
			const taken = takeToken(bucket, limits, readNow());
			bucket = taken.bucket;
			return taken.isTaken;
		},
	};
}
