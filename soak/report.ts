/**
 * The summary of a soak, and the explanations of requests that show a broken
 * promise.
 *
 * @module
 */
import {readFileSync} from 'node:fs';
import {explainCall, parseLogLine, type LogLine} from '../src/lib/timeline/explain-call.js';
import {groupBy, type SoakRecord} from './record.js';
import {type SoakOutcome} from './run-soak.js';

/** How many violations of each promise are explained; the first ones show the cause. */
const maxExplanationsPerPromise = 3;

function countBy<Value>(values: readonly Value[], getKey: (value: Value) => string): string {
	const groups = [...groupBy(values, getKey)].toSorted(([left], [right]) => left < right ? -1 : 1);
	return groups.map(([key, group]) => `${key} ${group.length}`).join(', ');
}

function formatCounts(record: SoakRecord): readonly string[] {
	const answered = record.calls.filter(({hasLeft}) => !hasLeft);
	return [
		`requests: ${record.calls.length}, by status: ${countBy(answered, ({status}) => String(status))}; ${record.calls.length - answered.length} cancelled by the caller`,
		`executions: ${record.runs.length}, by behaviour of the server: ${countBy(record.runs, ({behaviour}) => behaviour)}`,
		`disturbances: ${countBy(record.disturbances, ({what}) => what)}`,
		`processes: ${record.lifetimes.length}, by end: ${countBy(record.lifetimes, ({end}) => end.type)}; configurations: ${record.changes.length}; acknowledged drains: ${record.drains.length}`,
		`limits named: ${record.limits.length}`,
	];
}

function readLines(files: readonly string[]): readonly LogLine[] {
	return files.flatMap(file => readFileSync(file, 'utf8').split('\n').flatMap(line => parseLogLine(line) ?? []));
}

/**
 * Formats the summary of a soak.
 *
 * @param outcome - The result of the soak.
 * @returns The lines of the summary.
 */
export function formatSummary({plan, record, violations, idleServers}: SoakOutcome): readonly string[] {
	const promises = [...groupBy(violations, ({promise}) => promise)];
	return [
		`seed ${plan.seed}, ${plan.seconds} s, ${plan.nodes} nodes, ${plan.faults.length} faults planned`,
		...formatCounts(record),
		...idleServers.length === 0 ? [] : [`backend servers without requests at the end, beside the nodes: ${idleServers.join(', ')}`],
		...promises.map(([promise, group]) => `BROKEN  ${promise}: ${group.length} times, first: ${group[0]!.what}`),
		promises.length === 0 ? 'every promise held' : `${promises.length} promises were broken`,
	];
}

/**
 * Explains the first violations of each promise from the logs of the nodes.
 *
 * @param outcome - The result of the soak.
 * @returns The lines of the explanations.
 */
export function formatExplanations({violations, logFiles}: SoakOutcome): readonly string[] {
	if (violations.length === 0) {
		return [];
	}

	const lines = readLines(logFiles);
	const chosen = [...groupBy(violations, ({promise}) => promise).values()].flatMap(group => group.slice(0, maxExplanationsPerPromise));
	return chosen.flatMap(({promise, what, at, call}) => {
		const explanation = call === undefined ? undefined : explainCall(lines, call);
		return [
			'',
			`${promise}: ${what} (at ${new Date(at).toISOString()})`,
			...explanation === undefined ? ['  the logs contain no entry for this request'] : [...explanation.steps.map(step => `  ${step}`), `  Cause: ${explanation.cause}`],
		];
	});
}
