/**
 * Counts what became of callers' requests.
 *
 * @module
 */

/** What became of the requests of one kind, each counted once over all of its tries. */
export type KindCounts = {
	requests: number;
	inTime: number;
	late: number;
	/** Refused for good, each time at once: held for less than an eighth of the objective. */
	refusedAtOnce: number;
	/** Refused for good after having been held for longer. */
	refusedLate: number;
	failed: number;
	/** Milliseconds of slots, and of these the ones spent on work that nobody got. */
	slotMs: number;
	wastedSlotMs: number;
};

/** By kind of request. */
export type OutcomeCounts = ReadonlyMap<string, KindCounts>;

/** Share of the objective up to which a refusal counts as one at once. */
export const refusedAtOnceShare = 0.125;

/**
 * @param names - Kinds of request.
 * @returns Counts of nothing.
 */
export function createOutcomeCounts(names: readonly string[]): OutcomeCounts {
	return new Map(names.map(name => [name, {
		requests: 0, inTime: 0, late: 0, refusedAtOnce: 0, refusedLate: 0, failed: 0, slotMs: 0, wastedSlotMs: 0,
	}]));
}
