/**
 * Finds routes that point at a pool or policy that the same version lacks.
 *
 * @module
 */
import {getTreeValue, listTreeValues, type DigestTree} from '../common/digest-tree.js';
import {type ConfiguredItem, type ItemChange} from './configured-item.js';
import {
	formatItemKey, type Item, type ItemKey, type Route,
} from './item.js';

/** A route's reference to something that is not there. @public */
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
 * @param changes - What this version changed, when everything else is known to be sound; all items are checked without it.
 * @returns Every dangling reference.
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
		// Any route may have referred to what was removed, and there is no index from a pool back to its routes: removals are rare.
		return listTreeValues(tree).map(configured => configured.item).filter(item => isRoute(item));
	}

	return changes
		.flatMap(change => change.type === 'put' ? [change.item] : [])
		.filter(item => isRoute(item));
}
