/**
 * An item with its revision, and a change of an item.
 *
 * @module
 */
import {type Item, type ItemKey} from './item.js';

/** An item of a version of the configuration. @public */
export type ConfiguredItem = {
	readonly item: Item;
	/** The version that last changed the item. */
	readonly revision: number;
};

/** A change of one item: the item to add or replace, or the key of the item to remove. @public */
export type ItemChange =
	| {readonly type: 'put'; readonly item: Item}
	| {readonly type: 'remove'; readonly key: ItemKey};
