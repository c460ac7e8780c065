/**
 * Plans the next attempt of a call: the backend server that gets it and how long
 * it may wait there for a slot, or that the call is refused immediately.
 *
 * The rules are made for an overloaded service, in which slots are the scarce
 * resource. The value of the work in a slot depends on when it ends: a response
 * within the latency objective is worth several times a late one, and a response
 * after the caller has left is worth nothing. So a call waits only while it can
 * still be answered in time, and only as long as it takes to keep the slots busy.
 *
 * @module
 */
import {type LifetimeKey} from '../common/server-lifetime.js';
import {estimateSlotWaitMs, holdBackMs, isPriorityHeldBack} from './load-view.js';
import {getColdStartFactor, type Candidate} from './rank-servers.js';
import {shareMemoryMs} from './share-refusals.js';

/** State of a call at the time of the decision. @internal */
export type CallState = {
	/** Latency objective of its route, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Estimated time since the caller sent it for the first time, in milliseconds. */
	readonly ageMs: number;
	/** Time until its deadline, in milliseconds. */
	readonly leftMs: number;
	/** Whether a backend server made the call and holds a slot until it is answered. */
	readonly isNestedCall: boolean;
	/** Whether the request body or the response is large. */
	readonly isBulk: boolean;
	/** Its priority; 0 is the most urgent. Less urgent requests that wait at a gate are not ahead of it. A nested call is the most urgent one, whatever its priority. */
	readonly priority: number;
	/** Whether gates said that its workspace is over its share. */
	readonly isOverShare: boolean;
	/** Shortest time in which its body can be sent to another VM, in milliseconds; 0 if omitted. */
	readonly bodyMs?: number;
};

/** Earlier attempts of a call. @internal */
export type AttemptHistory = {
	/** Servers that are excluded: they were tried, or cannot accept the call. */
	readonly tried: ReadonlySet<LifetimeKey>;
	/** Servers whose gate had no free slot; the call may be sent to them once more, to be queued. */
	readonly full: ReadonlySet<LifetimeKey>;
	/** Number of refusals by gates, which did not reach a server. */
	readonly refusals: number;
};

/** @internal */
export type AttemptPlan =
	| {readonly type: 'send'; readonly target: Candidate; readonly mayWaitMs: number}
	/** Every server is busy, or its limit used up, for at least `waitMs` milliseconds. */
	| {readonly type: 'refuse'; readonly waitMs: number; readonly isLimited: boolean}
	/** Every server holds back requests of this priority, since it had to refuse more urgent ones. */
	| {readonly type: 'hold-back'; readonly waitMs: number}
	/** The workspace of the call is over its share, and gates had to refuse requests of others. */
	| {readonly type: 'over-share'; readonly waitMs: number}
	/** The time left is too short for a response of any server. */
	| {readonly type: 'too-late'}
	| {readonly type: 'no-server'};

/** Computes the longest acceptable wait of a call at a server in milliseconds. @internal */
export type ComputeMaxWaitMs = (call: CallState, server: Candidate) => number;

/** @internal */
export type PlanRules = {
	readonly computeMaxWaitMs: ComputeMaxWaitMs;
	/** Number of gates that may only give a call a free slot. After them, a gate may also queue the call. */
	readonly immediateTries: number;
	/** Returns numbers from 0 up to 1. */
	readonly random: () => number;
};

/** Number of gates that may only give a call a free slot. After them, a gate may also queue the call. Calls with large bodies gain more from another server, and a refusal costs them very little: their bottleneck is the link. */
const immediateTryLimits = {small: 2, bulk: 4} as const;

/** Refusals by gates after which a call is refused: it is better that the caller retries later. */
const maxRefusals = {small: 3, bulk: 5} as const;

/** A call is refused without asking a gate if the expected wait exceeds the longest acceptable one by this factor, since estimates are rough. */
const waitToleranceFactor = 1.2;

/** No attempt starts with less time left than this: it could not be answered. */
const minAttemptMs = 15;

/** No attempt starts with less time left than this share of the average service time. If service times vary widely, about a tenth of the requests take no longer than this share; the others would hold a slot without being answered in time. */
const minWorkShare = 0.25;

/** Margin on the average service time, as a share, within which about four in five responses are in time. */
const workMarginShare = 0.25;

