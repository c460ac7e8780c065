/**
 * Decides what is done next for a call: which backend server is asked, and how
 * long it may let the call wait for a slot, or that the call is refused at once.
 *
 * The pattern of load that it answers is a service that gets more than it can
 * work on. Slots are then the only thing that is short, and what a slot's time
 * earns depends on when the work ends: an answer within the latency objective
 * is worth several times a late one, and an answer that nobody waits for is
 * worth nothing. So a call waits only for as long as it can still be answered
 * in time, and only as long as it takes to keep the slots busy.
 *
 * @module
 */
import {type LifetimeKey} from '../common/server-lifetime.js';
import {estimateSlotWaitMs} from './load-view.js';
import {getColdStartFactor, type Candidate} from './rank-servers.js';

/** What decides about a call, at the moment of the decision. @internal */
export type CallState = {
	/** Latency objective of its route, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Since its caller first asked, as far as this node can tell, in milliseconds. */
	readonly ageMs: number;
	/** Until its caller gives up, in milliseconds. */
	readonly leftMs: number;
	/** A backend server made it and holds a slot until it is answered. */
	readonly isNestedCall: boolean;
	/** Body or answer is large. */
	readonly isBulk: boolean;
};

/** What a call has been through. @internal */
export type AttemptHistory = {
	/** Servers that are out of the question: they were tried, or cannot take it. */
	readonly tried: ReadonlySet<LifetimeKey>;
	/** Servers whose gate had no slot at once; they may be asked once more, to let it wait. */
	readonly full: ReadonlySet<LifetimeKey>;
	/** Refusals by gates, which no server saw. */
	readonly refusals: number;
};

/** @internal */
export type AttemptPlan =
	| {readonly type: 'send'; readonly target: Candidate; readonly mayWaitMs: number}
	/** Every server is busy for at least `waitMs`. */
	| {readonly type: 'refuse'; readonly waitMs: number}
	/** The time left is too short for any answer. */
	| {readonly type: 'too-late'}
	| {readonly type: 'no-server'};

/** Computes how long a call may be expected to wait at a server. @internal */
export type ComputeMaxWaitMs = (call: CallState, server: Candidate) => number;

/** @internal */
export type PlanRules = {
	readonly computeWait: ComputeMaxWaitMs;
	/** Gates that are asked for a slot at once before one is asked to let the call wait. */
	readonly immediateTries: number;
};

/** Gates that are asked for a slot at once before one is asked to let the call wait. Large bodies have more to gain by another server, and a refusal costs them next to nothing: their links are what is short. */
const immediateTryLimits = {small: 2, bulk: 4} as const;

/** Refusals by gates after which a call is given up: the caller is better told to come back. */
const maxRefusals = {small: 3, bulk: 5} as const;

/** A call is refused without asking a gate if the wait that is expected is so many times longer than it may be: estimates are rough. */
const waitToleranceFactor = 1.2;

/** No attempt begins with less than this left, in milliseconds: it could not be answered. */
const minAttemptMs = 15;

/** Nor with less than this share of the work that is to be expected: of work that varies widely, a tenth is that short, and the rest would keep a slot for nothing. */
const minWorkShare = 0.25;

/** Work takes longer than its average by this share in the answers that are still to be in time: some four in five. */
const workMarginShare = 0.25;

/** Slots that come free while a call waits, at the most: a queue of so many keeps the slots busy, and each one more delays all that follow. */
const maxReleasesPerWait = 2;

/** A call that a server waits for may wait for this share of what is left: without it the work of its caller is lost. */
const nestedCallWaitShare = 0.4;

/**
 * @param server - A server.
 * @returns Milliseconds that its work takes in the answers that are still to be in time.
 * @internal
 */
export function computeWorkMs(server: Candidate): number {
	return server.view.serviceMs * getColdStartFactor(server) * (1 + workMarginShare);
}

