/**
 * Decides which requests a backend server gets while it names a limit: the pure
 * decisions of its limiter.
 *
 * A token bucket bounds the sum. In any span of t seconds the server gets at most
 * `limit * t` requests plus the burst. The tokens are shared among the callers: while
 * several of them ask, one that got more than its share leaves a token in reserve, which
 * the others find when they ask.
 *
 * @module
 */
import {
	createTokenBucket, refillTokenBucket, type TokenBucket, type TokenBucketLimits,
} from '../common/token-bucket.js';

/** A request that asks for a token. @internal */
export type LimitedRequest = {
	readonly id: number;
	/** The service that sent it, by which shares are counted. */
	readonly caller: string;
	/** Lower ranks go first. */
	readonly rank: number;
	/** The request waits only if it is expected to start within this time, in milliseconds. */
	readonly mayWaitMs: number;
};

/** What a caller asked for and got lately. Both counts decay exponentially. */
type CallerUsage = {
	readonly asked: number;
	readonly got: number;
	readonly updatedAt: number;
};

/** @internal */
export type LimiterState = {
	/** The limit that the server named, in requests per second. */
	readonly limitPerSecond: number;
	readonly bucket: TokenBucket;
	/** Requests that wait for a token, in the order of their arrival. */
	readonly waiting: readonly LimitedRequest[];
	readonly usage: ReadonlyMap<string, CallerUsage>;
};

/** @internal */
export type LimitDecision =
	| {readonly type: 'run'}
	| {readonly type: 'wait'}
	| {readonly type: 'refused'; readonly retryAfterMs: number};

/** The state after tokens were added, and the requests that start now. @internal */
export type StartStep = {readonly state: LimiterState; readonly started: readonly LimitedRequest[]};

/** The lowest rate in requests per second. Only a response shows that a limit has ended, so a server that takes nothing gets a request now and then. */
const minPerSecond = 0.5;

/** Length of the burst in seconds of the limit. */
const burstSeconds = 0.5;

/** Shortest burst: one token, and the one that is kept in reserve. */
const minBurst = 2;

/** Tokens that a caller with more than its share leaves to the others. */
const reservedTokens = 1;

/** Time constant of the counts of usage, in milliseconds. */
const usageDecayMs = 4000;

/** A caller takes part in the sharing if it asked for at least this many requests lately. */
const minAsked = 0.1;

/** Maximum number of callers whose usage is kept; many times the number of services that call one server. */
const maxCallerCount = 256;

/** Longest queue in seconds of the limit. */
const maxQueueSeconds = 2;

const toPerSecond = (limitPerSecond: number): number => Math.max(minPerSecond, limitPerSecond);

function getBucketLimits({limitPerSecond}: Pick<LimiterState, 'limitPerSecond'>): TokenBucketLimits {
	const perSecond = toPerSecond(limitPerSecond);
	return {perSecond, burst: Math.max(minBurst, perSecond * burstSeconds)};
}

/**
 * Creates the state for a limit that was just learned. It has no token yet: the
 * node may have restarted and does not know what the server got before.
 *
 * @param limitPerSecond - The limit.
 * @param now - Steady milliseconds.
 * @returns The state, without waiting requests.
 * @internal
 */
export function createLimiterState(limitPerSecond: number, now: number): LimiterState {
	const state = {limitPerSecond, waiting: [], usage: new Map<string, CallerUsage>()};
	return {...state, bucket: {...createTokenBucket(getBucketLimits(state), now), tokens: 0}};
}

function refill(state: LimiterState, now: number): LimiterState {
	return {...state, bucket: refillTokenBucket(state.bucket, getBucketLimits(state), now)};
}

/**
 * Applies another limit. The tokens gathered so far remain, up to the new burst.
 *
 * @param state - The state.
 * @param limitPerSecond - The new limit.
 * @param now - Steady milliseconds.
 * @returns The next state.
 * @internal
 */
export function changeLimit(state: LimiterState, limitPerSecond: number, now: number): LimiterState {
	return refill({...refill(state, now), limitPerSecond}, now);
}

function computeUsage(usage: CallerUsage | undefined, now: number): CallerUsage {
	if (usage === undefined) {
		return {asked: 0, got: 0, updatedAt: now};
	}

	const share = Math.exp(-Math.max(0, now - usage.updatedAt) / usageDecayMs);
	return {asked: usage.asked * share, got: usage.got * share, updatedAt: now};
}

/** Adds to the usage of a caller. If there are too many callers, forgets the one that is known longest. */
function addUsage(state: LimiterState, caller: string, added: {readonly asked: number; readonly got: number}, now: number): LimiterState {
	const usage = new Map(state.usage);
	const {asked, got} = computeUsage(usage.get(caller), now);
	usage.delete(caller);
	usage.set(caller, {asked: asked + added.asked, got: got + added.got, updatedAt: now});
	if (usage.size > maxCallerCount) {
		usage.delete(usage.keys().next().value!);
	}

	return {...state, usage};
}

