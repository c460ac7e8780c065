/**
 * Explains from the logs of any number of nodes which stages the rollouts of
 * services went through, why, and how long the nodes took to learn of each stage.
 *
 * @module
 */
import {type LogLine} from './explain-call.js';

/** One stage of a rollout. @public */
export type RolloutStageExplanation = {
	readonly stage: string;
	/** When the first node entered the stage, ISO 8601, and its age since the order. */
	readonly firstAt: string;
	readonly ageMs: number;
	/** The node that decided, and why. */
	readonly node: string;
	readonly reason: string;
	/** Nodes that entered the stage, and milliseconds until the last of them did. */
	readonly nodes: number;
	readonly lastDelayMs: number;
};

/** One rollout. @public */
export type RolloutExplanation = {
	readonly service: string;
	readonly targetVersion: string;
	/** Revision of the order in the store. */
	readonly order: number;
	readonly stages: readonly RolloutStageExplanation[];
};

type StageLine = Extract<LogLine, {readonly kind: 'rollout-stage'}>;

function groupLines(lines: readonly StageLine[], getKey: (line: StageLine) => string): ReadonlyMap<string, readonly StageLine[]> {
	const groups = new Map<string, StageLine[]>();
	for (const line of lines) {
		const key = getKey(line);
		groups.set(key, [...groups.get(key) ?? [], line]);
	}

	return groups;
}

/** A node that restarts enters the stage of a rollout again; only lines of a node's first entry count. */
function listFirstEntries(lines: readonly StageLine[]): readonly StageLine[] {
	const nodes = new Set<string>();
	return lines.filter(({node}) => {
		const isFirst = !nodes.has(node);
		nodes.add(node);
		return isFirst;
	});
}

function explainStage(lines: readonly StageLine[]): RolloutStageExplanation {
	const entries = listFirstEntries(lines);
	const first = entries[0]!;
	const decider = entries.find(({from}) => from === 'this node') ?? first;
	return {
		stage: first.stage, firstAt: first.time, ageMs: first.ageMs, node: decider.node, reason: decider.reason,
		nodes: entries.length, lastDelayMs: Date.parse(entries.at(-1)!.time) - Date.parse(first.time),
	};
}

/**
 * @param lines - Log lines of all nodes.
 * @param service - The service whose rollouts are explained; `undefined` for all.
 * @returns The rollouts, the latest order last.
 * @public
 */
export function explainRollouts(lines: readonly LogLine[], service?: string): readonly RolloutExplanation[] {
	const stageLines = lines.filter((line): line is StageLine => line.kind === 'rollout-stage' && (service === undefined || line.service === service))
		.toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time));
	const rollouts = groupLines(stageLines, ({service: name, order}) => `${name} ${order}`);
	return [...rollouts.values()].map(ofRollout => {
		const {service: name, targetVersion, order} = ofRollout[0]!;
		return {
			service: name, targetVersion, order, stages: [...groupLines(ofRollout, ({stage}) => stage).values()].map(ofStage => explainStage(ofStage)),
		};
	});
}
