/**
 * Whether this process lags behind what arrives. While it does, a request and
 * the close of its connection may both have arrived: the request is read first,
 * and would be sent on although nobody waits for it any more.
 *
 * @module
 */
import {setImmediate as waitForImmediate} from 'node:timers/promises';

/** @internal */
export type LoopLag = {
	/** Notes how late a timer fired. */
	readonly note: (delayMs: number) => void;
	/** While the process lags, waits until what had arrived with a request has been read as well. */
	readonly catchUp: () => Promise<void>;
};

/** A timer that fires this late shows that events wait. Milliseconds: a fifth of the time after which a request that nobody waits for must not be sent on; below it the extra turns cost more than they save. */
const laggingMs = 100;

/**
 * @returns The lag of a process that has just started: taken as lagging, since its code is still cold.
 * @internal
 */
export function createLoopLag(): LoopLag {
	let isLagging = true;
	return {
		note(delayMs) {
			isLagging = delayMs > laggingMs;
		},
		async catchUp() {
			if (!isLagging) {
				return;
			}

			// The first turn ends the reading of what was there; the close of a connection is read in the next.
			await waitForImmediate();
			await waitForImmediate();
		},
	};
}
