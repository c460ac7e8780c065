/**
 * Requests that were given up while their server may still work on them. Their slots stay taken: a
 * server that hangs when it is full must not get new requests in place of work that it still does.
 *
 * @module
 */

/** A request that was given up. Times are milliseconds of the steady clock. @internal */
export type HeldRequest = {
	readonly id: number;
	/** Id of the call, for the log. */
	readonly call: string;
	readonly sentAt: number;
	readonly heldAt: number;
	/** When its server stops working on it at the latest. */
	readonly deadlineAt: number;
};

/** In the order in which they were given up. @internal */
export type HeldRequests = readonly HeldRequest[];

/** Why a held slot is released: a load report shows that the server no longer has the request, its deadline has passed, or the server has ended. @internal */
export type ReleaseCause = 'reported' | 'deadline' | 'server-ended';

/** The requests that still count as running, and those that no longer do. @internal */
export type HeldStep = {readonly held: HeldRequests; readonly released: HeldRequests};

/**
 * Releases the requests that the server no longer works on, the ones given up first at the front.
 *
 * @param held - The requests given up.
 * @param reportedCount - How many of them the server may still have, by its load report.
 * @returns The requests that stay, and those released.
 * @internal
 */
export function releaseReported(held: HeldRequests, reportedCount: number): HeldStep {
	const releasedCount = Math.max(0, held.length - Math.max(0, reportedCount));
	return {held: held.slice(releasedCount), released: held.slice(0, releasedCount)};
}

/**
 * Releases the requests whose deadline has passed.
 *
 * @param held - The requests given up.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns The requests that stay, and those released.
 * @internal
 */
export function releaseExpired(held: HeldRequests, now: number): HeldStep {
	return {held: held.filter(({deadlineAt}) => deadlineAt > now), released: held.filter(({deadlineAt}) => deadlineAt <= now)};
}

/**
 * @param held - The requests given up.
 * @returns The first deadline, in milliseconds of the steady clock; `undefined` if there are none.
 * @internal
 */
export function getNextDeadline(held: HeldRequests): number | undefined {
	return held.length === 0 ? undefined : Math.min(...held.map(({deadlineAt}) => deadlineAt));
}
