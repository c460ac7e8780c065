/**
 * Polls, for benches, the demo and scenarios.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {settle} from '../src/lib/common/settle.js';

const defaultPollMs = 10;

/**
 * Polls until a condition holds. A condition that fails does not hold.
 *
 * @param condition - What is waited for.
 * @param timeoutMs - Milliseconds to wait at the most.
 * @param pollMs - Milliseconds between two looks.
 * @returns Whether it held in time.
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>, timeoutMs: number, pollMs: number = defaultPollMs): Promise<boolean> {
	const deadline = Date.now() + timeoutMs;
	do {
		const holds = await settle((async () => condition())());
		if (holds === true) {
			return true;
		}

		await sleep(pollMs);
	} while (Date.now() < deadline);

	return false;
}

/** Far longer than anything takes that tests wait for, also beside load. Milliseconds. */
const maximumWaitMs = 20_000;

/**
 * Waits until a condition holds, for tests that make no sense without it.
 *
 * @param what - What is waited for, for the error.
 * @param condition - The condition.
 * @throws Error when it does not hold within twenty seconds.
 */
export async function expectSoon(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
	if (!(await waitUntil(condition, maximumWaitMs))) {
		throw new Error(`in vain: ${what}`);
	}
}
