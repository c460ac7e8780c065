/**
 * Explains from two readings of the metrics of nodes which workspaces sent requests
 * in between, and what became of them.
 *
 * @module
 */
import {otherWorkspaces} from './workspace-counter.js';

/** The requests of one workspace between two readings. @public */
export type WorkspaceExplanation = {
	/** `undefined` for the sum of the workspaces that nodes do not list, because they send little. */
	readonly workspace: string | undefined;
	/** Requests that ended. */
	readonly asked: number;
	/** Requests that got a response of a backend server. */
	readonly answered: number;
	/** The other requests by reason, the most frequent first. */
	readonly refused: ReadonlyArray<{readonly reason: string; readonly count: number}>;
};

/** What nodes report of workspaces. @public */
export type WorkspacesExplanation = {
	/** The busiest first. */
	readonly workspaces: readonly WorkspaceExplanation[];
	/** Requests of callers that were not identified, by cause, the most frequent first. */
	readonly unidentified: ReadonlyArray<{readonly reason: string; readonly count: number}>;
};

/** The text of the metrics of one node, at two times. @public */
export type MetricsReadings = {readonly before: string; readonly after: string};

/** Names of the counters, as metrics list them. @internal */
export const workspaceCallsMetric = 'stonemoor_workspace_calls_total';
const refusalsMetric = 'stonemoor_refusals_total';

type Counts = ReadonlyMap<string, number>;

/** Separates the labels in a key; no label contains it, since metrics have one line for each series. */
const separator = '\n';

const seriesPattern = /^(\w+){(\w+)="([^"]*)",(\w+)="([^"]*)"} (\d+)$/;

/** Reads the series of a counter with two labels, by the values of the labels. */
function readCounts(text: string, metric: string): Counts {
	const counts = new Map<string, number>();
	for (const line of text.split('\n')) {
		const [, name, , first, , second, count] = seriesPattern.exec(line) ?? [];
		if (name === metric) {
			counts.set(`${first}${separator}${second}`, Number(count));
		}
	}

	return counts;
}

/** Adds the increase of each series to the sums. A counter that has fallen belongs to a node that restarted, or to the sums of unlisted workspaces, of which one is listed now. */
function addIncrease(sums: Map<string, number>, {before, after}: MetricsReadings, metric: string): void {
	const earlier = readCounts(before, metric);
	for (const [key, count] of readCounts(after, metric)) {
		const previous = earlier.get(key) ?? 0;
		const isSum = key.startsWith(separator);
		const increase = count >= previous ? count - previous : (isSum ? 0 : count);
		if (increase > 0) {
			sums.set(key, (sums.get(key) ?? 0) + increase);
		}
	}
}

function sortReasons(reasons: ReadonlyMap<string, number>): WorkspacesExplanation['unidentified'] {
	return [...reasons].map(([reason, count]) => ({reason, count})).toSorted((left, right) => right.count - left.count);
}

/** Groups sums by their first label. */
function groupByFirst(sums: Counts): ReadonlyMap<string, ReadonlyMap<string, number>> {
	const groups = new Map<string, Map<string, number>>();
	for (const [key, count] of sums) {
		const [first = '', second = ''] = key.split(separator);
		const group = groups.get(first) ?? new Map<string, number>();
		group.set(second, count);
		groups.set(first, group);
	}

	return groups;
}

function explainWorkspace(name: string, outcomes: ReadonlyMap<string, number>): WorkspaceExplanation {
	const answered = outcomes.get('answered') ?? 0;
	const refused = sortReasons(new Map([...outcomes].filter(([outcome]) => outcome !== 'answered')));
	return {
		workspace: name === otherWorkspaces ? undefined : name, asked: refused.reduce((sum, {count}) => sum + count, answered), answered, refused,
	};
}

/**
 * @param readings - The metrics of any number of nodes.
 * @returns What became of the requests between the readings, summed over the nodes.
 * @public
 */
export function explainWorkspaces(readings: readonly MetricsReadings[]): WorkspacesExplanation {
	const calls = new Map<string, number>();
	const refusals = new Map<string, number>();
	for (const reading of readings) {
		addIncrease(calls, reading, workspaceCallsMetric);
		addIncrease(refusals, reading, refusalsMetric);
	}

	return {
		workspaces: [...groupByFirst(calls)].map(([name, outcomes]) => explainWorkspace(name, outcomes)).toSorted((left, right) => right.asked - left.asked),
		unidentified: sortReasons(groupByFirst(refusals).get('caller-refused') ?? new Map()),
	};
}
