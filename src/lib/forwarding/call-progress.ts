/**
 * Tracks the attempts of a call, the verdict over all of them, and the result that the caller gets if no attempt succeeds.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type LifetimeKey} from '../common/server-lifetime.js';
import {mergeVerdicts, type Verdict} from '../common/verdict.js';
import {type AttemptHistory} from '../decisions/plan-attempt.js';
import {maxSlowRefusals} from '../decisions/slow-server.js';
import {type AttemptRecord} from '../timeline/mesh-log.js';
import {
	createNotRun, isCapacityReason, type ForwardFailure, type ForwardResult,
} from './forward-result.js';
import {type CallOutcome} from './outgoing-call.js';
import {type Attempt} from './running-attempts.js';

/** @internal */
export type CallProgress = AttemptHistory & {
	/** Number of gates that turned the call away since their servers were slow. */
	readonly slowRefusals: number;
	/** Returns the verdict over all attempts that have ended. */
	readonly getVerdict: () => Verdict;
	/** Returns how many ended attempts reached a backend server. */
	readonly countArrivals: () => number;
	/** Returns the result that the caller gets if no further attempt is made. */
	readonly getFallback: () => ForwardResult;
	readonly recordStart: (attempt: Attempt) => void;
	/** Records how an attempt ended and returns its summary for the log. */
	readonly recordEnd: (attempt: Attempt, result: ForwardResult) => AttemptRecord;
	/** Records why no further attempt is started. */
	readonly recordRefusal: (failure: ForwardFailure) => void;
	/** Ends the call with the response of one attempt. `superseded` holds the attempts that were cancelled because of this response. */
	readonly finish: (result: ForwardResult, superseded: readonly Attempt[]) => CallOutcome;
	/** Ends the call with the fallback. */
	readonly finishWithFallback: () => CallOutcome;
};

/**
 * @param result - The result of an attempt.
 * @returns Whether the attempt reached a backend server, which counts against the retry budget.
 * @internal
 */
export const hasArrived = (result: ForwardResult): boolean => result.type === 'answered' || result.hasArrived;

/** Number of refusals by the limits of servers that do not count as refusals by gates. @internal */
export const maxFreeLimitRefusals = 3;

const getVerdict = (result: ForwardResult): Verdict => result.type === 'answered' ? 'ran' : result.verdict;

const describeOutcome = (result: ForwardResult): string => result.type === 'answered' ? String(result.status) : result.reason;

/** A response from a server, even with an error status, is more informative for the caller than a failure to get one. */
const isLessInformative = (failure: ForwardResult, fallback: ForwardResult): boolean =>
	failure.type === 'failed' && fallback.type === 'answered';

function describeAttempt({target, startedAt}: Attempt, verdict: Verdict, outcome: string): AttemptRecord {
	return {
		server: target.id, node: target.node, verdict, outcome, tookMs: Math.round(readSteadyMs() - startedAt), infoAgeMs: Math.round(startedAt - target.view.reportedAt),
		...target.view.slowness === undefined ? {} : {slowness: Math.round(target.view.slowness * 100) / 100},
	};
}

/**
 * Creates the progress of a call that has not been sent yet.
 *
 * @param service - The service that is called.
 * @returns The progress, without attempts.
 * @internal
 */
export function createCallProgress(service: string): CallProgress {
	const tried = new Set<LifetimeKey>();
	const full = new Set<LifetimeKey>();
	/** In the order in which the attempts started. */
	const attemptRecords = new Map<Attempt, AttemptRecord>();
	let verdict: Verdict = 'not-run';
	let arrivals = 0;
	let refusals = 0;
	let limitRefusals = 0;
	let slowRefusals = 0;
	/** The shortest retry delay that a gate returned, in milliseconds; 0 if none did. */
	let retryAfterMs = 0;
	let fallback: ForwardResult = createNotRun('no-server', `no backend server of ${service} is known that could take the request`);

	const mergeResult = (result: ForwardResult): void => {
		verdict = mergeVerdicts(verdict, getVerdict(result));
		if (result.type === 'failed' && result.retryAfterMs > 0) {
			retryAfterMs = retryAfterMs === 0 ? result.retryAfterMs : Math.min(retryAfterMs, result.retryAfterMs);
		}

		if (!isLessInformative(result, fallback)) {
			fallback = result;
		}
	};

	/** The first refusals by limits are not counted: they are rare, since this node avoids the server for a while, and the next server is likely to have room. Nor are the few by slow servers, which have room. */
	const isFreeRefusal = (result: ForwardResult): boolean => {
		if (result.type === 'failed' && result.reason === 'slow') {
			slowRefusals++;
			return slowRefusals <= maxSlowRefusals;
		}

		if (result.type === 'answered' || result.reason !== 'limited') {
			return false;
		}

		limitRefusals++;
		return limitRefusals <= maxFreeLimitRefusals;
	};

	const createOutcome = (result: ForwardResult): CallOutcome => ({result, verdict, attempts: [...attemptRecords.values()]});

	return {
		tried,
		full,
		get refusals() {
			return refusals;
		},
		get slowRefusals() {
			return slowRefusals;
		},
		getVerdict: () => verdict,
		countArrivals: () => arrivals,
		getFallback: () => fallback,
		recordStart(attempt) {
			tried.add(attempt.target.lifetime);
			attemptRecords.set(attempt, describeAttempt(attempt, 'may-have-run', 'under way'));
		},
		recordEnd(attempt, result) {
			const {target, mayWaitMs} = attempt;
			if (result.type === 'failed' && isCapacityReason(result.reason) && mayWaitMs === 0) {
				tried.delete(target.lifetime);
				full.add(target.lifetime);
			}

			// The call may return to a slow server: every other one may be slower, or busy.
			if (result.type === 'failed' && result.reason === 'slow') {
				tried.delete(target.lifetime);
			}

			arrivals += hasArrived(result) ? 1 : 0;
			refusals += hasArrived(result) || isFreeRefusal(result) ? 0 : 1;
			mergeResult(result);
			const record = describeAttempt(attempt, getVerdict(result), describeOutcome(result));
			attemptRecords.set(attempt, record);
			return record;
		},
		recordRefusal(failure) {
			refusals++;
			mergeResult(failure);
		},
		finish(result, superseded) {
			for (const attempt of superseded) {
				attemptRecords.set(attempt, describeAttempt(attempt, 'may-have-run', 'superseded'));
			}

			return createOutcome(result);
		},
		finishWithFallback() {
			return fallback.type === 'failed' && fallback.verdict === 'not-run'
				? createOutcome({...fallback, retryAfterMs: Math.max(fallback.retryAfterMs, retryAfterMs)})
				: createOutcome(fallback);
		},
	};
}
