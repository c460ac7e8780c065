/**
 * Computes when a node sends its next round of heartbeats. Pure functions. All
 * nodes align their rounds to the wall clock, so that the datagrams of the other
 * nodes arrive together and wake this process a few times per round, not once
 * per datagram.
 *
 * @module
 */

/** The shortest delay between two rounds, as a share of the period. The wall clock may jump, and two rounds in quick succession carry no new information. */
const minimumDelayShare = 0.25;

/**
 * Computes the delay until the next round.
 *
 * @param wallMs - Wall-clock milliseconds. The clock may jump and differ between VMs; then the rounds of nodes are not aligned, which only costs wake-ups.
 * @param periodMs - Milliseconds between two rounds.
 * @returns Milliseconds until the next round: a quarter of a period to one and a quarter periods.
 * @internal
 */
export function computeRoundDelay(wallMs: number, periodMs: number): number {
	const leftMs = periodMs - (wallMs % periodMs);
	return leftMs < periodMs * minimumDelayShare ? leftMs + periodMs : leftMs;
}