/** A call waits for at most this many slots to be released. A queue of this length keeps the slots busy, and each additional request delays all that follow. */
const maxReleasesPerWait = 2;

/** Range of the random factor on estimated waits. Reports are up to one heartbeat old: if all nodes chose the shortest known wait, they would all choose the same server, whose gate refuses most of them. */
const waitJitterShare = 1;

/** A nested call may wait for this share of the time left, since the work of its caller is lost if it is refused. */
const nestedCallWaitShare = 0.4;

/**
 * @param server - A server.
 * @returns Its service time in milliseconds, with a margin so that most responses are in time.
 * @internal
 */
export function computeWorkMs(server: Candidate): number {
	return server.view.serviceMs * getColdStartFactor(server) * (1 + workMarginShare);
}

/** Returns how long a call may wait at a server and still be answered in time, in milliseconds; negative if it is late there. */
const computeInTimeMs = ({targetLatencyMs, ageMs}: CallState, server: Candidate): number => targetLatencyMs - ageMs - computeWorkMs(server);

/**
 * Computes the longest acceptable wait of a call.
 *
 * @param call - The call.
 * @param server - The server at whose gate it would wait.
 * @returns Milliseconds.
 * @internal
 */
export function computeMaxWaitMs(call: CallState, server: Candidate): number {
	const {leftMs, isNestedCall} = call;
	if (isNestedCall) {
		return leftMs * nestedCallWaitShare;
	}

	const {view, slots} = server;
	const inTimeMs = computeInTimeMs(call, server);
	if (inTimeMs <= 0) {
		// A late call may only use a free slot. If it waited, it would delay others that can still be in time.
		return 0;
	}

	const slotReleaseMs = view.serviceMs / Math.max(1, slots);
	const limitReleaseMs = view.limitPerSecond === undefined ? 0 : 1000 / view.limitPerSecond;
	const releaseMs = Math.max(slotReleaseMs, limitReleaseMs);
	return Math.min(inTimeMs, leftMs, releaseMs === 0 ? inTimeMs : releaseMs * (maxReleasesPerWait + 1));
}

/** Estimates how long a call would wait at a server, in milliseconds. Slots that are reserved for requests of the server's own failure domain count as taken. */
const estimateWaitAt = ({view, slots, reservedSlots = 0}: Candidate, {priority}: Pick<CallState, 'priority'>, now: number): number =>
	estimateSlotWaitMs(view, Math.max(1, slots - reservedSlots), now, priority);

/** Returns how much of the time left remains once a server has the whole request, in milliseconds. */
const computeLeftAtServerMs = ({leftMs, bodyMs = 0}: CallState, {isLocal}: Candidate): number => leftMs - (isLocal ? 0 : bodyMs);

/** Excludes servers that could not have the whole request in time. */
const keepReachableInTime = (call: CallState, servers: readonly Candidate[]): readonly Candidate[] =>
	call.bodyMs === undefined || call.bodyMs === 0 ? servers : servers.filter(server => computeLeftAtServerMs(call, server) >= minAttemptMs);

/** Returns whether a server could not answer a call in the time left. A free slot is tried in any case, since only responses show that a server has become faster. */
function isTooLate(call: CallState, server: Candidate, now: number): boolean {
	const {priority} = call;
	const {view, slots} = server;
	const leftMs = computeLeftAtServerMs(call, server);
	if (leftMs < minAttemptMs) {
		return true;
	}

	return estimateSlotWaitMs(view, slots, now, priority) > 0 && leftMs < view.serviceMs * minWorkShare;
}

/** Returns whether a call is expected to be answered in time if it gets a slot of a server at once. The caller of a nested call waits in any case. */
const isInTime = (call: CallState, server: Candidate): boolean => call.isNestedCall || computeInTimeMs(call, server) > 0;

/** Returns whether the gate of a server holds a call back in favour of more urgent ones. A call that would be answered late there is less urgent than any that can be in time. */
const isHeldBackAt = (call: CallState, server: Candidate, now: number): boolean =>
	!call.isNestedCall && isPriorityHeldBack(server.view, isInTime(call, server) ? call.priority : Number.POSITIVE_INFINITY, now);

function findLowest<Item>(items: readonly Item[], compute: (item: Item) => number): Item | undefined {
	let lowest: Item | undefined;
	let lowestValue = Number.POSITIVE_INFINITY;
	for (const item of items) {
		const value = compute(item);
		if (lowest === undefined || value < lowestValue) {
			lowest = item;
			lowestValue = value;
		}
	}

	return lowest;
}

