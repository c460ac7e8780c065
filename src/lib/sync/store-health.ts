/**
 * Whether this node reaches the store, as its own calls show it.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type MeshLog} from '../timeline/mesh-log.js';

/** @internal */
export type StoreHealth = {
	readonly noteSuccess: () => void;
	readonly noteFailure: (call: string, reason: string) => void;
	readonly isReachable: () => boolean;
	/** Milliseconds since the store last answered; `undefined` if its last call failed. */
	readonly getSeenMs: (now: number) => number | undefined;
	/** When the store was last reached again after it had been lost, in steady milliseconds. */
	readonly getReturnedAt: () => number;
};

/**
 * @param log - Told when the store is lost and when it is back.
 * @param handleReturn - Called when it is back: what was missed meanwhile is unknown.
 * @returns The state of a store that was not called yet.
 * @internal
 */
export function createStoreHealth(log: MeshLog, handleReturn: () => void): StoreHealth {
	let lostAt: number | undefined;
	let returnedAt = 0;
	let seenAt = readSteadyMs();
	return {
		noteSuccess() {
			seenAt = readSteadyMs();
			if (lostAt === undefined) {
				return;
			}

			log.record('info', {kind: 'store-back', afterMs: Math.round(seenAt - lostAt)});
			lostAt = undefined;
			returnedAt = seenAt;
			handleReturn();
		},
		noteFailure(call, reason) {
			if (lostAt === undefined) {
				lostAt = readSteadyMs();
				log.record('warn', {kind: 'store-lost', call, reason});
			}
		},
		isReachable: () => lostAt === undefined,
		getSeenMs: now => lostAt === undefined ? now - seenAt : undefined,
		getReturnedAt: () => returnedAt,
	};
}
