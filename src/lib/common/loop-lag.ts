/**
 * Whether this process lags behind what arrives. While it does, a request and
 * the close of its connection may both have arrived: the request is read first,
 * and would be sent on although nobody waits for it any more.
 *
 * @module
 */
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {readAwakeMs, readSteadyMs, watchResume} from './clock.js';

/** @internal */
export type LoopLag = {
	/** Notes how late a timer fired. */
	readonly recordTimerDelay: (delayMs: number) => void;
	/** For how long a request that was read just now may have lain unread: since the turn before began, if that has only just ended. Milliseconds. */
	readonly estimateUnreadMs: () => number;
	/** Waits until what had arrived with a request has been read as well: while the process lags, or always for what may have waited elsewhere than in it. */
	readonly waitForPendingInput: (mayHaveWaited?: boolean) => Promise<void>;
};

/** A timer that fires this late shows that events wait. Milliseconds: a fifth of the time after which a request that nobody waits for must not be sent on; below it the extra turns cost more than they save. */
const lagThresholdMs = 100;

/** What had arrived before a suspension is read within this time after it. Milliseconds: a few turns; what arrives in it for the first time counts as that much older. */
const resumeWindowMs = 20;

/** Two turns follow one another without a rest if less than this lies between them, in milliseconds. */
const maximumIterationGapMs = 2;

/**
 * @returns The lag of a process that has just started: taken as lagging, since its code is still cold.
 * @internal
 */
export function createLoopLag(): LoopLag {
	let isLagging = true;
	let iteration: {readonly startedAt: number; readonly previousMs: number} | undefined;
	let lastIteration = {endedAt: 0, tookMs: 0};
	/** The last suspension of this VM, and when it was noticed. */
	let suspension = {noticedAt: Number.NEGATIVE_INFINITY, forMs: 0};
	watchResume(forMs => {
		suspension = {noticedAt: readAwakeMs(), forMs};
	});

	/** What is read in the first moments after a suspension may have arrived before it. */
	const getSuspendedMs = (): number => readAwakeMs() - suspension.noticedAt < resumeWindowMs ? suspension.forMs : 0;

	/** Notes that a request was read. A turn of the loop reads everything that has arrived: under a backlog it may take seconds, and no timer fires within. */
	const recordRead = (now: number): {readonly startedAt: number; readonly previousMs: number} => {
		if (iteration !== undefined) {
			return iteration;
		}

		const nextIteration = {startedAt: now, previousMs: getSuspendedMs() + (now - lastIteration.endedAt < maximumIterationGapMs ? lastIteration.tookMs : 0)};
		iteration = nextIteration;
		setImmediate(() => {
			const endedAt = readSteadyMs();
			lastIteration = {endedAt, tookMs: endedAt - nextIteration.startedAt};
			iteration = undefined;
		});
		return nextIteration;
	};

	const estimateUnreadMs = (): number => {
		const now = readSteadyMs();
		const {startedAt, previousMs} = recordRead(now);
		return now - startedAt + previousMs;
	};

	return {
		estimateUnreadMs,
		recordTimerDelay(delayMs) {
			isLagging = delayMs > lagThresholdMs;
		},
		async waitForPendingInput(mayHaveWaited = false) {
			if (estimateUnreadMs() <= lagThresholdMs && !isLagging && !mayHaveWaited) {
				return;
			}

			// The first turn ends the reading of what was there; the close of a connection is read in the next.
			await waitForImmediate();
			await waitForImmediate();
		},
	};
}