/**
 * Computes how long a call may be expected to wait.
 *
 * @param call - The call.
 * @param server - The server that would let it wait.
 * @returns Milliseconds.
 * @internal
 */
export function computeMaxWaitMs(call: CallState, server: Candidate): number {
	const {targetLatencyMs, ageMs, leftMs, isNestedCall} = call;
	if (isNestedCall) {
		return leftMs * nestedCallWaitShare;
	}

	const {view, slots} = server;
	const inTimeMs = targetLatencyMs - ageMs - computeWorkMs(server);
	if (inTimeMs <= 0) {
		// It takes a slot that is free. If it waited, it would make others late that can still be in time.
		return 0;
	}

	const slotReleaseMs = view.serviceMs / Math.max(1, slots);
	return Math.min(inTimeMs, leftMs, slotReleaseMs === 0 ? inTimeMs : slotReleaseMs * (maxReleasesPerWait + 1));
}

/** Whether a server could not answer a call in the time that is left. A slot that is free is tried all the same: only answers show that a server has become faster. */
function isTooLate({leftMs}: CallState, {view, slots}: Candidate, now: number): boolean {
	if (leftMs < minAttemptMs) {
		return true;
	}

	return estimateSlotWaitMs(view, slots, now) > 0 && leftMs < view.serviceMs * minWorkShare;
}

/** The rules that nodes decide by. @internal */
export const standardRules: PlanRules = {computeWait: computeMaxWaitMs, immediateTries: immediateTryLimits.small};

/**
 * Plans the next attempt of a call.
 *
 * @param call - The call.
 * @param history - What it has been through.
 * @param ranked - The servers of its service, the one to ask first at the front.
 * @param rules - What to decide by.
 * @param now - Steady milliseconds.
 * @returns Whom to ask, or that it is refused.
 * @internal
 */
export function planAttempt(call: CallState, history: AttemptHistory, ranked: readonly Candidate[], rules: PlanRules, now: number): AttemptPlan {
	const eligible = ranked.filter(({lifetime}) => !history.tried.has(lifetime));
	if (eligible.length > 0 && eligible.every(server => isTooLate(call, server, now))) {
		return {type: 'too-late'};
	}

	const tryLimit = call.isBulk ? immediateTryLimits.bulk : rules.immediateTries;
	const withFreeSlot = eligible.find(({lifetime, view, slots}) => !history.full.has(lifetime) && estimateSlotWaitMs(view, slots, now) === 0);
	if (withFreeSlot !== undefined && history.refusals < tryLimit && eligible.length > 1) {
		return {type: 'send', target: withFreeSlot, mayWaitMs: 0};
	}

	const waits = eligible.map(target => ({target, waitMs: estimateSlotWaitMs(target.view, target.slots, now), mayWaitMs: rules.computeWait(call, target)}));
	// The one whose answer is expected first, of those that may let it wait for as long as it takes there.
	const byWait = waits.toSorted((left, right) => left.waitMs - right.waitMs);
	const best = byWait.find(({waitMs, mayWaitMs}) => waitMs <= mayWaitMs * waitToleranceFactor) ?? byWait[0];
	if (best === undefined) {
		return {type: 'no-server'};
	}

	// Nothing tells how many are before a call that servers wait for: it is always sent.
	const isWaitTooLong = best.waitMs > best.mayWaitMs * waitToleranceFactor;
	return isWaitTooLong && !call.isNestedCall ? {type: 'refuse', waitMs: best.waitMs} : {type: 'send', target: best.target, mayWaitMs: best.mayWaitMs};
}

/**
 * @param call - The call.
 * @param refusals - How often gates have refused it.
 * @returns Whether another gate may be asked.
 * @internal
 */
export function mayTryAnotherGate(call: Pick<CallState, 'isBulk'>, refusals: number): boolean {
	return refusals <= maxRefusals[call.isBulk ? 'bulk' : 'small'];
}
