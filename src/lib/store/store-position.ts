/**
 * Positions in the history of the store. When a store is restored from a
 * backup, its revisions decrease and are assigned again, so revisions are
 * comparable only within one era. All comparisons of positions belong here.
 *
 * @module
 */

/** Number of times the store was restored from a backup; 0 for a store that does not report it. @public */
export type StoreEra = number;

/** The era of a store that does not report one. @internal */
export const noEra: StoreEra = 0;

/** @public */
export type StorePosition = {
	readonly era: StoreEra;
	readonly revision: number;
};

/** A lease, valid only in its era: in the next era, the store may assign its id to another lease. @public */
export type StoreLease = {
	readonly era: StoreEra;
	readonly id: number;
};

/**
 * Checks whether a read at one position includes a write at another.
 *
 * @param position - Position of the read.
 * @param other - Position of the write.
 * @returns Whether `position` is at or after `other`; false if their eras differ.
 * @internal
 */
export function hasReached(position: StorePosition, other: StorePosition): boolean {
	return position.era === other.era && position.revision >= other.revision;
}
