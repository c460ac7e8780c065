/**
 * Counts the requests of workspaces by outcome, with a bounded number of series in
 * the metrics. Answers the question of operators under overload: who asks, who is
 * served, and who is refused why.
 *
 * @module
 */

/** The requests of one workspace with one outcome. @internal */
export type WorkspaceCount = {
	/** {@link otherWorkspaces} for all workspaces that are not listed. */
	readonly workspace: string;
	/** `answered`, or why the request was not. The list is open: each part that refuses requests has reasons of its own. */
	readonly outcome: string;
	readonly count: number;
};

/** @internal */
export type WorkspaceCounter = {
	readonly add: (workspace: string, outcome: string) => void;
	/** Lists the workspaces with the most requests, then the sums of all others. */
	readonly list: () => readonly WorkspaceCount[];
};

/** Name of the sums; it is no valid name of a workspace. @internal */
export const otherWorkspaces = '';

/** Bounds of a counter. @internal */
export type WorkspaceCounterLimits = {
	/** Workspaces that are listed by name. */
	readonly maxListed: number;
	/** Workspaces that are counted apart. */
	readonly maxCounted: number;
};

/** The demand is skewed, so that 50 workspaces make up most of it. The counts of 1000 take a few hundred kilobytes; configurations may rename workspaces for as long as a node runs. */
const defaultLimits: WorkspaceCounterLimits = {maxListed: 50, maxCounted: 1000};

type Outcomes = Map<string, number>;

function add(outcomes: Outcomes, outcome: string, count: number): void {
	outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + count);
}

const sumCounts = (outcomes: Outcomes): number => [...outcomes.values()].reduce((sum, count) => sum + count, 0);

const listOutcomes = (workspace: string, outcomes: Outcomes): readonly WorkspaceCount[] => [...outcomes].map(([outcome, count]) => ({workspace, outcome, count}));

const rankBusiest = (byWorkspace: ReadonlyMap<string, Outcomes>): ReadonlyArray<readonly [string, Outcomes]> =>
	[...byWorkspace].toSorted(([, left], [, right]) => sumCounts(right) - sumCounts(left));

/**
 * @param limits - The bounds of the counter.
 * @returns A counter without requests.
 * @internal
 */
export function createWorkspaceCounter({maxListed, maxCounted}: WorkspaceCounterLimits = defaultLimits): WorkspaceCounter {
	const byWorkspace = new Map<string, Outcomes>();
	const others: Outcomes = new Map();

	/** Adds the counts of the less busy half to the sums. */
	const mergeLeastBusy = (): void => {
		for (const [workspace, outcomes] of rankBusiest(byWorkspace).slice(Math.floor(maxCounted / 2))) {
			byWorkspace.delete(workspace);
			for (const [outcome, count] of outcomes) {
				add(others, outcome, count);
			}
		}
	};

	const getOutcomes = (workspace: string): Outcomes => {
		const known = byWorkspace.get(workspace);
		if (known !== undefined) {
			return known;
		}

		if (byWorkspace.size >= maxCounted) {
			mergeLeastBusy();
		}

		const outcomes: Outcomes = new Map();
		byWorkspace.set(workspace, outcomes);
		return outcomes;
	};

	return {
		add(workspace, outcome) {
			add(getOutcomes(workspace), outcome, 1);
		},
		list() {
			const ranked = rankBusiest(byWorkspace);
			const rest = new Map(others);
			for (const [, outcomes] of ranked.slice(maxListed)) {
				for (const [outcome, count] of outcomes) {
					add(rest, outcome, count);
				}
			}

			return [...ranked.slice(0, maxListed).flatMap(([workspace, outcomes]) => listOutcomes(workspace, outcomes)), ...listOutcomes(otherWorkspaces, rest)];
		},
	};
}
