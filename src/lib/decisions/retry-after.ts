/**
 * Computes the retry delay for callers that are refused.
 *
 * @module
 */

/** A call that is refused. @internal */
export type RefusedCall = {
	/** Time until a slot may be free, reported by gates or estimated by this node, in milliseconds; 0 if unknown. */
	readonly waitMs: number;
	/** Latency objective of its route, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Whether no slot was free. Otherwise a server or node refused the call or was unreachable. */
	readonly isOverloaded: boolean;
};

/**
 * Shortest retry delay if no slot was free, as a share of the latency objective. An earlier retry finds the slots still
 * in use and costs the nodes another attempt.
 */
const overloadDelayShare = 1;

/**
 * Shortest retry delay after other refusals, as a share of the latency objective. It is short enough that a response can still
 * be in time, since one refusal of a server does not make the next one more likely.
 */
const otherDelayShare = 0.15;

/** Jitter as a share of the delay, so that callers that were refused together do not retry together. */
const jitterShare = 0.5;

/**
 * Computes the retry delay. It lasts at least until a slot may be free and, if no slot was free,
 * until the burst of requests that filled the slots has had time to be answered.
 *
 * @param refusal - The refused call.
 * @param random - Returns numbers from 0 up to 1.
 * @returns The delay in milliseconds.
 * @internal
 */
export function computeRetryAfterMs({waitMs, targetLatencyMs, isOverloaded}: RefusedCall, random: () => number): number {
	return Math.max(waitMs, targetLatencyMs * (isOverloaded ? overloadDelayShare : otherDelayShare)) * (1 + (jitterShare * random()));
}
