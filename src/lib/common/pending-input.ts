/**
 * Reads what has already arrived before something that depends on it. After a pause of
 * the process, due timers run before the sockets are read.
 *
 * @module
 */
import {setImmediate as waitForImmediate} from 'node:timers/promises';

/** Iterations of the event loop without input after which none is pending: one accepts a connection, the next one reads from it. */
const quietIterations = 2;

/** Input that keeps arriving is waited for during this many iterations at most. */
const maxIterations = 500;

/**
 * Waits until the input that has arrived is read.
 *
 * @param countInput - Returns a number that grows with each input that is read.
 * @returns Resolves after iterations of the event loop that read nothing, or after a limited number of iterations.
 * @internal
 */
export async function readPendingInput(countInput: () => number): Promise<void> {
	let quiet = 0;
	let before = countInput();
	for (let iteration = 0; quiet < quietIterations && iteration < maxIterations; iteration++) {
		await waitForImmediate();
		const after = countInput();
		quiet = after === before ? quiet + 1 : 0;
		before = after;
	}
}
