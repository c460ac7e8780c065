/**
 * Keeps the young generation of the heap small while a node has little to do.
 * A larger one costs memory on every VM all day; it saves processor time only
 * where many requests are under way.
 *
 * @module
 */
import {setFlagsFromString} from 'node:v8';

/** @internal */
export type YoungGenerationTuner = {
	/** Called every now and then with the requests since the last time. */
	readonly recordLoad: (requests: number, elapsedMs: number) => void;
};

/** From this many requests a second on the young generation may grow. Measured: at 13 a second a small one costs no processor time, at 45 it costs 4 in 100 (MEASUREMENTS). */
const busyRequestsPerSecond = 40;

/** How many times larger it becomes when too much of it is in use. */
const growthFactors = {small: 1, growing: 2} as const;

/** Sets by how much the young generation grows; the engine reads it at each collection. @internal */
export function applyGrowthFactor(factor: number): void {
	setFlagsFromString(`--semi-space-growth-factor=${factor}`);
}

/**
 * @param setFactor - Sets by how much it grows.
 * @returns What decides; the young generation does not grow yet.
 * @internal
 */
export function createYoungGenerationTuner(setFactor: (factor: number) => void): YoungGenerationTuner {
	let factor: number = growthFactors.small;
	setFactor(factor);
	return {
		recordLoad(requests, elapsedMs) {
			const isBusy = requests * 1000 > busyRequestsPerSecond * elapsedMs;
			const next = isBusy ? growthFactors.growing : growthFactors.small;
			if (next !== factor) {
				factor = next;
				setFactor(factor);
			}
		},
	};
}
