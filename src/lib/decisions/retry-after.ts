/**
 * Decides when a caller that is refused should come back.
 *
 * @module
 */

/** What is known when a caller is refused. @internal */
export type RefusedCall = {
	/** Until a slot may be free for it, as gates said or as this node expects; 0 if nothing is known. Milliseconds. */
	readonly waitMs: number;
	/** Latency objective of its route, in milliseconds. */
	readonly targetLatencyMs: number;
	/** It was refused for want of a slot, and not because a server or node turned it away or could not be reached. */
	readonly isOverloaded: boolean;
};

/**
 * Who was refused for want of a slot does not come back sooner than this share of the latency objective:
 * what comes back soon finds the slots taken, and costs nodes a try.
 */
const overloadDelayShare = 1;

/**
 * Who was refused for another reason comes back sooner, while an answer can still be in time: whether a server turns the next
 * request away has nothing to do with this one.
 */
const otherDelayShare = 0.15;

/** A time to come back is spread by this share, so that those who were refused together do not come back together. */
const jitterShare = 0.5;

/**
 * Computes when to come back: when a slot may be free, and not before the rush
 * that filled them has had the time that its answers take.
 *
 * @param refusal - What is known.
 * @param random - Yields numbers from 0 up to 1.
 * @returns Milliseconds.
 * @internal
 */
export function computeRetryAfterMs({waitMs, targetLatencyMs, isOverloaded}: RefusedCall, random: () => number): number {
	return Math.max(waitMs, targetLatencyMs * (isOverloaded ? overloadDelayShare : otherDelayShare)) * (1 + (jitterShare * random()));
}
