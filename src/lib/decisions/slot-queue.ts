/**
 * Priority queue in front of a backend server with a concurrency limit: decides which
 * requests run and which wait, by rank and then by arrival. The functions are
 * pure; the gate of a node calls them.
 *
 * @module
 */
import {recordSlowness, type Slowness} from './slowness.js';
import {
	countByPriority, getPriority, isHeldBack, recordShortage, type PriorityLoad, type Shortage,
} from './priority-admission.js';

/** A request that waits for a slot. @internal */
export type QueuedRequest = {
	readonly id: number;
	/** Lower ranks go first. */
	readonly rank: number;
	/** The request is queued only if it is expected to start by then, in milliseconds of the steady clock. */
	readonly startBy: number;
	/** When the request stops waiting, in milliseconds of the steady clock. It is later than `startBy`, since the estimated wait is inexact. */
	readonly waitUntil: number;
	/** Start tag of the request in the fair order of workspaces; `undefined` if it has no workspace. */
	readonly startTag?: number | undefined;
	/** Whether its workspace gets more slots than its share. */
	readonly isOverShare?: boolean | undefined;
};

/** What the place of a request in the queue depends on. @internal */
export type QueuePlace = Pick<QueuedRequest, 'rank' | 'startTag'>;

/** @internal */
export type SlotQueue = {
	readonly slots: number;
	readonly running: number;
	/** Ordered by priority. Within a priority, requests without a workspace go first, by rank and arrival, and then the others, by their start tags. */
	readonly waiting: readonly QueuedRequest[];
	/** Moving average of the time that a request holds its slot while its VM has the usual speed, in milliseconds. */
	readonly serviceMs: number;
	/** Number of requests in the average. */
	readonly sampleCount: number;
	/** How slow the VM is, as the server reports it; `undefined` if it does not. */
	readonly slowness: Slowness | undefined;
	/** The latest shortage of slots; `undefined` if no request was refused for want of one. */
	readonly shortage: Shortage | undefined;
};

/** Why a request is refused while all slots are in use. @internal */
export type FullCause =
	/** It would have to wait for too long. */
	| 'no-slot'
	/** More urgent requests had to be refused a moment ago. */
	| 'more-urgent'
	/** Its workspace is over its share, and requests of others had to be refused a moment ago. */
	| 'over-share';

/** Decision about a request that arrives. @internal */
export type SlotDecision =
	| {readonly type: 'run'}
	/** `evicted` is the request that was last in the full queue and had to leave it. */
	| {readonly type: 'wait'; readonly evicted: QueuedRequest | undefined}
	| {readonly type: 'full'; readonly retryAfterMs: number; readonly cause: FullCause};

/** Weight of the newest sample in the moving average of service times, which covers about twenty requests. The first samples weigh more: after a restart of the node the estimate decides how many may wait while all callers retry at the same time. */
const smoothingFactor = 0.05;

/** Service time assumed until the first request has ended; of the same order as the service times that the users state. */
const initialServiceMs = 60;

/** The assumed service time counts as this many samples, since the first requests to end are the shortest ones. */
const initialSampleCount = 3;

/** Longest queue per slot. In a longer queue every wait exceeds any latency objective. */
const maxQueuedPerSlot = 3;

/** A caller that retries sooner would be refused again. */
const minRetryAfterMs = 40;

/**
 * @param slots - Concurrency limit of the server.
 * @returns The queue of an idle server.
 * @internal
 */
export function createSlotQueue(slots: number): SlotQueue {
	return {
		slots, running: 0, waiting: [], serviceMs: initialServiceMs, sampleCount: 0, slowness: undefined, shortage: undefined,
	};
}

/** Returns whether a request that waits is ahead of one that arrives. */
function isAhead(waiting: QueuePlace, arriving: QueuePlace): boolean {
	const distance = getPriority(waiting.rank) - getPriority(arriving.rank);
	if (distance !== 0) {
		return distance < 0;
	}

	if (waiting.startTag === undefined || arriving.startTag === undefined) {
		return waiting.startTag === undefined && (arriving.startTag !== undefined || waiting.rank <= arriving.rank);
	}

	return waiting.startTag <= arriving.startTag;
}

/**
 * @param queue - The queue.
 * @param place - Rank and start tag of a request.
 * @returns Estimated milliseconds until a request that arrives now would start.
 * @internal
 */
export function estimateWaitMs(queue: SlotQueue, place: QueuePlace): number {
	const ahead = queue.waiting.filter(waiting => isAhead(waiting, place)).length;
	return queue.running < queue.slots && ahead === 0 ? 0 : (ahead + 1) * queue.serviceMs * (queue.slowness?.latest ?? 1) / Math.max(1, queue.slots);
}

function insertByRank(waiting: readonly QueuedRequest[], request: QueuedRequest): readonly QueuedRequest[] {
	const foundIndex = waiting.findIndex(other => !isAhead(other, request));
	const index = foundIndex === -1 ? waiting.length : foundIndex;
	return [...waiting.slice(0, index), request, ...waiting.slice(index)];
}

/**
 * Starts, queues or refuses a request that arrives.
 *
 * @param queue - The queue.
 * @param request - The request.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns The next state and the decision.
 * @internal
 */
