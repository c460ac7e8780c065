/**
 * The one place that reads the time, so that tests can pause and advance it
 * with `mock.timers`.
 *
 * @module
 */
import os from 'node:os';
import {createElapsedClock} from './elapsed-clock.js';

/**
 * @returns Milliseconds since the epoch. It may jump, so no promise rests on it.
 * @internal
 */
export function readNow(): number {
	return Date.now();
}

/** The longest time of a timer, in milliseconds: one that is longer would fire at once. */
const maximumTimerMs = 2_147_483_647;

/**
 * @param milliseconds - How long something may take, which others may have named.
 * @returns The same, as a timer takes it.
 * @internal
 */
export function clampTimerMs(milliseconds: number): number {
	return Math.min(maximumTimerMs, Math.max(0, milliseconds));
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

		const timer = setTimeout(finish, clampTimerMs(milliseconds));
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

/** A system that does not tell its uptime tells of no suspension. */
function readUptimeMs(): number | undefined {
	try {
		return os.uptime() * 1000;
	} catch {
		return undefined;
	}
}

/**
 * Reads the clock that stands still while this VM is suspended: for how long work took on it. A suspension of two seconds would otherwise be taken for the speed of the
 * server beside it, and requests be refused that it answers in time.
 *
 * @returns Milliseconds, with fractions.
 * @internal
 */
export function readAwakeMs(): number {
	return performance.now();
}

const elapsedClock = createElapsedClock({readAwakeMs, readNow, readUptimeMs});

/**
 * Reads the clock that does not jump, and that counts the time for which this VM was suspended. Deadlines, ages and rates of a sidecar
 * node are measured with it. Timers do not count that time: what waits for one listens for a resume as well (`watchResume`).
 *
 * @returns Milliseconds since the process started, with fractions.
 * @internal
 */
export const readSteadyMs = elapsedClock.read;

/** Calls back when it is noticed that this VM was suspended, with its milliseconds; yields a function that takes that back. @internal */
export const {watchResume, getSuspendedMs, updateOffsets: updateClockOffsets} = elapsedClock;
