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
	return {
		noteSuccess() {
			if (lostAt === undefined) {
				return;
			}

			const now = readSteadyMs();
			log.record('info', {kind: 'store-back', afterMs: Math.round(now - lostAt)});
			lostAt = undefined;
			returnedAt = now;
			handleReturn();
		},
		noteFailure(call, reason) {
			if (lostAt === undefined) {
				lostAt = readSteadyMs();
				log.record('warn', {kind: 'store-lost', call, reason});
			}
		},
		isReachable: () => lostAt === undefined,
		getReturnedAt: () => returnedAt,
	};
}
