/**
 * Runs load patterns under sets of rules and compares them. All sets of rules use
 * the same seeds, so that differences come from the rules.
 *
 * @module
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {mean, quantile, sampleStandardDeviation} from 'simple-statistics';
import {formatMarkdown} from '../statistics.js';
import {type ExperimentResult} from './experiment-result.js';
import {runPattern, runWithSeries} from './mesh-model.js';
import {patterns, type Pattern} from './pattern.js';
import {policies} from './policy.js';
import {renderDomainPlot, renderPlot} from './plot.js';
import {type CountedField, type OutcomeCounts} from './outcome-counts.js';

/** Command line options. */
export type ExperimentOptions = {
	readonly seeds: number;
	/** Selects the patterns and policies whose names contain one of these texts; all of them if the list is empty. */
	readonly patterns: readonly string[];
	readonly policies: readonly string[];
	/** Paths of a CSV file for the counts and of an SVG file for a plot. */
	readonly csv: string | undefined;
	readonly svg: string | undefined;
	/** Path of an SVG file for the demand, work and waiting of each failure domain over time, of the first pattern and set of rules that are chosen. */
	readonly domainSvg: string | undefined;
	/** Prints a row for each kind of request. */
	readonly kinds: boolean;
};

/** Computes the worth of all answers, as a share of the worth if each request were answered in time. */
export function computeCredit(pattern: Pattern, counts: OutcomeCounts): number {
	let possible = 0;
	let earned = 0;
	for (const {name, worth, lateWorth} of pattern.kinds) {
		const {requests, inTime, late} = counts.get(name)!;
		possible += requests * worth;
		earned += (inTime * worth) + (late * lateWorth);
	}

	return possible === 0 ? 0 : earned / possible;
}

/**
 * Quantiles of Student's t-distribution for a two-sided 95 % confidence interval, by degrees of freedom from 1 on. The
 * last one approximates those of higher degrees.
 */
const tDistributionQuantiles = [12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.2, 2.18, 2.16, 2.14, 2.13];

/** Computes half the width of the 95 % confidence interval of the mean. */
function computeConfidenceHalfWidth(values: readonly number[]): number {
	const t = tDistributionQuantiles[Math.min(values.length - 2, tDistributionQuantiles.length - 1)];
	return t === undefined ? Number.NaN : t * sampleStandardDeviation([...values]) / Math.sqrt(values.length);
}

function filterByName<Item extends {readonly name: string}>(items: readonly Item[], parts: readonly string[]): readonly Item[] {
	return parts.length === 0 ? items : items.filter(({name}) => parts.some(part => name.includes(part)));
}

function sumKind(countsBySeed: readonly OutcomeCounts[], name: string, field: CountedField): number {
	return countsBySeed.reduce((sum, counts) => sum + counts.get(name)![field], 0);
}

const formatShare = (part: number, whole: number): string => whole === 0 ? '–' : (part / whole).toFixed(3);

const formatQuantile = (latencies: readonly number[], share: number): string => latencies.length === 0 ? '–' : quantile([...latencies], share).toFixed(0);

function formatKinds({pattern, policy, countsBySeed}: ExperimentResult): ReadonlyArray<readonly string[]> {
	return pattern.kinds.map(kind => {
		const {name} = kind;
		const latencies = countsBySeed.flatMap(counts => counts.get(name)!.latencies);
		const sum = (field: CountedField): number => sumKind(countsBySeed, name, field);
		const requests = sum('requests');
		return [
			pattern.name,
			policy.name,
			name,
			String(requests),
			formatShare(sum('inTime'), requests),
			formatShare(sum('late'), requests),
			formatShare(sum('refusedAtOnce'), requests),
			formatShare(sum('refusedLate'), requests),
			formatShare(sum('failed'), requests),
			formatShare(sum('wastedSlotMs'), sum('slotMs')),
			formatQuantile(latencies, 0.5),
			formatQuantile(latencies, 0.99),
			(sum('crossDomainBytes') / 1_000_000 / countsBySeed.length).toFixed(1),
			formatShare(sum('slotMs'), (pattern.durationMs) * countsBySeed.length * (pattern.services.find(service => service.name === kind.service)!.slots * pattern.services.find(service => service.name === kind.service)!.speeds.length)),
		];
	});
}

const kindHeader = ['pattern', 'rules', 'kind', 'asked', 'in time', 'late', 'refused at once', 'refused later', 'failed', 'slot time nobody got', 'p50 ms', 'p99 ms', 'MB between domains', 'share of slots'];

const bytesPerMegabyte = 1_000_000;

const sumBytes = (counts: OutcomeCounts): number => [...counts.values()].reduce((sum, {crossDomainBytes}) => sum + crossDomainBytes, 0);

/** Compares each set of rules with the first one, seed by seed. */
function formatComparison(results: readonly ExperimentResult[]): ReadonlyArray<readonly string[]> {
	const [first] = results;
	const listCredits = ({pattern, countsBySeed}: ExperimentResult): readonly number[] => countsBySeed.map(counts => computeCredit(pattern, counts));
	const base = first === undefined ? [] : listCredits(first);
	return results.map(result => {
		const own = listCredits(result);
		const differences = own.map((credit, seed) => credit - (base[seed] ?? 0));
		return [
			result.pattern.name,
			result.policy.name,
			mean([...own]).toFixed(3),
			mean(result.countsBySeed.map(counts => sumBytes(counts) / bytesPerMegabyte)).toFixed(0),
			result === first ? '' : `${mean(differences).toFixed(3)} ± ${computeConfidenceHalfWidth(differences).toFixed(3)}`,
		];
	});
}

/** Runs the patterns and prints the tables. */
export function runExperiment(options: ExperimentOptions): void {
	const chosenPolicies = filterByName(policies, options.policies);
	const results: ExperimentResult[] = [];
	process.stdout.write(`${formatMarkdown(options.kinds ? kindHeader : ['pattern', 'rules', 'credit', 'MB between domains', 'against the first rules'], [])}\n`);
	for (const pattern of filterByName(patterns, options.patterns)) {
		const patternResults = chosenPolicies.map((policy): ExperimentResult => ({
			pattern, policy, countsBySeed: Array.from({length: options.seeds}, (_, seed) => runPattern(pattern, policy, seed + 1)),
		}));
		const rows = options.kinds ? patternResults.flatMap(result => formatKinds(result)) : formatComparison(patternResults);
		for (const row of rows) {
			process.stdout.write(`| ${row.join(' | ')} |\n`);
		}

		results.push(...patternResults);
	}

	if (options.csv !== undefined) {
		const lines = [kindHeader, ...results.flatMap(result => formatKinds(result))].map(row => row.map(cell => `"${cell}"`).join(','));
		writeFileSync(options.csv, `${lines.join('\n')}\n`);
	}

	const [first] = results;
	if (options.domainSvg !== undefined && first !== undefined) {
		writeFileSync(options.domainSvg, renderDomainPlot(runWithSeries(first.pattern, first.policy, 1).series));
	}

	if (options.svg !== undefined) {
		writeFileSync(options.svg, renderPlot(results));
	}
}
