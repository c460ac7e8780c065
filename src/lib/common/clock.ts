/**
 * Clocks and timers. The library reads the time only in this module, so that
 * tests can pause and advance it with `mock.timers`.
 *
 * @module
 */
import os from 'node:os';
import {createElapsedClock} from './elapsed-clock.js';

/**
 * Reads the time of day. It may jump, so no guarantee may depend on it.
 *
 * @returns Milliseconds since the epoch.
 * @internal
 */
export function readNow(): number {
	return Date.now();
}

/** The longest delay of a Node.js timer; a timer with a longer delay fires immediately. */
const maximumTimerMs = 2_147_483_647;

/**
 * Limits a delay to the range that timers support.
 *
 * @param milliseconds - The delay, possibly from a message of another process.
 * @returns The delay, from 0 to the longest delay of a timer.
 * @internal
 */
export function clampTimerMs(milliseconds: number): number {
	return Math.min(maximumTimerMs, Math.max(0, milliseconds));
}

/**
 * Waits for a time or until a signal is aborted.
 *
 * @param milliseconds - The time to wait.
 * @param signal - Ends the wait early.
 * @returns A promise that resolves when the time is over or the signal is aborted.
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

		const timer = setTimeout(finish, clampTimerMs(milliseconds));
		signal?.addEventListener('abort', finish);
	});
}

/**
 * Reads the monotonic clock, to measure how long something took.
 *
 * @returns Microseconds since the process started.
 * @internal
 */
export function readMicroseconds(): number {
	return performance.now() * 1000;
}

/** Reads the uptime of the system. Returns `undefined` if the system does not report it; suspensions are not detected then. */
function readUptimeMs(): number | undefined {
	try {
		return os.uptime() * 1000;
	} catch {
		return undefined;
	}
}

/**
 * Reads the monotonic clock that stops while this VM is suspended, to measure how long work took on this VM. With suspensions
 * included, a suspension of two seconds would count as a slow response of the backend server,
 * and the node would refuse requests that the server can answer in time.
 *
 * @returns Milliseconds, with fractions.
 * @internal
 */
export function readAwakeMs(): number {
	return performance.now();
}

const elapsedClock = createElapsedClock({readAwakeMs, readNow, readUptimeMs});

/**
 * Reads the monotonic clock that includes the time for which this VM was suspended. Deadlines, ages and rates of a sidecar
 * node are measured with it. Timers do not include that time: code that waits for a timer also listens for resumes (`watchResume`).
 *
 * @returns Milliseconds since the process started, with fractions.
 * @internal
 */
export const readSteadyMs = elapsedClock.read;

/** The suspensions of this VM: `watchResume` calls a handler for each, `getSuspendedMs` returns their total, `updateClockOffsets` corrects clock drift. See {@link ElapsedClock}. @internal */
export const {watchResume, getSuspendedMs, updateOffsets: updateClockOffsets} = elapsedClock;
