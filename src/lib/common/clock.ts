/**
 * The one place that reads the time, so that tests can pause and advance it
 * with `mock.timers`.
 *
 * @module
 */

/**
 * @returns Milliseconds since the epoch. It may jump, so no promise rests on it.
 * @internal
 */
export function readNow(): number {
	return Date.now();
}

/** The longest time of a timer, in milliseconds: one that is longer would fire at once. */
const longestTimerMs = 2_147_483_647;

/**
 * @param milliseconds - How long something may take, which others may have named.
 * @returns The same, as a timer takes it.
 * @internal
 */
export function trimTimerMs(milliseconds: number): number {
	return Math.min(longestTimerMs, Math.max(0, milliseconds));
}

/**
 * Waits.
 *
 * @param milliseconds - How long.
 * @param signal - Ends the wait early.
 * @returns When the time is over or the signal fired.
 * @internal
 */
export async function waitFor(milliseconds: number, signal?: AbortSignal): Promise<void> {
	if (signal?.aborted) {
		return;
	}

	return new Promise(resolve => {
		const finish = (): void => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, trimTimerMs(milliseconds));
		signal?.addEventListener('abort', finish);
	});
}

/**
 * Reads a clock that does not jump, for measuring how long something took.
 *
 * @returns Microseconds since the process started.
 * @internal
 */
export function readMicroseconds(): number {
	return performance.now() * 1000;
}

/**
 * Reads the clock that does not jump. Deadlines, ages and rates of a sidecar
 * node are measured with it.
 *
 * @returns Milliseconds since the process started, with fractions.
 * @internal
 */
export function readSteadyMs(): number {
	return performance.now();
}
