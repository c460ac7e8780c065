/**
 * Tells how one version of the configuration came into force on each node, from
 * the logs of any number of them, and what the slowest ones waited for.
 *
 * @module
 */
import {type LogLine} from './explain-call.js';

/** How one node got a version, or a later one. @public */
export type VersionAtNode = {
	readonly node: string;
	/** Milliseconds after the first node had the version in force; `undefined` if the logs do not say that this one ever had it. */
	readonly lateMs: number | undefined;
	/** One sentence: where it was lost, as far as the lines show. */
	readonly cause: string;
};

/** @public */
export type VersionExplanation = {
	/** When the first node had the version in force, ISO 8601. */
	readonly firstAt: string;
	/** All nodes, the latest one first; those that never had it before all others. */
	readonly nodes: readonly VersionAtNode[];
};

type LineOfKind<Kind extends LogLine['kind']> = Extract<LogLine, {readonly kind: Kind}>;

function listLinesOfKind<Kind extends LogLine['kind']>(lines: readonly LogLine[], kind: Kind): ReadonlyArray<LineOfKind<Kind>> {
	return lines.filter((line): line is LineOfKind<Kind> => line.kind === kind);
}

/** A wait shorter than this is an ordinary one. Milliseconds: one period of heartbeats. */
const expectedDelayMs = 400;

const getTime = ({time}: LogLine): number => Date.parse(time);

/** What a node met between the moment at which the first one had the version and its own. */
function findCause(lines: readonly LogLine[], version: number, firstAt: number, endsAt: number): string {
	const between = lines.filter(line => getTime(line) >= firstAt - expectedDelayMs && getTime(line) <= endsAt);
	const failures = listLinesOfKind(between, 'configuration-not-fetched');
	const last = failures.at(-1);
	if (last !== undefined) {
		return `${failures.length} of its questions to other nodes failed, the last after ${last.tookMs} ms at ${last.from}: ${last.reason}`;
	}

	const [lost] = listLinesOfKind(between, 'store-lost');
	if (lost !== undefined) {
		return `it did not reach the store: ${lost.call}: ${lost.reason}`;
	}

	const [paused] = listLinesOfKind(between, 'node-paused');
	if (paused !== undefined) {
		return `it stood still for ${paused.forMs} ms`;
	}

	const read = listLinesOfKind(between, 'configuration-read').find(({call, tookMs}) => call === 'read' && tookMs > expectedDelayMs);
	if (read !== undefined) {
		return `its read of the store took ${read.tookMs} ms`;
	}

	const heard = listLinesOfKind(lines, 'configuration-heard').find(line => line.version >= version);
	if (heard === undefined) {
		return 'it heard of it from no other node';
	}

	const heardMs = getTime(heard) - firstAt;
	return heardMs > expectedDelayMs ? `it heard of it after ${heardMs} ms, from ${heard.from}` : 'it heard of it at once, and nothing is named that it waited for';
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
 * Tells how a version came into force. Nodes that started after it was, or that left before they had it, are left out.
 *
 * @param lines - Lines of any number of nodes, in any order. Their clocks are taken as they are.
 * @param version - The version.
 * @returns The story, or `undefined` if no node had the version in force.
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
