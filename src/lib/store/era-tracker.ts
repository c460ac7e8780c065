/**
 * Tracks the era of the store by its answers. Answers may arrive out of order:
 * the answer to a call that was sent before an era change may be stale.
 *
 * @module
 */
import {type StoreEra} from './store-position.js';

/** @internal */
export type EraTracker = {
	/** Returns the current era; `undefined` before the first answer. */
	readonly get: () => StoreEra | undefined;
	/** Returns the number of era changes so far. Read it when a call is sent, and pass it to `accept` with the answer. */
	readonly getChangeCount: () => number;
	/** Updates the current era from an answer. Returns false if the answer is stale and must be discarded. */
	readonly accept: (era: StoreEra, sentAtChange: number) => boolean;
	/** Registers a handler that is called on each change of era. The first era is not a change. */
	readonly watch: (handleEra: (era: StoreEra) => void) => void;
};

/**
 * @returns A tracker without an era.
 * @internal
 */
export function createEraTracker(): EraTracker {
	const handlers: Array<(era: StoreEra) => void> = [];
	let current: StoreEra | undefined;
	/** Number of era changes, the first answer included; identifies the era in which a call was sent. */
	let changeCount = 0;
	return {
		get: () => current,
		getChangeCount: () => changeCount,
		accept(era, sentAtChange) {
			if (era === current) {
				return true;
			}

			// A lower era is stale only if the call was sent before the last change: a replacement store may start at a lower era.
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
