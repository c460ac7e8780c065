/**
 * Decides which requests a backend server works on and which wait, by rank and
 * then by arrival: the decision part of a sidecar's gate.
 *
 * @module
 */

/** A request that waits for a slot. @internal */
export type QueuedRequest = {
	readonly id: number;
	/** 0 goes first. */
	readonly rank: number;
	/** It is taken only if it is likely to start by then, in steady milliseconds. */
	readonly startBy: number;
	/** When its wait is over, in steady milliseconds: later, since estimates are. */
	readonly waitUntil: number;
};

/** @internal */
export type SlotQueue = {
	readonly slots: number;
	readonly running: number;
	/** Ordered by rank, then by arrival. */
	readonly waiting: readonly QueuedRequest[];
	/** Average milliseconds that a request keeps its slot. */
	readonly serviceMs: number;
	/** Requests that the average is made of. */
	readonly sampleCount: number;
};

/** What becomes of a request that arrives. @internal */
export type SlotDecision =
	| {readonly type: 'run'}
	/** `displaced` waited behind it and has no place any more. */
	| {readonly type: 'wait'; readonly evicted: QueuedRequest | undefined}
	| {readonly type: 'full'; readonly retryAfterMs: number};

/** Weight of the newest observation in the average of service times: some twenty requests make it. The first ones weigh more: after a restart of the node the estimate decides how many may wait, while everybody comes back at once. */
const smoothingFactor = 0.05;

/** Assumed until the first request has ended; of the order of what the users' sheets give. Milliseconds. */
const initialServiceMs = 60;

/** The time assumed at first counts as so many requests: the first to end are the shortest ones. */
const initialSampleCount = 3;

/** The longest queue for each slot: beyond it every wait is longer than any latency objective. */
const maxQueuedPerSlot = 3;

/** A caller that is told to come back sooner would only be refused again. Milliseconds. */
const minRetryAfterMs = 40;

/**
 * @param slots - Requests that the server works on at once.
 * @returns The queue of an idle server.
 * @internal
 */
export function createSlotQueue(slots: number): SlotQueue {
	return {
		slots, running: 0, waiting: [], serviceMs: initialServiceMs, sampleCount: 0,
	};
}

/**
 * @param queue - The queue.
 * @param rank - Rank of a request.
 * @returns Milliseconds until a request that arrives now would start.
 * @internal
 */
export function estimateWaitMs(queue: SlotQueue, rank: number): number {
	const ahead = queue.waiting.filter(waiting => waiting.rank <= rank).length;
	return queue.running < queue.slots && ahead === 0 ? 0 : (ahead + 1) * queue.serviceMs / Math.max(1, queue.slots);
}

function insertByRank(waiting: readonly QueuedRequest[], request: QueuedRequest): readonly QueuedRequest[] {
	const foundIndex = waiting.findIndex(other => other.rank > request.rank);
	const index = foundIndex === -1 ? waiting.length : foundIndex;
	return [...waiting.slice(0, index), request, ...waiting.slice(index)];
}

/**
 * Admits, queues or refuses a request that arrives.
 *
 * @param queue - The queue.
 * @param request - The request.
 * @param now - Steady milliseconds.
 * @returns The next state and what becomes of the request.
 * @internal
 */
export function admitToQueue(queue: SlotQueue, request: QueuedRequest, now: number): {readonly queue: SlotQueue; readonly decision: SlotDecision} {
	const isFirst = !queue.waiting.some(waiting => waiting.rank <= request.rank);
	if (queue.running < queue.slots && isFirst) {
		return {queue: {...queue, running: queue.running + 1}, decision: {type: 'run'}};
	}

	const wait = estimateWaitMs(queue, request.rank);
	if (now + wait > request.startBy) {
		return {queue, decision: {type: 'full', retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(wait))}};
	}

	const waiting = insertByRank(queue.waiting, request);
	if (waiting.length <= queue.slots * maxQueuedPerSlot) {
		return {queue: {...queue, waiting}, decision: {type: 'wait', evicted: undefined}};
	}

	const evicted = waiting.at(-1);
	if (evicted?.id === request.id) {
		return {queue, decision: {type: 'full', retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(wait))}};
	}

	return {queue: {...queue, waiting: waiting.slice(0, -1)}, decision: {type: 'wait', evicted}};
}

function startQueued(queue: SlotQueue, now: number): {readonly queue: SlotQueue; readonly started: readonly QueuedRequest[]} {
	const inTime = queue.waiting.filter(waiting => waiting.waitUntil > now);
	const free = Math.max(0, queue.slots - queue.running);
	const started = inTime.slice(0, free);
	// Who is out of time is answered by its own timer, which may be late: it must not take the slot.
	const isStarted = new Set(started.map(({id}) => id));
	return {
		queue: {...queue, running: queue.running + started.length, waiting: queue.waiting.filter(({id}) => !isStarted.has(id))},
		started,
	};
}

function recordServiceTime(queue: SlotQueue, tookMs: number): SlotQueue {
	const sampleCount = queue.sampleCount + 1;
	const weight = Math.max(smoothingFactor, 1 / (sampleCount + initialSampleCount));
	return {...queue, sampleCount, serviceMs: (queue.serviceMs * (1 - weight)) + (tookMs * weight)};
}

/**
 * Takes back the slot of a request that has ended.
 *
 * @param queue - The queue.
 * @param tookMs - How long it kept the slot; `undefined` if that tells nothing of the server's speed.
 * @param now - Steady milliseconds.
 * @returns The next state and the requests that start.
 * @internal
 */
export function finishRequest(queue: SlotQueue, tookMs: number | undefined, now: number): {readonly queue: SlotQueue; readonly started: readonly QueuedRequest[]} {
	const released = {...queue, running: Math.max(0, queue.running - 1)};
	return startQueued(tookMs === undefined ? released : recordServiceTime(released, tookMs), now);
}

/**
 * Takes a request that gave up out of the queue.
 *
 * @param queue - The queue.
 * @param id - The request.
 * @returns The next state.
 * @internal
 */
export function removeFromQueue(queue: SlotQueue, id: number): SlotQueue {
	return {...queue, waiting: queue.waiting.filter(waiting => waiting.id !== id)};
}

/**
 * Changes the number of slots.
 *
 * @param queue - The queue.
 * @param slots - The new number.
 * @param now - Steady milliseconds.
 * @returns The next state and the requests that start.
 * @internal
 */
export function resizeSlots(queue: SlotQueue, slots: number, now: number): {readonly queue: SlotQueue; readonly started: readonly QueuedRequest[]} {
	return startQueued({...queue, slots}, now);
}
