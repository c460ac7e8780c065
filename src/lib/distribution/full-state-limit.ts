/**
 * Limits the rate at which a node sends its full state to other nodes. After a
 * refusal, the requesting node tries another one.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {createTokenBucket, takeToken} from '../common/token-bucket.js';

/** @internal */
export type FullStateLimit = {readonly tryAcquire: () => boolean};

/** Full-state replies per second, and the burst. At 2 MB per reply, this limits them to some tens of megabits per second. */
const limits = {perSecond: 4, burst: 4} as const;

/**
 * @returns A limit with its full burst available.
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
