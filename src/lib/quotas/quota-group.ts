/**
 * Groups of workspaces and their coordinators. Each group has one coordinator, so that
 * a node lends its parts of many workspaces in few messages.
 *
 * @module
 */
import murmurhash from 'murmurhash';
import {type NodeId} from '../common/ids.js';

/** Number of groups. A node exchanges messages with at most this many coordinators, and each coordinator with all nodes: more groups spread the work over more nodes, and cost more messages in total. @internal */
export const quotaGroupCount = 8;

/**
 * @param workspace - The name of a workspace.
 * @returns Its group, the same on all nodes.
 * @internal
 */
export function getQuotaGroup(workspace: string): number {
	return murmurhash.v3(workspace) % quotaGroupCount;
}

/** Weights of nodes, by which each group prefers some node. @internal */
export type GroupRanking = {
	/** Returns the node with the highest weight for a group; `undefined` if there is none. */
	readonly chooseCoordinator: (group: number, nodes: Iterable<NodeId>) => NodeId | undefined;
};

/**
 * Creates a ranking by rendezvous hashing: if a node fails, only its groups move.
 *
 * @returns The ranking. It keeps the weights of the nodes that it has seen.
 * @internal
 */
export function createGroupRanking(): GroupRanking {
	const weights = new Map<NodeId, readonly number[]>();
	const getWeights = (node: NodeId): readonly number[] => {
		const known = weights.get(node);
		if (known !== undefined) {
			return known;
		}

		const created = Array.from({length: quotaGroupCount}, (_, group) => murmurhash.v3(`${group} ${node}`));
		weights.set(node, created);
		return created;
	};

	return {
		chooseCoordinator(group, nodes) {
			let best: NodeId | undefined;
			let bestWeight = -1;
			for (const node of nodes) {
				const weight = getWeights(node)[group]!;
				if (weight > bestWeight || (weight === bestWeight && best !== undefined && node > best)) {
					best = node;
					bestWeight = weight;
				}
			}

			return best;
		},
	};
}

/** A node that may become a coordinator. @internal */
export type CoordinatorCandidate = {
	readonly node: NodeId;
	/** Bandwidth of the link of its VM, in megabits per second. Larger VMs have faster links. */
	readonly linkMbps: number;
};

/** Nodes with at least this share of the fastest link may be coordinators. */
const minLinkShare = 0.5;

/**
 * Leaves out the nodes of small VMs. A coordinator gets several asks a second from each node, which would take a good part of the processor time of a small VM.
 *
 * @param candidates - The nodes that can be reached, with this one.
 * @returns The nodes with the fastest links; all of them if their links are alike.
 * @internal
 */
export function pickFastNodes(candidates: readonly CoordinatorCandidate[]): readonly NodeId[] {
	const fastest = Math.max(0, ...candidates.map(({linkMbps}) => linkMbps));
	return candidates.filter(({linkMbps}) => linkMbps >= fastest * minLinkShare).map(({node}) => node);
}

/**
 * Counts the nodes that precede a node in an order that differs for each workspace.
 *
 * @param workspace - The name of the workspace.
 * @param node - The node.
 * @param nodes - All nodes.
 * @returns The number of nodes before it.
 * @internal
 */
export function countNodesBefore(workspace: string, node: NodeId, nodes: Iterable<NodeId>): number {
	const own = murmurhash.v3(`${workspace} ${node}`);
	let before = 0;
	for (const other of nodes) {
		const weight = murmurhash.v3(`${workspace} ${other}`);
		before += weight > own || (weight === own && other > node) ? 1 : 0;
	}

	return before;
}
