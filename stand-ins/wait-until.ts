/**
 * Polls conditions, for benchmarks, the demo and tests.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {settle} from '../src/lib/common/settle.js';

const defaultPollMs = 10;

/**
 * Polls until a condition holds. A condition that throws or rejects counts as false.
 *
 * @param condition - The condition; it is checked at least once.
 * @param timeoutMs - Maximum time to wait, in milliseconds.
 * @param pollMs - Milliseconds between two checks.
 * @returns Whether the condition held within the timeout.
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>, timeoutMs: number, pollMs: number = defaultPollMs): Promise<boolean> {
	// The time of day may jump, also when this VM has been suspended.
	const deadline = performance.now() + timeoutMs;
	do {
		const holds = await settle((async () => condition())());
		if (holds === true) {
			return true;
		}

		await sleep(pollMs);
	} while (performance.now() < deadline);

	return false;
}

/** Much longer than any condition of a test takes, also on a loaded machine. */
const maximumWaitMs = 20_000;

/**
 * Waits until a condition holds, for tests that can't continue without it.
 *
 * @param what - Describes the condition in the error.
 * @param condition - The condition.
 * @throws Error if it doesn't hold within 20 seconds.
 */
export async function expectSoon(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
	if (!(await waitUntil(condition, maximumWaitMs))) {
		throw new Error(`condition not met in time: ${what}`);
	}
}