/** The rules that nodes use. @internal */
export const standardRules: Omit<PlanRules, 'random'> = {computeMaxWaitMs, immediateTries: immediateTryLimits.small};

/**
 * Plans the next attempt of a call.
 *
 * @param call - The call.
 * @param history - Its earlier attempts.
 * @param ranked - The servers of its service, the preferred one at the front.
 * @param rules - The rules to apply.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns The server to try, or why there is none.
 * @internal
 */
export function planAttempt(call: CallState, history: AttemptHistory, ranked: readonly Candidate[], rules: PlanRules, now: number): AttemptPlan {
	const remaining = ranked.filter(({lifetime}) => !history.tried.has(lifetime));
	if (remaining.length > 0 && remaining.every(server => isTooLate(call, server, now))) {
		return {type: 'too-late'};
	}

	const untried = keepReachableInTime(call, remaining);
	const estimateWaitMs = (server: Candidate): number => estimateWaitAt(server, call, now);
	const eligible = untried.filter(server => !isHeldBackAt(call, server, now));
	if (eligible.length === 0 && untried.length > 0) {
		// Callers that return earlier would be held back again.
		return {type: 'hold-back', waitMs: Math.max(holdBackMs, Math.min(...untried.map(server => estimateWaitMs(server))))};
	}

	// Gates found the workspace over its share only while all of their slots were in use. A slot that was free at the last report is left to the other workspaces.
	if (call.isOverShare && !call.isNestedCall && untried.length > 0) {
		return {type: 'over-share', waitMs: Math.max(shareMemoryMs, Math.min(...untried.map(server => estimateWaitMs(server))))};
	}

	const tryLimit = call.isBulk ? immediateTryLimits.bulk : rules.immediateTries;
	const mayTakeFreeSlot = history.refusals < tryLimit && eligible.length > 1;
	const hasFreeSlot = (server: Candidate): boolean => !history.full.has(server.lifetime) && estimateWaitMs(server) === 0;
	const free = mayTakeFreeSlot ? eligible.find(server => hasFreeSlot(server) && isInTime(call, server)) : undefined;
	if (free !== undefined) {
		return {type: 'send', target: free, mayWaitMs: 0};
	}

	const waits = eligible.map(target => ({target, waitMs: estimateWaitMs(target), mayWaitMs: rules.computeMaxWaitMs(call, target)}));
	const acceptable = waits.filter(({waitMs, mayWaitMs}) => mayWaitMs > 0 && waitMs <= mayWaitMs * waitToleranceFactor);
	// A call that would be refused takes a slot in which it is late, or one that is reserved.
	const hasReservedSlot = ({lifetime, view, slots}: Candidate): boolean => !history.full.has(lifetime) && estimateSlotWaitMs(view, slots, now, call.priority) === 0;
	const lastFree = mayTakeFreeSlot && acceptable.length === 0
		? eligible.find(server => hasReservedSlot(server) && isInTime(call, server)) ?? eligible.find(server => hasReservedSlot(server))
		: undefined;
	if (lastFree !== undefined) {
		return {type: 'send', target: lastFree, mayWaitMs: 0};
	}

	const best = findLowest(acceptable, ({waitMs}) => waitMs * (1 + ((rules.random() - 0.5) * waitJitterShare))) ?? findLowest(waits, ({waitMs}) => waitMs);
	if (best === undefined) {
		return {type: 'no-server'};
	}

	// Reports do not tell how many waiting requests are ahead of a nested call, so it is always sent.
	const isWaitTooLong = best.waitMs > best.mayWaitMs * waitToleranceFactor;
	return isWaitTooLong && !call.isNestedCall ? {type: 'refuse', waitMs: best.waitMs, isLimited: best.target.view.limitedUntil > now} : {type: 'send', target: best.target, mayWaitMs: best.mayWaitMs};
}

/**
 * @param call - The call.
 * @param refusals - Number of refusals by gates so far.
 * @returns Whether another gate may be tried.
 * @internal
 */
export function mayTryAnotherGate(call: Pick<CallState, 'isBulk'>, refusals: number): boolean {
	return refusals <= maxRefusals[call.isBulk ? 'bulk' : 'small'];
}
