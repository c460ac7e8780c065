/**
 * Counts requests by their outcome.
 *
 * @module
 */

/** Requests of one kind, by outcome. A request counts once, whatever the number of its attempts. */
export type KindCounts = {
	requests: number;
	inTime: number;
	late: number;
	/** Finally refused, after no attempt was held for longer than `refusedAtOnceShare` of the target latency. */
	refusedAtOnce: number;
	/** Finally refused, after an attempt was held for longer. */
	refusedLate: number;
	failed: number;
	/** Milliseconds for which requests held slots, and the part of requests that were not answered or that had ended before. */
	slotMs: number;
	wastedSlotMs: number;
	/** Bytes of bodies and responses between failure domains. */
	crossDomainBytes: number;
	/** Latencies of the answered requests, in milliseconds. */
	readonly latencies: number[];
};

/** The fields that are numbers. */
export type CountedField = Exclude<keyof KindCounts, 'latencies'>;

/** Counts by kind of request. */
export type OutcomeCounts = ReadonlyMap<string, KindCounts>;

/** Share of the target latency within which a refusal counts as immediate. */
export const refusedAtOnceShare = 0.125;

/**
 * @param names - The kinds of request.
 * @returns Counts of 0 for each kind.
 */
export function createOutcomeCounts(names: readonly string[]): OutcomeCounts {
	return new Map(names.map(name => [name, {
		requests: 0, inTime: 0, late: 0, refusedAtOnce: 0, refusedLate: 0, failed: 0, slotMs: 0, wastedSlotMs: 0, crossDomainBytes: 0, latencies: [],
	}]));
}
