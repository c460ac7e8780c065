/**
 * The tree along which news runs inside a failure domain. Every node computes
 * it from the members it sees, so nothing has to be agreed on; where views
 * differ, some nodes are told twice or not at all, and the random check mends
 * the rest.
 *
 * @module
 */
import {findBucketIndex} from '../common/digest-tree.js';
import {type NodeId} from '../common/ids.js';

/** A node's place. @internal */
export type TreePlace = {
	/** The first in the order: the one that watches the store. */
	readonly relay: NodeId;
	/** The next in the order, who takes over when the relay is gone. */
	readonly standby: NodeId | undefined;
	readonly parent: NodeId | undefined;
	readonly children: readonly NodeId[];
};

/**
 * Puts members in the order that the tree is filled in.
 *
 * @param members - The usable members of a failure domain, in any order.
 * @returns The same members by a hash of their ids, so that neighbours in name are not neighbours in the tree.
 * @internal
 */
export function sortMembers(members: readonly NodeId[]): readonly NodeId[] {
	const hashed = members.map(id => ({id, hash: findBucketIndex(`${id} place`)}));
	return hashed
		.toSorted((left, right) => left.hash - right.hash || (left.id < right.id ? -1 : 1))
		.map(({id}) => id);
}

/**
 * Finds a node's place in the tree.
 *
 * @param order - The members as {@link sortMembers} puts them.
 * @param self - The node.
 * @param fanOut - Children of each node.
 * @returns The place. A node that is not among the members is its own relay.
 * @internal
 */
export function findTreePlace(order: readonly NodeId[], self: NodeId, fanOut: number): TreePlace {
	const position = order.indexOf(self);
	const relay = order[0];
	if (position === -1 || relay === undefined) {
		return {
			relay: self, standby: undefined, parent: undefined, children: [],
		};
	}

	const firstChild = (position * fanOut) + 1;
	return {
		relay,
		standby: order[1],
		parent: position === 0 ? undefined : order[Math.floor((position - 1) / fanOut)],
		children: order.slice(firstChild, firstChild + fanOut),
	};
}
