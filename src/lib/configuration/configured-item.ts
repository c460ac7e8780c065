/**
 * An item as a version of the configuration holds it, and a change of one.
 *
 * @module
 */
import {type Item, type ItemKey} from './item.js';

/** An item as it stands in a configuration. @public */
export type ConfiguredItem = {
	readonly item: Item;
	/** The version that last changed the item. */
	readonly revision: number;
};

/** An item to put, or the key of one to remove. @public */
export type ItemChange =
	| {readonly type: 'put'; readonly item: Item}
	| {readonly type: 'remove'; readonly key: ItemKey};
