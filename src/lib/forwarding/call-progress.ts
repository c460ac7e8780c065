/**
 * What a call has been through: its attempts, what holds for all of them together, and the best that its caller can be told.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type LifetimeKey} from '../common/server-lifetime.js';
import {joinVerdicts, type Verdict} from '../common/verdict.js';
import {type AttemptHistory} from '../decisions/plan-attempt.js';
import {type AttemptNote} from '../timeline/mesh-log.js';
import {createNotRun, type ForwardFailure, type ForwardResult} from './forward-result.js';
import {type CallOutcome} from './outgoing-call.js';
import {type Attempt} from './running-attempts.js';

/** @internal */
export type CallProgress = AttemptHistory & {
	readonly getVerdict: () => Verdict;
	/** Servers at which it arrived. */
	readonly countArrivals: () => number;
	readonly getFallback: () => ForwardResult;
	readonly recordStart: (attempt: Attempt) => void;
	/** Takes in how an attempt ended; yields what the log tells of it. */
	readonly recordEnd: (attempt: Attempt, result: ForwardResult) => AttemptNote;
	/** Takes in why no other attempt is begun. */
	readonly recordRefusal: (failure: ForwardFailure) => void;
	/** Ends it with the answer of one attempt, for which others were broken off. */
	readonly finish: (result: ForwardResult, superseded: readonly Attempt[]) => CallOutcome;
	/** Ends it with the best that can be told its caller. */
	readonly finishWithFallback: () => CallOutcome;
};

/**
 * @param result - How an attempt ended.
 * @returns Whether the call arrived at a backend server, which counts against the retry budget.
 * @internal
 */
export const hasArrived = (result: ForwardResult): boolean => result.type === 'answered' || result.hasArrived;

const getVerdict = (result: ForwardResult): Verdict => result.type === 'answered' ? 'ran' : result.verdict;

const describeOutcome = (result: ForwardResult): string => result.type === 'answered' ? String(result.status) : result.reason;

/** An answer with a failure of the server's own says more than any failure to get one. */
const isLessInformative = (failure: ForwardResult, fallback: ForwardResult): boolean =>
	failure.type === 'failed' && fallback.type === 'answered';

function describeAttempt({target, startedAt}: Attempt, verdict: Verdict, outcome: string): AttemptNote {
	return {
		server: target.id, node: target.node, verdict, outcome, tookMs: Math.round(readSteadyMs() - startedAt), infoAgeMs: Math.round(startedAt - target.view.heardAt),
	};
}

/**
 * @param service - The service that is called.
 * @returns The progress of a call that has not been sent yet.
 * @internal
 */
export function createCallProgress(service: string): CallProgress {
	const tried = new Set<LifetimeKey>();
	const full = new Set<LifetimeKey>();
	/** In the order in which the attempts began. */
	const attemptNotes = new Map<Attempt, AttemptNote>();
	let verdict: Verdict = 'not-run';
	let arrivals = 0;
	let refusals = 0;
	/** The soonest that a gate said to come back, in milliseconds; 0 if none did. */
	let retryAfterMs = 0;
	let fallback: ForwardResult = createNotRun('no-server', `no backend server of ${service} is known that could take the request`);

	const mergeResult = (result: ForwardResult): void => {
		verdict = joinVerdicts(verdict, getVerdict(result));
		if (result.type === 'failed' && result.retryAfterMs > 0) {
			retryAfterMs = retryAfterMs === 0 ? result.retryAfterMs : Math.min(retryAfterMs, result.retryAfterMs);
		}

		if (!isLessInformative(result, fallback)) {
			fallback = result;
		}
	};

	const createOutcome = (result: ForwardResult): CallOutcome => ({result, verdict, attempts: [...attemptNotes.values()]});

	return {
		tried,
		full,
		get refusals() {
			return refusals;
		},
		getVerdict: () => verdict,
		countArrivals: () => arrivals,
		getFallback: () => fallback,
		recordStart(attempt) {
			tried.add(attempt.target.lifetime);
			attemptNotes.set(attempt, describeAttempt(attempt, 'may-have-run', 'under way'));
		},
		recordEnd(attempt, result) {
			const {target, mayWaitMs} = attempt;
			if (result.type === 'failed' && result.reason === 'full' && mayWaitMs === 0) {
				tried.delete(target.lifetime);
				full.add(target.lifetime);
			}

			arrivals += hasArrived(result) ? 1 : 0;
			refusals += hasArrived(result) ? 0 : 1;
			mergeResult(result);
			const note = describeAttempt(attempt, getVerdict(result), describeOutcome(result));
			attemptNotes.set(attempt, note);
			return note;
		},
		recordRefusal(failure) {
			refusals++;
			mergeResult(failure);
		},
		finish(result, superseded) {
			for (const attempt of superseded) {
				attemptNotes.set(attempt, describeAttempt(attempt, 'may-have-run', 'superseded'));
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
