/**
 * How long a call on the store may go without an answer: the decision part. A
 * store that answers seldom fails, and then a new connection is better than
 * waiting; one that is slow would never answer if each call were given up and
 * begun anew just before its answer.
 *
 * @module
 */

/** @internal */
export type CallTimeout = {
	/** Milliseconds that the next call may take. */
	readonly getMs: () => number;
	/** Notes that a call was answered, and after how many milliseconds. */
	readonly recordAnswer: (tookMs: number) => void;
	/** Notes that a call was given up after so many milliseconds without an answer. */
	readonly recordTimeout: (limitMs: number) => void;
};

/** A usual store answers in a few milliseconds. */
const minTimeoutMs = 700;

/** Beyond this a change could not be in force in time. Milliseconds. */
const maxTimeoutMs = 2000;

/** A slow store's next answer may take this much longer than its last. */
const latencyFactor = 2;

const clampTimeoutMs = (ms: number): number => Math.min(maxTimeoutMs, Math.max(minTimeoutMs, ms));

/**
 * @returns The patience with a store of which nothing is known.
 * @internal
 */
export function createCallTimeout(): CallTimeout {
	let timeoutMs = minTimeoutMs;
	return {
		getMs: () => timeoutMs,
		recordAnswer(tookMs) {
			timeoutMs = clampTimeoutMs(tookMs * latencyFactor);
		},
		recordTimeout(limitMs) {
			// Calls that were under way together are one silence.
			timeoutMs = Math.max(timeoutMs, clampTimeoutMs(limitMs * latencyFactor));
		},
	};
}
