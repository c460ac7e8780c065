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

/** Why a held slot is released: a load report shows that the server no longer has the request, its deadline has passed, its late response has arrived, the server sends no load reports, or it has ended. @internal */
export type ReleaseCause = 'reported' | 'deadline' | 'responded' | 'no-reports' | 'server-ended';

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

/** The requests at a server whose slots may be held. @internal */
export type OpenRequests = {
	/** Requests whose responses are expected, the one whose caller leaves not included. */
	readonly expected: number;
	/** Requests that were given up and still count as running. */
	readonly held: number;
	/** Requests that may be at the server, held ones included. */
	readonly slotLimit: number;
	/** Time since the request whose caller leaves was sent, in milliseconds. */
	readonly ageMs: number;
	/** Average service time, in milliseconds. */
	readonly serviceMs: number;
};

/** How long a connection stays open after the caller has left, in milliseconds. Backend servers must not work on requests of callers that left half a second ago; the rest is for the way of the close. */
const maxLateMs = 300;

/** Responses that should be expected at any time, as a part of the slots, so that load reports arrive several times in a service time. */
const minExpectedShare = 0.25;

/** A request is taken to be nearly done from this part of the average service time on. */
const nearlyDoneShare = 0.75;

/** A request that was nearly done is closed after this multiple of the average service time, since it is a long one. */
const longShare = 1.5;

/**
 * Decides whether the connection of a request whose caller leaves stays open for the response, while at least half of the slots
 * are in use. It does in two cases:
 *
 * - Few other responses, or none, would bring a load report. The held slots would be idle until the deadlines, or until a further
 *   request has its response.
 * - The request is nearly done. Its response tells when the slot is free, which the close would not.
 *
 * @param open - The requests at the server.
 * @returns How long the connection stays open, in milliseconds; `undefined` if it is closed.
 * @internal
 */
export function computeLateWaitMs({expected, held, slotLimit, ageMs, serviceMs}: OpenRequests): number | undefined {
	if ((held + expected + 1) * 2 < slotLimit) {
		return undefined;
	}

	if (expected < slotLimit * minExpectedShare) {
		return maxLateMs;
	}

	const isNearlyDone = ageMs >= serviceMs * nearlyDoneShare && ageMs < serviceMs * longShare;
	return isNearlyDone ? Math.min(maxLateMs, (serviceMs * longShare) - ageMs) : undefined;
}

/**
 * @param held - The requests given up.
 * @returns The first deadline, in milliseconds of the steady clock; `undefined` if there are none.
 * @internal
 */
export function getNextDeadline(held: HeldRequests): number | undefined {
	return held.length === 0 ? undefined : Math.min(...held.map(({deadlineAt}) => deadlineAt));
}
