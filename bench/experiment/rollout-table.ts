/**
 * Runs the model of a rollout for good and bad versions, calm and beside other
 * trouble, and prints how they ended.
 *
 * @module
 */
import process from 'node:process';
import {randomLcg} from 'd3-random';
import {median} from 'simple-statistics';
import {
	runRollout, type ModelOutcome, type ModelRollout, type ModelTrouble, type ModelVersion,
} from './rollout-model.js';

export type RolloutTableOptions = {
	readonly seeds: number;
	/** Sizes of the service; the entries and the rate of requests grow with it. */
	readonly servers: readonly number[];
	readonly versions: readonly string[];
	readonly troubles: readonly string[];
};

export const modelVersions: ReadonlyArray<ModelVersion['type']> = ['good', 'errors', 'slow', 'one-route', 'under-load', 'late'];

export const modelTroubles: readonly ModelTrouble[] = ['none', 'slow-servers', 'faulty-servers', 'lost-answers'];

const entriesPerServer = 2.5;
const requestsPerServer = 25;

/**
 * Runs the model with several seeds.
 *
 * @param version - How the new version behaves.
 * @param trouble - What else happens.
 * @param servers - Servers of each version.
 * @param seeds - Number of seeds.
 * @returns One outcome per seed.
 */
export function runRollouts(version: ModelVersion['type'], trouble: ModelTrouble, servers: number, seeds: number): readonly ModelOutcome[] {
	return Array.from({length: seeds}, (_, seed) => {
		const rollout: ModelRollout = {
			version: {type: version}, trouble, servers, entries: Math.round(servers * entriesPerServer), requestsPerSecond: servers * requestsPerServer,
			durationMs: 15_000, maxExposure: 0.1, badShare: 0.45, random: randomLcg((seed + 0.5) / 100_000),
		};
		return runRollout(rollout);
	});
}

function formatRow(outcomes: readonly ModelOutcome[]): string {
	const rolledBack = outcomes.filter(({stage}) => stage === 'rolled-back').length;
	const exposed = outcomes.map(outcome => outcome.exposed);
	const endedAt = outcomes.map(({endedAtMs}) => endedAtMs / 1000);
	return `${rolledBack} of ${outcomes.length} | ${median(exposed)} | ${Math.max(...exposed)} | ${median(endedAt).toFixed(1)} | ${Math.max(...endedAt).toFixed(1)}`;
}

/** Prints a row for each size, trouble and version. */
export function runRolloutTable({seeds, servers, versions, troubles}: RolloutTableOptions): void {
	process.stdout.write('| servers | trouble | version | rolled back | exposed, median | most | verdict after s, median | latest |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n');
	for (const size of servers) {
		for (const trouble of modelTroubles.filter(name => troubles.length === 0 || troubles.includes(name))) {
			for (const version of modelVersions.filter(name => versions.length === 0 || versions.includes(name))) {
				process.stdout.write(`| ${size} | ${trouble} | ${version} | ${formatRow(runRollouts(version, trouble, size, seeds))} |\n`);
			}
		}
	}
}
