/**
 * How many requests the gate may have at its backend server at the same time. It answers the load of a
 * server that hangs when it is full: such a server holds fewer requests than it announced, or still
 * works on requests that the gate did not send or has given up.
 *
 * @module
 */

/** @internal */
export type ConcurrencyLimit = {
	/** Requests that the server executes at the same time, as it announced. */
	readonly announcedSlots: number;
	/** The same as its load reports say; `undefined` without a report. */
	readonly reportedSlots: number | undefined;
	/** Whether the server may still work on requests of an earlier run of the gate. */
	readonly isCareful: boolean;
	/** Limit since a hang; `undefined` if there was none, or the server has recovered. */
	readonly hangLimit: number | undefined;
	/** Answers since the limit last changed. */
	readonly roundAnswers: number;
	/** Requests at the server that the gate did not send. */
	readonly foreign: number;
	/** Requests that were given up and still count as running. */
	readonly held: number;
};

/** For each group of this many slots, the gate sends one request more than the server executes. The extra request waits at the server for about an eighth of a service time, regardless of its rank. */
const slotsPerQueuedRequest = 8;

/** Part of the limit that is used while the server may still work on requests of an earlier run. That run had as many at most, so the sum exceeds the limit by no more than half, which servers queue. */
const carefulShare = 0.5;

/** Requests that servers queue beside those that they execute, as a part of the limit: at least these, and at least one. */
const queuedShare = 0.5;

/**
 * Computes how many requests may be at a server at the same time, more than it executes. Without the extra requests a free slot
 * would be idle while its response travels to the gate and the next request to the server, about three milliseconds under
 * load. A request that already waits at the server takes the slot immediately.
 *
 * @param slots - Requests that the server executes concurrently.
 * @returns The maximum number of requests at the server.
 * @internal
 */
export const computeConcurrencyLimit = (slots: number): number => slots + Math.floor(slots / slotsPerQueuedRequest);

/**
 * @param announcedSlots - Requests that the server executes at the same time, as it announced.
 * @param isCareful - Whether the server may still work on requests of an earlier run of the gate.
 * @returns The limit of a server that has not answered yet.
 * @internal
 */
export function createConcurrencyLimit(announcedSlots: number, isCareful: boolean): ConcurrencyLimit {
	return {
		announcedSlots, reportedSlots: undefined, isCareful, hangLimit: undefined, roundAnswers: 0, foreign: 0, held: 0,
	};
}

const computeUsualLimit = ({announcedSlots, reportedSlots}: ConcurrencyLimit): number =>
	computeConcurrencyLimit(Math.min(announcedSlots, reportedSlots ?? announcedSlots));

/**
 * Computes the limit that the other nodes are told: without the requests that end soon.
 *
 * @param limit - The state.
 * @returns Requests that the server can hold.
 * @internal
 */
export function computeCapacity(limit: ConcurrencyLimit): number {
	return Math.min(computeUsualLimit(limit), limit.hangLimit ?? Number.POSITIVE_INFINITY);
}

/** Returns whether the limit leaves room for one request beside the held ones in the queue of the server, which has proved no smaller than it announced. */
function hasQueueRoom({isCareful, hangLimit, foreign, held}: ConcurrencyLimit, usual: number): boolean {
	return !isCareful && hangLimit === undefined && held + foreign < usual + Math.max(1, Math.floor(usual * queuedShare));
}

/**
 * Computes the limit that the gate applies. Held requests count as running, and the limit after a hang is one of live requests.
 *
 * @param limit - The state.
 * @returns Requests that may be running at the same time, held ones included; at least one, so that the server can report that it is free again.
 * If all slots are held, one request more, which the server queues: its response reports which of them are free.
 * @internal
 */
export function computeSlotLimit(limit: ConcurrencyLimit): number {
	const usual = computeUsualLimit(limit);
	const started = limit.isCareful ? Math.floor(usual * carefulShare) : usual;
	const slots = Math.min(Math.max(1, started - limit.foreign), (limit.hangLimit ?? Number.POSITIVE_INFINITY) + limit.held);
	return limit.held >= slots && hasQueueRoom(limit, usual) ? limit.held + 1 : slots;
}

/**
 * Lowers the limit after a hang to what the server has shown to hold.
 *
 * @param limit - The state.
 * @param answeredAhead - Requests that were in flight when the hung one was sent, and have been answered since.
 * @returns The next state.
 * @internal
 */
export function lowerAfterHang(limit: ConcurrencyLimit, answeredAhead: number): ConcurrencyLimit {
	return {...limit, hangLimit: Math.max(1, Math.min(answeredAhead, computeCapacity(limit))), roundAnswers: 0};
}

/**
 * Counts an answer. After a hang, the limit rises by one with each full round of answers.
 *
 * @param limit - The state.
 * @returns The next state; the same object if there was no hang.
 * @internal
 */
export function recordAnswer(limit: ConcurrencyLimit): ConcurrencyLimit {
	const {hangLimit} = limit;
	if (hangLimit === undefined) {
		return limit;
	}

	const roundAnswers = limit.roundAnswers + 1;
	if (roundAnswers < hangLimit) {
		return {...limit, roundAnswers};
	}

	const raised = hangLimit + 1;
	return {...limit, roundAnswers: 0, hangLimit: raised >= computeUsualLimit(limit) ? undefined : raised};
}
