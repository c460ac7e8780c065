/**
 * Adaptive timeout for calls to the store, without I/O. The timeout is short,
 * so that a call on a broken connection is soon retried on a new one. It grows
 * with the latency of the store, since calls to a slow store would otherwise
 * all time out just before their answers arrive.
 *
 * @module
 */

/** @internal */
export type CallTimeout = {
	/** Timeout of the next call, in milliseconds. */
	readonly getMs: () => number;
	/** Records the latency of an answered call, in milliseconds. */
	readonly recordAnswer: (tookMs: number) => void;
	/** Records that a call timed out after `limitMs` milliseconds. */
	readonly recordTimeout: (limitMs: number) => void;
};

/** Lower bound; a healthy store answers in a few milliseconds. */
const minTimeoutMs = 700;

/** Upper bound; with a longer timeout, a configuration change would not be applied within its deadline. */
const maxTimeoutMs = 2000;

/** Ratio of the timeout to the last latency or timeout. */
const latencyFactor = 2;

const clampTimeoutMs = (ms: number): number => Math.min(maxTimeoutMs, Math.max(minTimeoutMs, ms));

/**
 * @returns A timeout at its lower bound.
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
			// Calls that were in flight together have the same limit, so together they raise the timeout once.
			timeoutMs = Math.max(timeoutMs, clampTimeoutMs(limitMs * latencyFactor));
		},
	};
}
