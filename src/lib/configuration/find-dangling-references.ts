/**
 * Finds routes that refer to a pool or policy that is missing from the same version.
 *
 * @module
 */
import {getTreeValue, listTreeValues, type DigestTree} from '../common/digest-tree.js';
import {type ConfiguredItem, type ItemChange} from './configured-item.js';
import {
	formatItemKey, type Item, type ItemKey, type Route,
} from './item.js';

/** A reference of a route to an item that does not exist. @public */
export type DanglingReference = {
	readonly route: string;
	readonly missing: ItemKey;
};

function listReferences(route: Route): readonly ItemKey[] {
	return [`pool/${route.pool}`, `policy/${route.policy}`];
}

function isRoute(item: Item): item is Route {
	return item.kind === 'route';
}

/**
 * Checks the references of a version.
 *
 * @param tree - The items of the version.
 * @param changes - The changes of this version, if all references of the previous version are known to be valid. Without them, all routes are checked.
 * @returns All dangling references.
 * @internal
 */
export function findDanglingReferences(tree: DigestTree<ConfiguredItem>, changes?: readonly ItemChange[]): readonly DanglingReference[] {
	return listRoutesToCheck(tree, changes).flatMap(route => listReferences(route)
		.filter(key => getTreeValue(tree, key) === undefined)
		.map(missing => ({route: formatItemKey(route), missing})));
}

function listRoutesToCheck(tree: DigestTree<ConfiguredItem>, changes: readonly ItemChange[] | undefined): readonly Route[] {
	const removesTarget = changes?.some(change => change.type === 'remove' && !change.key.startsWith('route/')) ?? true;
	if (removesTarget || changes === undefined) {
		// Any route may refer to the removed item. There is no index from a pool or policy to its routes, because removals are rare.
		return listTreeValues(tree).map(configured => configured.item).filter(item => isRoute(item));
	}

	return changes
		.flatMap(change => change.type === 'put' ? [change.item] : [])
		.filter(item => isRoute(item));
}