export function admitToQueue(queue: SlotQueue, request: QueuedRequest, now: number): {readonly queue: SlotQueue; readonly decision: SlotDecision} {
	const isFirst = !queue.waiting.some(waiting => isAhead(waiting, request));
	if (queue.running < queue.slots && isFirst) {
		return {queue: {...queue, running: queue.running + 1}, decision: {type: 'run'}};
	}

	const waitMs = estimateWaitMs(queue, request);
	const refuse = (cause: FullCause): {readonly queue: SlotQueue; readonly decision: SlotDecision} => ({
		// A request that may not wait looks for a free slot only, so its refusal does not show a shortage.
		queue: cause !== 'no-slot' || request.startBy <= now ? queue : recordRefusal(queue, request, now),
		decision: {type: 'full', retryAfterMs: Math.max(minRetryAfterMs, Math.ceil(waitMs)), cause},
	});
	const heldBack = findHoldBack(queue.shortage, request, now);
	if (heldBack !== undefined) {
		return refuse(heldBack);
	}

	if (now + waitMs > request.startBy) {
		return refuse('no-slot');
	}

	const waiting = insertByRank(queue.waiting, request);
	if (waiting.length <= queue.slots * maxQueuedPerSlot) {
		return {queue: {...queue, waiting}, decision: {type: 'wait', evicted: undefined}};
	}

	const evicted = waiting.at(-1);
	if (evicted?.id === request.id) {
		return refuse('no-slot');
	}

	return {queue: {...queue, waiting: waiting.slice(0, -1)}, decision: {type: 'wait', evicted}};
}

/**
 * Records that a request which could have waited was refused for want of a slot. Refusals of a workspace over its share do
 * not hold back others.
 *
 * @param queue - The queue.
 * @param request - The request.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns The next state.
 * @internal
 */
export function recordRefusal(queue: SlotQueue, {rank, isOverShare}: Pick<QueuedRequest, 'rank' | 'isOverShare'>, now: number): SlotQueue {
	return isOverShare === true ? queue : {...queue, shortage: recordShortage(queue.shortage, rank, now)};
}

/** Returns why a request is held back in favour of others; `undefined` if it is not. */
function findHoldBack(shortage: Shortage | undefined, {rank, isOverShare}: QueuedRequest, now: number): FullCause | undefined {
	if (isHeldBack(shortage, rank, now)) {
		return 'more-urgent';
	}

	return isOverShare === true && shortage !== undefined && shortage.until > now && shortage.priority === getPriority(rank) ? 'over-share' : undefined;
}

/**
 * @param queue - The queue.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns What entries need to know of the queue to send requests by their priority. While slots are idle, every priority is accepted.
 * @internal
 */
export function describePriorities({running, slots, waiting, shortage}: SlotQueue, now: number): PriorityLoad {
	return {
		...shortage !== undefined && shortage.until > now && running >= slots ? {leastUrgent: shortage.priority} : {},
		...waiting.length > 0 ? {waitingByPriority: countByPriority(waiting)} : {},
	};
}

function startQueued(queue: SlotQueue, now: number): {readonly queue: SlotQueue; readonly started: readonly QueuedRequest[]} {
	if (queue.waiting.length === 0) {
		return {queue, started: queue.waiting};
	}

	const inTime = queue.waiting.filter(waiting => waiting.waitUntil > now);
	const free = Math.max(0, queue.slots - queue.running);
	const started = inTime.slice(0, free);
	// The timer of an expired request answers it, but may fire late. Until then the request stays queued and must not get a slot.
	const isStarted = new Set(started.map(({id}) => id));
	return {
		queue: {...queue, running: queue.running + started.length, waiting: queue.waiting.filter(({id}) => !isStarted.has(id))},
		started,
	};
}

function recordServiceTime(queue: SlotQueue, tookMs: number, slowness: number): SlotQueue {
	const sampleCount = queue.sampleCount + 1;
	const weight = Math.max(smoothingFactor, 1 / (sampleCount + initialSampleCount));
	return {...queue, sampleCount, serviceMs: (queue.serviceMs * (1 - weight)) + (tookMs / slowness * weight)};
}

/**
 * Records how slow the VM of the server is.
 *
 * @param queue - The queue.
 * @param slowness - The reported slowness, as a factor of the usual time.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns The next state.
 * @internal
 */
export function recordReportedSlowness(queue: SlotQueue, slowness: number, now: number): SlotQueue {
	return {...queue, slowness: recordSlowness(queue.slowness, slowness, now)};
}

/**
 * @param queue - The queue.
 * @returns The service time in milliseconds at the average speed of the VM.
 * @internal
 */
export const getAverageServiceMs = ({serviceMs, slowness}: SlotQueue): number => serviceMs * (slowness?.mean ?? 1);

/**
 * Releases the slot of a request that has ended and starts requests that wait.
 *
 * @param queue - The queue.
 * @param tookMs - Milliseconds for which it held the slot; `undefined` if this time must not count as a sample of the service time.
 * @param now - Current time, in milliseconds of the steady clock.
 * @param slowness - How slow the VM was meanwhile, as a factor of the usual time.
 * @returns The next state and the requests that start.
 * @internal
 */
export function finishRequest(queue: SlotQueue, tookMs: number | undefined, now: number, slowness = 1): {readonly queue: SlotQueue; readonly started: readonly QueuedRequest[]} {
	const released = {...queue, running: Math.max(0, queue.running - 1)};
	return startQueued(tookMs === undefined ? released : recordServiceTime(released, tookMs, slowness), now);
}

/**
 * Removes a request that no longer waits from the queue.
 *
 * @param queue - The queue.
 * @param id - Id of the request.
 * @returns The next state.
 * @internal
 */
export function removeFromQueue(queue: SlotQueue, id: number): SlotQueue {
	return {...queue, waiting: queue.waiting.filter(waiting => waiting.id !== id)};
}

/**
 * Changes the number of slots and starts requests that wait if there are more of them.
 *
 * @param queue - The queue.
 * @param slots - The new number of slots.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns The next state and the requests that start.
 * @internal
 */
export function resizeSlots(queue: SlotQueue, slots: number, now: number): {readonly queue: SlotQueue; readonly started: readonly QueuedRequest[]} {
	return startQueued({...queue, slots}, now);
}
