/**
 * Sums up which versions are in force, subtree by subtree, so that nobody has
 * to ask every node.
 *
 * @module
 */
import {type FailureDomain, type NodeId} from '../common/ids.js';

/** A node that is behind, and why it says it is. @public */
export type Laggard = {
	readonly node: NodeId;
	readonly version: number;
	readonly reason: string;
};

/** What the nodes of one subtree or one failure domain have in force. @public */
export type Summary = {
	readonly failureDomain: FailureDomain;
	readonly nodes: number;
	readonly lowestVersion: number;
	readonly highestVersion: number;
	/** The few nodes with the lowest versions. They travel even when nobody lags, since only a summary further up can tell. */
	readonly laggards: readonly Laggard[];
};

/** What one node knows of itself. @internal */
export type NodeState = {
	readonly failureDomain: FailureDomain;
	readonly node: NodeId;
	readonly version: number;
	/** Why it may be behind, or an empty text. */
	readonly reason: string;
};

/** Nodes that a summary names; more would only cost bytes. */
const maximumLaggardCount = 3;

/**
 * Joins what a node knows of itself with its children's summaries.
 *
 * @param own - The node itself.
 * @param children - The latest summary of each child.
 * @returns The summary of the node's subtree.
 * @internal
 */
export function buildSummary(own: NodeState, children: readonly Summary[]): Summary {
	const ownPart: Summary = {
		failureDomain: own.failureDomain,
		nodes: 1,
		lowestVersion: own.version,
		highestVersion: own.version,
		laggards: [{node: own.node, version: own.version, reason: own.reason}],
	};
	const parts = [ownPart, ...children];
	return {
		failureDomain: own.failureDomain,
		nodes: parts.reduce((total, part) => total + part.nodes, 0),
		lowestVersion: Math.min(...parts.map(part => part.lowestVersion)),
		highestVersion: Math.max(...parts.map(part => part.highestVersion)),
		laggards: parts.flatMap(part => part.laggards)
			.toSorted((left, right) => left.version - right.version)
			.slice(0, maximumLaggardCount),
	};
}

/**
 * @param left - A summary.
 * @param right - Another.
 * @returns Whether they say the same.
 * @internal
 */
export function isSameSummary(left: Summary | undefined, right: Summary): boolean {
	return left?.nodes === right.nodes
		&& left.lowestVersion === right.lowestVersion
		&& left.highestVersion === right.highestVersion;
}
