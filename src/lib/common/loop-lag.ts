/**
 * Detects whether this process lags behind its input. While it does, a request
 * and the close of its connection may both have arrived: the request is read
 * first, and would be forwarded although its caller has already left.
 *
 * @module
 */
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {readAwakeMs, readSteadyMs, watchResume} from './clock.js';

/** How long a request that was just read has waited unread, in milliseconds. @internal */
export type UnreadTime = {
	/** It had arrived when the current iteration of the event loop began to read. */
	readonly leastMs: number;
	/** It may have arrived at any time in the previous iteration, if that ended immediately before, or before a suspension that has just ended. */
	readonly mostMs: number;
};

/** @internal */
export type LoopLag = {
	/** Records how late a timer fired. */
	readonly recordTimerDelay: (delayMs: number) => void;
	/** Estimates how long a request that was just read has waited unread. */
	readonly estimateUnread: () => UnreadTime;
	/** Waits until input that arrived together with a request has been read as well. Returns immediately if the process does not lag and `mayHaveWaited` is false. Set `mayHaveWaited` if the request may have waited where this process cannot measure it, for example on a connection that was not accepted yet. */
	readonly waitForPendingInput: (mayHaveWaited?: boolean) => Promise<void>;
};

/** Delay of a timer above which events are considered to be waiting: a fifth of the time after which a request whose caller has left must not be forwarded. Below this, the extra iterations cost more than they save. */
const lagThresholdMs = 100;

/** Time after the detection of a suspension, a few iterations, within which the process reads the input that arrived before the suspension. The estimate for all input read within this time includes the length of the suspension, also for input that arrived later. */
const resumeWindowMs = 20;

/** Longest gap between two iterations that follow one another without idle time. */
const maximumIterationGapMs = 2;

/**
 * Creates a lag detector.
 *
 * @returns The detector. It starts as lagging, since the code of a process that has just started is not optimized yet.
 * @internal
 */
export function createLoopLag(): LoopLag {
	let isLagging = true;
	let iteration: {readonly startedAt: number; readonly previousMs: number} | undefined;
	let lastIteration = {endedAt: 0, tookMs: 0};
	/** The last suspension of this VM: when it was detected, and its length in milliseconds. */
	let suspension = {noticedAt: Number.NEGATIVE_INFINITY, forMs: 0};
	watchResume(forMs => {
		suspension = {noticedAt: readAwakeMs(), forMs};
	});

	/** Returns the length of the last suspension if input read now may have arrived before it, otherwise 0. */
	const getSuspendedMs = (): number => readAwakeMs() - suspension.noticedAt < resumeWindowMs ? suspension.forMs : 0;

	/** Records that a request was read, and returns the current iteration. One iteration of the event loop reads all input that has arrived: with a backlog it may take seconds, during which no timer fires. */
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

	const estimateUnread = (): UnreadTime => {
		const now = readSteadyMs();
		const {startedAt, previousMs} = recordRead(now);
		const leastMs = now - startedAt;
		return {leastMs, mostMs: leastMs + previousMs};
	};

	return {
		estimateUnread,
		recordTimerDelay(delayMs) {
			isLagging = delayMs > lagThresholdMs;
		},
		async waitForPendingInput(mayHaveWaited = false) {
			if (estimateUnread().mostMs <= lagThresholdMs && !isLagging && !mayHaveWaited) {
				return;
			}

			// The current iteration reads the remaining input; the close of a connection is read in the next one.
			await waitForImmediate();
			await waitForImmediate();
		},
	};
}
