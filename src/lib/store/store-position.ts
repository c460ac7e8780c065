/**
 * A place in the store's history. A store may come back from a copy: its
 * revisions go back then and are given out again, so a revision alone says
 * nothing. This is the one place where positions are compared.
 *
 * @module
 */

/** Counts how often the store came back from a copy; 0 for a store that does not say. @public */
export type StoreEra = number;

/** The era of a store that does not say it. @internal */
export const noEra: StoreEra = 0;

/** @public */
export type StorePosition = {
	readonly era: StoreEra;
	readonly revision: number;
};

/** A lease, which ends with its era: its id may be somebody else's in the next one. @public */
export type StoreLease = {
	readonly era: StoreEra;
	readonly id: number;
};

/**
 * @param position - A place in the store's history.
 * @param other - Another one.
 * @returns Whether what was written at the second is known at the first; not so if they are of different eras.
 * @internal
 */
export function hasReached(position: StorePosition, other: StorePosition): boolean {
	return position.era === other.era && position.revision >= other.revision;
}
