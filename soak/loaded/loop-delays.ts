/**
 * Records when the event loop of the soak was late, so that an event which the soak observed late is not taken for a late event.
 *
 * @module
 */

/** A time at which the event loop handled nothing. */
export type LoopDelay = {
	/** When it ended, in Unix milliseconds. */
	readonly at: number;
	readonly lateMs: number;
};

const tickMs = 5;

/** Shorter delays are not recorded. */
const minRecordedMs = 10;

/**
 * Starts to record delays.
 *
 * @returns What ends the recording and returns the delays.
 */
export function watchLoop(): {readonly stop: () => readonly LoopDelay[]} {
	const delays: LoopDelay[] = [];
	let lastAt = Date.now();
	const tick = (): void => {
		const at = Date.now();
		const lateMs = at - lastAt - tickMs;
		lastAt = at;
		if (lateMs >= minRecordedMs) {
			delays.push({at, lateMs});
		}
	};

	const timer = setInterval(tick, tickMs);
	return {
		stop() {
			clearInterval(timer);
			tick();
			return delays;
		},
	};
}

/**
 * Sums the delays in a period.
 *
 * @param delays - The delays.
 * @param from - Begin of the period, in Unix milliseconds.
 * @param to - End of the period.
 * @returns The parts of the delays that lie in the period, in milliseconds: the longest one, and all of them.
 */
export function sumDelays(delays: readonly LoopDelay[], from: number, to: number): {readonly longestMs: number; readonly totalMs: number} {
	const parts = delays.map(({at, lateMs}) => Math.min(at, to) - Math.max(at - lateMs, from)).filter(part => part > 0);
	return {longestMs: Math.max(0, ...parts), totalMs: parts.reduce((sum, part) => sum + part, 0)};
}
