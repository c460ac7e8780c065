/**
 * Which era the store is in, as its answers say. Answers overtake one another:
 * one that was asked for before a newer era was heard of tells of what is over.
 *
 * @module
 */
import {type StoreEra} from './store-position.js';

/** @internal */
export type EraTracker = {
	readonly get: () => StoreEra | undefined;
	/** Notes that a call is sent; yields what `accept` is to be handed with its answer. */
	readonly getChangeCount: () => number;
	/** Takes in the era of an answer; yields whether the answer counts. */
	readonly accept: (era: StoreEra, sentAtChange: number) => boolean;
	/** Calls back at each change of era. */
	readonly watch: (handleEra: (era: StoreEra) => void) => void;
};

/**
 * @returns A book before the first answer.
 * @internal
 */
export function createEraTracker(): EraTracker {
	const handlers: Array<(era: StoreEra) => void> = [];
	let current: StoreEra | undefined;
	/** Counts changes of era: a call belongs to the one in which it was sent. */
	let changeCount = 0;
	return {
		get: () => current,
		getChangeCount: () => changeCount,
		accept(era, sentAtChange) {
			if (era === current) {
				return true;
			}

			// A store that another one took the place of may count from anew; only what was asked for before can be late.
			const isStale = current !== undefined && sentAtChange !== changeCount && era < current;
			if (isStale) {
				return false;
			}

			const isFirst = current === undefined;
			current = era;
			changeCount++;
			if (!isFirst) {
				for (const handleEra of handlers) {
					handleEra(era);
				}
			}

			return true;
		},
		watch(handleEra) {
			handlers.push(handleEra);
		},
	};
}
