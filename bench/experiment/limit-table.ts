/**
 * Runs the model of limits for both designs and prints what the server got and
 * what callers lost.
 *
 * @module
 */
import process from 'node:process';
import {mean} from 'simple-statistics';
import {
	createModelRandom, runLimitModel, type LimitDesign, type LimitModelOutcome, type LimitTrouble,
} from './limit-model.js';

export type LimitTableOptions = {
	readonly seeds: number;
	readonly sizes: readonly number[];
	readonly limits: readonly number[];
};

export const limitDesigns: readonly LimitDesign[] = ['gate', 'shares'];

export const limitTroubles: readonly LimitTrouble[] = ['none', 'uneven', 'cut', 'gate-restarts', 'entries-restart', 'freezes'];

const durationMs = 40_000;

/** Twice as many requests as the server takes. */
const demand = 2;

/**
 * Runs the model with several seeds.
 *
 * @param design - Where the limit is kept.
 * @param trouble - What else happens.
 * @param nodes - Number of nodes.
 * @param limitPerSecond - The limit of the server.
 * @param seeds - Number of seeds.
 * @returns One outcome per seed.
 */
export function runLimits(design: LimitDesign, trouble: LimitTrouble, nodes: number, limitPerSecond: number, seeds: number): readonly LimitModelOutcome[] {
	return Array.from({length: seeds}, (_, seed) => runLimitModel({
		design, trouble, nodes, limitPerSecond, demand, durationMs, random: createModelRandom(seed),
	}));
}

/** Prints a row for each size, limit, trouble and design. */
export function runLimitTable({seeds, sizes, limits}: LimitTableOptions): void {
	process.stdout.write('| nodes | limit | trouble | design | most in 4 s | allowed | used | refused per request |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n');
	for (const nodes of sizes) {
		for (const limit of limits) {
			for (const trouble of limitTroubles) {
				for (const design of limitDesigns) {
					const outcomes = runLimits(design, trouble, nodes, limit, seeds);
					const most = Math.max(...outcomes.map(outcome => outcome.most));
					const used = mean(outcomes.map(({usedShare}) => usedShare)).toFixed(2);
					const refused = mean(outcomes.map(({refusedPerRequest}) => refusedPerRequest)).toFixed(2);
					process.stdout.write(`| ${nodes} | ${limit} | ${trouble} | ${design} | ${most} | ${outcomes[0]?.allowed ?? 0} | ${used} | ${refused} |\n`);
				}
			}
		}
	}
}
