/**
 * Limits the rate of requests to one backend server to the limit that it names.
 * It stands at the gate, where the requests of all nodes arrive, so the sum holds
 * whatever nodes cannot hear of one another.
 *
 * @module
 */
import {clampTimerMs, readSteadyMs} from '../common/clock.js';
import {
	admitLimited, changeLimit, computeNextStartMs, createLimiterState, estimateTokenWaitMs, recordRefused, removeLimited, startLimited,
	type LimitedRequest, type LimiterState,
} from './limiter-state.js';

/** A request that asks whether the limit lets it start. @internal */
export type LimitRequest = Omit<LimitedRequest, 'id'> & {
	/** Registers a callback that is called once when the request ends; returns a function that unregisters it. */
	readonly listenForEnd: (handleEnd: () => void) => () => void;
};

/** @internal */
export type LimitOutcome =
	| {readonly type: 'run'}
	| {readonly type: 'refused'; readonly retryAfterMs: number}
	| {readonly type: 'cancelled'};

/** Whether a request got through. @internal */
export type LimitedOutcome = 'admitted' | 'refused';

/** @internal */
export type ServerLimiter = {
	/** Applies what the server says in a response: its limit, or that it names none. Returns whether that changed the limit. */
	readonly apply: (limitPerSecond: number | undefined) => boolean;
	/** Applies a limit that another node knows, until the server has responded to this one. A restarted node learns of the limit so before it has sent a request. */
	readonly suggest: (limitPerSecond: number) => void;
	/** Refuses a request that is expected to wait longer than it may, before it takes a slot. Returns the expected wait in milliseconds; `undefined` if it may go on. */
	readonly refuseLate: (request: Omit<LimitedRequest, 'id'>) => number | undefined;
	/** Admits a request, at once or when its turn comes. */
	readonly acquire: (request: LimitRequest) => Promise<LimitOutcome>;
	readonly getLimit: () => number | undefined;
	/** Lets all waiting requests go on, because the server has ended. */
	readonly close: () => void;
};

/** Waiting requests are looked at this much later than computed, so that the token is there in spite of rounding. */
const timerMarginMs = 1;

/** A waiting request gives up after this multiple of `mayWaitMs`, because others may come before it. */
const waitToleranceFactor = 2;

/**
 * Creates the limiter of a server that has named no limit yet.
 *
 * @param countOutcome - Called with each request that the limit let through or refused.
 * @returns The limiter.
 * @internal
 */
export function createServerLimiter(countOutcome: (caller: string, outcome: LimitedOutcome) => void): ServerLimiter {
	let state: LimiterState | undefined;
	/** Whether the server itself has said which limit it has. */
	let isConfirmed = false;
	let nextId = 1;
	let timer: NodeJS.Timeout | undefined;
	const finishById = new Map<number, (outcome: LimitOutcome) => void>();

	const scheduleStart = (): void => {
		clearTimeout(timer);
		const startMs = state === undefined ? undefined : computeNextStartMs(state, readSteadyMs());
		timer = startMs === undefined ? undefined : setTimeout(startWaiting, clampTimerMs(startMs + timerMarginMs));
	};

	const startWaiting = (): void => {
		if (state === undefined) {
			return;
		}

		const step = startLimited(state, readSteadyMs());
		state = step.state;
		for (const {id} of step.started) {
			finishById.get(id)?.({type: 'run'});
		}

		scheduleStart();
	};

	const finishAll = (): void => {
		clearTimeout(timer);
		for (const finish of finishById.values()) {
			finish({type: 'run'});
		}
	};

	const setLimit = (limitPerSecond: number | undefined): void => {
		if (limitPerSecond === undefined) {
			state = undefined;
			finishAll();
			return;
		}

		const now = readSteadyMs();
		state = state === undefined ? createLimiterState(limitPerSecond, now) : changeLimit(state, limitPerSecond, now);
		scheduleStart();
	};

	const waitForToken = async ({id, mayWaitMs}: LimitedRequest, {listenForEnd}: LimitRequest): Promise<LimitOutcome> => new Promise(resolve => {
		let stopListening = (): void => undefined;
		const finish = (outcome: LimitOutcome): void => {
			clearTimeout(lateTimer);
			stopListening();
			finishById.delete(id);
			if (state !== undefined) {
				state = removeLimited(state, id);
			}

			resolve(outcome);
		};

		const lateTimer = setTimeout(() => {
			finish({type: 'refused', retryAfterMs: Math.ceil(mayWaitMs)});
		}, clampTimerMs(mayWaitMs * waitToleranceFactor));
		finishById.set(id, finish);
		stopListening = listenForEnd(() => {
			finish({type: 'cancelled'});
		});
	});

	const decide = async (limited: LimiterState, request: LimitRequest): Promise<LimitOutcome> => {
		const {caller, rank, mayWaitMs} = request;
		const queued: LimitedRequest = {
			id: nextId++, caller, rank, mayWaitMs,
		};
		const step = admitLimited(limited, queued, readSteadyMs());
		state = step.state;
		if (step.decision.type !== 'wait') {
			return step.decision;
		}

		const waiting = waitForToken(queued, request);
		scheduleStart();
		return waiting;
	};

	const decideAndCount = async (limited: LimiterState, request: LimitRequest): Promise<LimitOutcome> => {
		const outcome = await decide(limited, request);
		if (outcome.type !== 'cancelled') {
			countOutcome(request.caller, outcome.type === 'run' ? 'admitted' : 'refused');
		}

		return outcome;
	};

	return {
		apply(limitPerSecond) {
			isConfirmed = true;
			if (limitPerSecond === state?.limitPerSecond) {
				return false;
			}

			setLimit(limitPerSecond);
			return true;
		},
		suggest(limitPerSecond) {
			if (!isConfirmed && state === undefined) {
				setLimit(limitPerSecond);
			}
		},
		refuseLate(request) {
			if (state === undefined) {
				return undefined;
			}

			const now = readSteadyMs();
			const waitMs = estimateTokenWaitMs(state, request, now);
			if (waitMs <= request.mayWaitMs) {
				return undefined;
			}

			state = recordRefused(state, request.caller, now);
			countOutcome(request.caller, 'refused');
			return waitMs;
		},
		acquire: async request => state === undefined ? {type: 'run'} : decideAndCount(state, request),
		getLimit: () => state?.limitPerSecond,
		close: finishAll,
	};
}
