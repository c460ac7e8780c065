/**
 * Aggregates which versions are in force, subtree by subtree, so that the status
 * of the fleet needs no call to every node.
 *
 * @module
 */
import {type FailureDomain, type NodeId} from '../common/ids.js';

/** A node that may be behind, and the reason that it reports. @public */
export type Laggard = {
	readonly node: NodeId;
	readonly version: number;
	readonly reason: string;
};

/** The versions in force in one subtree or one failure domain. @public */
export type Summary = {
	readonly failureDomain: FailureDomain;
	readonly nodes: number;
	readonly lowestVersion: number;
	readonly highestVersion: number;
	/** The few nodes with the lowest versions. They are always included, because only a summary further up the tree shows whether they are behind. */
	readonly laggards: readonly Laggard[];
};

/** The state of one node. @internal */
export type NodeState = {
	readonly failureDomain: FailureDomain;
	readonly node: NodeId;
	readonly version: number;
	/** The reason why the node may be behind; an empty string if it is not behind. */
	readonly reason: string;
};

/** Maximum number of laggards in a summary, to keep it small. */
const maximumLaggardCount = 3;

/**
 * Combines the state of a node with the summaries of its children.
 *
 * @param own - The state of the node.
 * @param children - The latest summary of each child.
 * @returns The summary of the node's subtree.
 * @internal
 */
export function buildSummary(own: NodeState, children: readonly Summary[]): Summary {
	const ownSummary: Summary = {
		failureDomain: own.failureDomain,
		nodes: 1,
		lowestVersion: own.version,
		highestVersion: own.version,
		laggards: [{node: own.node, version: own.version, reason: own.reason}],
	};
	const parts = [ownSummary, ...children];
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
 * Compares the node counts and versions of two summaries; their laggards may differ.
 *
 * @param left - A summary, or `undefined` if there is none.
 * @param right - Another summary.
 * @returns Whether node counts, lowest and highest versions are equal.
 * @internal
 */
export function isSameSummary(left: Summary | undefined, right: Summary): boolean {
	return left?.nodes === right.nodes
		&& left.lowestVersion === right.lowestVersion
		&& left.highestVersion === right.highestVersion;
}