/** Returns the tokens that have to be there for a request of a caller to start. */
function countNeededTokens(state: LimiterState, caller: string, now: number): number {
	const active = [...state.usage].map(([name, usage]) => ({name, ...computeUsage(usage, now)})).filter(({name, asked}) => name === caller || asked >= minAsked);
	if (active.length < 2) {
		return 1;
	}

	const total = active.reduce((sum, {got}) => sum + got, 0);
	const own = active.find(({name}) => name === caller)?.got ?? 0;
	return own * active.length > total ? 1 + reservedTokens : 1;
}

/** Orders waiting requests: by rank, then the caller that needs fewer tokens, then by arrival. */
function findNext(state: LimiterState, now: number): {readonly request: LimitedRequest; readonly needed: number} | undefined {
	return state.waiting
		.map(request => ({request, needed: countNeededTokens(state, request.caller, now)}))
		.toSorted((left, right) => left.request.rank - right.request.rank || left.needed - right.needed)
		.at(0);
}

const computeWaitMs = (state: LimiterState, tokens: number): number => Math.max(0, tokens - state.bucket.tokens) * 1000 / toPerSecond(state.limitPerSecond);

/**
 * Estimates how long a request that arrives now would wait for a token.
 *
 * @param before - The state.
 * @param request - The request.
 * @param now - Steady milliseconds.
 * @returns Milliseconds; 0 if it would start at once.
 * @internal
 */
export function estimateTokenWaitMs(before: LimiterState, {caller, rank}: Pick<LimitedRequest, 'caller' | 'rank'>, now: number): number {
	const state = refill(before, now);
	const ahead = state.waiting.filter(waiting => waiting.rank <= rank).length;
	return computeWaitMs(state, ahead + countNeededTokens(state, caller, now));
}

/**
 * Records that a caller asked for a token that it did not get in time.
 *
 * @param state - The state.
 * @param caller - The caller.
 * @param now - Steady milliseconds.
 * @returns The next state.
 * @internal
 */
export const recordRefused = (state: LimiterState, caller: string, now: number): LimiterState => addUsage(state, caller, {asked: 1, got: 0}, now);

/**
 * Starts, queues or refuses a request.
 *
 * @param before - The state.
 * @param request - The request.
 * @param now - Steady milliseconds.
 * @returns The next state and the decision.
 * @internal
 */
export function admitLimited(before: LimiterState, request: LimitedRequest, now: number): {readonly state: LimiterState; readonly decision: LimitDecision} {
	const {caller, mayWaitMs} = request;
	const state = addUsage(refill(before, now), caller, {asked: 1, got: 0}, now);
	const waitMs = estimateTokenWaitMs(state, request, now);
	if (waitMs === 0) {
		const {bucket} = state;
		return {state: addUsage({...state, bucket: {...bucket, tokens: bucket.tokens - 1}}, caller, {asked: 0, got: 1}, now), decision: {type: 'run'}};
	}

	const isQueueFull = state.waiting.length >= Math.max(1, toPerSecond(state.limitPerSecond) * maxQueueSeconds);
	return waitMs > mayWaitMs || isQueueFull
		? {state, decision: {type: 'refused', retryAfterMs: Math.ceil(waitMs)}}
		: {state: {...state, waiting: [...state.waiting, request]}, decision: {type: 'wait'}};
}

/**
 * Removes a request that no longer waits.
 *
 * @param state - The state.
 * @param id - Id of the request.
 * @returns The next state.
 * @internal
 */
export function removeLimited(state: LimiterState, id: number): LimiterState {
	return {...state, waiting: state.waiting.filter(waiting => waiting.id !== id)};
}

/**
 * Starts the waiting requests for which there are tokens.
 *
 * @param before - The state.
 * @param now - Steady milliseconds.
 * @returns The next state and the requests that start.
 * @internal
 */
export function startLimited(before: LimiterState, now: number): StartStep {
	const started: LimitedRequest[] = [];
	let state = refill(before, now);
	for (let next = findNext(state, now); next !== undefined && state.bucket.tokens >= next.needed; next = findNext(state, now)) {
		const {request} = next;
		const {bucket} = state;
		started.push(request);
		state = addUsage(removeLimited({...state, bucket: {...bucket, tokens: bucket.tokens - 1}}, request.id), request.caller, {asked: 0, got: 1}, now);
	}

	return {state, started};
}

/**
 * Computes when the next waiting request may start.
 *
 * @param before - The state.
 * @param now - Steady milliseconds.
 * @returns Milliseconds from now; `undefined` if none waits.
 * @internal
 */
export function computeNextStartMs(before: LimiterState, now: number): number | undefined {
	const state = refill(before, now);
	const next = findNext(state, now);
	return next === undefined ? undefined : computeWaitMs(state, next.needed);
}
