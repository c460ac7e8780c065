/**
 * When a node sends its next round of heartbeats: the decision part. All nodes
 * send at the same moments of the time of day, so that what the others send
 * arrives together and wakes this process a few times a round, not once for
 * each datagram.
 *
 * @module
 */

/** A round comes this share of a period after the last one at the earliest: the time of day may jump, and two rounds in succession tell nothing new. */
const minimumDelayShare = 0.25;

/**
 * @param wallMs - The time of day, which may jump and differ between VMs: then rounds of different nodes are apart, which costs wake-ups and nothing else.
 * @param periodMs - Milliseconds between two rounds.
 * @returns Milliseconds until the next round: up to a quarter more than a period, once after a jump.
 * @internal
 */
export function computeRoundDelay(wallMs: number, periodMs: number): number {
	const leftMs = periodMs - (wallMs % periodMs);
	return leftMs < periodMs * minimumDelayShare ? leftMs + periodMs : leftMs;
}
