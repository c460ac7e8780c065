/**
 * Whether this node reaches the store, as its own calls show it.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type MeshLog} from '../timeline/mesh-log.js';

/** @internal */
export type StoreHealth = {
	readonly recordSuccess: () => void;
	readonly recordFailure: (call: string, reason: string) => void;
	readonly isReachable: () => boolean;
	/** Milliseconds since the store last answered; `undefined` if its last call failed. */
	readonly getLastAnswerAgeMs: (now: number) => number | undefined;
	/** When the store was last reached again after it had been lost, in steady milliseconds. */
	readonly getRecoveredAt: () => number;
};

/**
 * @param log - Told when the store is lost and when it is back.
 * @param handleRecovery - Called when it is back: what was missed meanwhile is unknown.
 * @returns The state of a store that was not called yet.
 * @internal
 */
export function createStoreHealth(log: MeshLog, handleRecovery: () => void): StoreHealth {
	let lostAt: number | undefined;
	let recoveredAt = 0;
	let answeredAt = readSteadyMs();
	return {
		recordSuccess() {
			answeredAt = readSteadyMs();
			if (lostAt === undefined) {
				return;
			}

			log.record('info', {kind: 'store-back', afterMs: Math.round(answeredAt - lostAt)});
			lostAt = undefined;
			recoveredAt = answeredAt;
			handleRecovery();
		},
		recordFailure(call, reason) {
			if (lostAt === undefined) {
				lostAt = readSteadyMs();
				log.record('warn', {kind: 'store-lost', call, reason});
			}
		},
		isReachable: () => lostAt === undefined,
		getLastAnswerAgeMs: now => lostAt === undefined ? now - answeredAt : undefined,
		getRecoveredAt: () => recoveredAt,
	};
}
