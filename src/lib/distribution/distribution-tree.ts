/**
 * The tree along which updates are pushed inside a failure domain. Every node
 * computes it from its own member list, so no agreement is needed. While member
 * lists differ, some nodes receive an update twice or not at all; anti-entropy
 * repairs the missing ones.
 *
 * @module
 */
import {findBucketIndex} from '../common/digest-tree.js';
import {type NodeId} from '../common/ids.js';

/** The position of a node in the tree. @internal */
export type TreePosition = {
	/** The root of the tree: the first member in the order. It watches the store. */
	readonly relay: NodeId;
	/** The second member in the order. It becomes the relay when the relay leaves or fails. */
	readonly standby: NodeId | undefined;
	readonly parent: NodeId | undefined;
	readonly children: readonly NodeId[];
};

/**
 * Sorts members into the order in which they fill the tree.
 *
 * @param members - The usable members of a failure domain, in any order.
 * @returns The members sorted by a hash of their ids, so that nodes with similar names are spread over the tree.
 * @internal
 */
export function sortMembers(members: readonly NodeId[]): readonly NodeId[] {
	const hashed = members.map(id => ({id, hash: findBucketIndex(`${id} place`)}));
	return hashed
		.toSorted((left, right) => left.hash - right.hash || (left.id < right.id ? -1 : 1))
		.map(({id}) => id);
}

/**
 * Computes the position of a node in the tree.
 *
 * @param order - The members as sorted by {@link sortMembers}.
 * @param self - The node.
 * @param fanOut - Maximum number of children per node.
 * @returns The position. A node that is not among the members is its own relay.
 * @internal
 */
export function findTreePosition(order: readonly NodeId[], self: NodeId, fanOut: number): TreePosition {
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
