/**
 * Tracks whether this node reaches the store, by the results of its own calls.
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
	/** Returns the milliseconds since the last answer of the store; `undefined` if the last call failed. */
	readonly getLastAnswerAgeMs: (now: number) => number | undefined;
	/** Returns the time of the last recovery of the store, by `readSteadyMs`; 0 before the first. */
	readonly getRecoveredAt: () => number;
};

/**
 * @param log - Records the loss and the recovery of the store.
 * @param handleRecovery - Called when the store answers again; changes may have been missed in between.
 * @returns The health of the store, which counts as reachable until a call fails.
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
