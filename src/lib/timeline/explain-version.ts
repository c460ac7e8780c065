/**
 * Explains from the logs of any number of nodes when each of them applied a
 * version of the configuration, and what the slowest ones waited for.
 *
 * @module
 */
import {type LogLine} from './explain-call.js';

/** The delay until one node applied a version or a newer one, and its cause. @public */
export type VersionAtNode = {
	readonly node: string;
	/** Milliseconds after the first node applied the version; `undefined` if the logs do not show that this node applied it. */
	readonly lateMs: number | undefined;
	/** The cause of the delay in one sentence, as far as the log lines show it. */
	readonly cause: string;
};

/** @public */
export type VersionExplanation = {
	/** When the first node applied the version, ISO 8601. */
	readonly firstAt: string;
	/** All nodes by descending delay; nodes that never applied the version precede all others. */
	readonly nodes: readonly VersionAtNode[];
};

type LineOfKind<Kind extends LogLine['kind']> = Extract<LogLine, {readonly kind: Kind}>;

function listLinesOfKind<Kind extends LogLine['kind']>(lines: readonly LogLine[], kind: Kind): ReadonlyArray<LineOfKind<Kind>> {
	return lines.filter((line): line is LineOfKind<Kind> => line.kind === kind);
}

/** One heartbeat period. A shorter delay needs no explanation. */
const expectedDelayMs = 400;

const getTime = ({time}: LogLine): number => Date.parse(time);

/** Finds the cause of a node's delay in its log lines between the time at which the first node applied the version and its own. */
function findCause(lines: readonly LogLine[], version: number, firstAt: number, endsAt: number): string {
	const between = lines.filter(line => getTime(line) >= firstAt - expectedDelayMs && getTime(line) <= endsAt);
	const failures = listLinesOfKind(between, 'configuration-not-fetched');
	const last = failures.at(-1);
	if (last !== undefined) {
		return `${failures.length} of its requests to other nodes failed, the last after ${last.tookMs} ms to ${last.from}: ${last.reason}`;
	}

	const [lost] = listLinesOfKind(between, 'store-lost');
	if (lost !== undefined) {
		return `it could not reach the store: ${lost.call}: ${lost.reason}`;
	}

	const [paused] = listLinesOfKind(between, 'node-paused');
	if (paused !== undefined) {
		return `its process was paused for ${paused.forMs} ms`;
	}

	const read = listLinesOfKind(between, 'configuration-read').find(({call, tookMs}) => call === 'read' && tookMs > expectedDelayMs);
	if (read !== undefined) {
		return `its read of the store took ${read.tookMs} ms`;
	}

	const heard = listLinesOfKind(lines, 'configuration-heard').find(line => line.version >= version);
	if (heard === undefined) {
		return 'no other node reported the version to it';
	}

	const heardMs = getTime(heard) - firstAt;
	return heardMs > expectedDelayMs ? `it learned of the version after ${heardMs} ms, from ${heard.from}` : 'it learned of the version at once, and its log shows no cause of the delay';
}

function describeNode(node: string, lines: readonly LogLine[], version: number, firstAt: number, lastAt: number): VersionAtNode | undefined {
	const applied = listLinesOfKind(lines, 'configuration-applied').find(line => line.version >= version);
	const isLater = listLinesOfKind(lines, 'node-started').some(line => getTime(line) > firstAt && (applied === undefined || getTime(line) <= getTime(applied)));
	const hasLeft = applied === undefined && listLinesOfKind(lines, 'node-draining').length > 0;
	if (isLater || hasLeft) {
		return undefined;
	}

	const endsAt = applied === undefined ? lastAt : getTime(applied);
	const lateMs = applied === undefined ? undefined : endsAt - firstAt;
	const isOnTime = lateMs !== undefined && lateMs <= expectedDelayMs;
	const how = applied === undefined ? '' : ` (from ${applied.from})`;
	return {node, lateMs, cause: isOnTime ? `in time${how}` : `${findCause(lines, version, firstAt, endsAt)}${how}`};
}

/**
 * Explains when each node applied a version. The result omits nodes that started after the first node applied it, and nodes that left
 * without applying it.
 *
 * @param lines - Log lines of any number of nodes, in any order. Differences between the clocks of the nodes are not corrected.
 * @param version - The version.
 * @returns The explanation, or `undefined` if no node applied the version.
 * @public
 */
export function explainVersion(lines: readonly LogLine[], version: number): VersionExplanation | undefined {
	const ordered = lines.toSorted((left, right) => left.time < right.time ? -1 : 1);
	const first = listLinesOfKind(ordered, 'configuration-applied').find(line => line.version === version);
	const last = ordered.at(-1);
	if (first === undefined || last === undefined) {
		return undefined;
	}

	const byNode = new Map<string, LogLine[]>();
	for (const line of ordered) {
		const known = byNode.get(line.node) ?? [];
		known.push(line);
		byNode.set(line.node, known);
	}

	const nodes = [...byNode].flatMap(([node, own]) => describeNode(node, own, version, getTime(first), getTime(last)) ?? []);
	return {
		firstAt: first.time,
		nodes: nodes.toSorted((left, right) => (right.lateMs ?? Number.POSITIVE_INFINITY) - (left.lateMs ?? Number.POSITIVE_INFINITY)),
	};
}
