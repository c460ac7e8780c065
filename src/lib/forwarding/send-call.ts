/**
 * Sends a call until it is answered or nothing more may be tried. This is the
 * only place of a sidecar node that sends anything again.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {assertNever} from '../common/assert-never.js';
import {type Verdict} from '../common/verdict.js';
import {hasLargeAnswers, isBulk, isRepeatable} from '../route-config/route-config.js';
import {rankServers} from '../decisions/rank-servers.js';
import {computeMaxResponseWaitMs} from '../decisions/link-demand.js';
import {computeRankingThresholds} from '../decisions/ranking-thresholds.js';
import {
	mayTryAnotherGate, planAttempt, standardRules, type AttemptPlan, type CallState,
} from '../decisions/plan-attempt.js';
import {type QuarantineDecision} from '../quarantine/suspect-table.js';
import {describeRefusal as describeQuarantine} from '../quarantine/quarantine.js';
import {type RetryReason} from '../decisions/mesh-retry-budget.js';
import {createCallProgress, hasArrived} from './call-progress.js';
import {createNotRun, type ForwardFailure, type ForwardResult} from './forward-result.js';
import {type CallOutcome, type OutgoingCall, type SendContext} from './outgoing-call.js';
import {createRunningAttempts, type Attempt, type AttemptEvent} from './running-attempts.js';

/** An attempt that is to begin. */
type PlannedAttempt = Extract<AttemptPlan, {readonly type: 'send'}>;

function describeFacts(call: OutgoingCall, now: number): CallState {
	const {route, ageMs, isAwaited} = call;
	return {
		targetLatencyMs: route.targetLatencyMs, ageMs: ageMs + now - call.receivedAt, leftMs: call.scope.endsAt - now, isNestedCall: isAwaited, isBulk: isBulk(route.type),
	};
}

/** Whether a call may crash whatever runs it, so that no other server is asked of its own accord: its server crashed, or its gate knows of crashes. */
const isSuspected = (result: ForwardResult): boolean => result.type === 'failed' && (result.reason === 'server-crashed' || result.reason === 'quarantined');

function chooseRepeatReason(call: OutgoingCall, result: ForwardResult): RetryReason {
	if (result.type === 'answered' || result.verdict !== 'not-run') {
		return 'may-have-run';
	}

	return call.isAwaited ? 'call-turned-away' : 'turned-away';
}

/**
 * Sends a call.
 *
 * @param context - What it is sent with.
 * @param call - The call.
 * @returns How it ended. It is given up at once when nothing more may be tried.
 * @internal
 */
export async function sendCall(context: SendContext, call: OutgoingCall): Promise<CallOutcome> {
	const {route, service, scope} = call;
	const mayRepeat = isRepeatable(route.type);
	const progress = createCallProgress(service);
	const running = createRunningAttempts(context, call);
	context.allowance.recordRequest(service, call.isAwaited, readSteadyMs());

	/** Arrivals at servers that may be: the first one, and one for each repeat that was taken from the allowance. */
	let paidArrivals = 1;

	/** The attempt that began last may crash its server. */
	let isOnTrial = false;

	const hasPaid = (): boolean => progress.countArrivals() + running.count() < paidArrivals;

	const mayPay = (reason: RetryReason): boolean =>
		progress.countArrivals() + running.count() < route.maxAttempts && context.allowance.countRemaining(service, reason, readSteadyMs()) > 0;

	const takeRepeat = (reason: RetryReason): boolean => {
		if (progress.countArrivals() + running.count() >= route.maxAttempts || !context.allowance.tryAcquire(service, reason, readSteadyMs())) {
			return false;
		}

		paidArrivals++;
		return true;
	};

	const planNext = (judgement: QuarantineDecision): AttemptPlan => {
		const now = readSteadyMs();
		const facts = describeFacts(call, now);
		const candidates = context.listCandidates({
			service, route: route.name, tried: progress.tried, trialOf: judgement.type === 'trial' ? judgement.fingerprint : undefined,
		});
		const ranked = rankServers(candidates, {
			domain: context.domain, random: context.random, ...computeRankingThresholds(route, call.isAwaited, facts.ageMs),
		});
		return planAttempt(facts, progress, ranked, standardRules, now);
	};

	const describeRefusal = (plan: Exclude<AttemptPlan, PlannedAttempt>): ForwardFailure => {
		switch (plan.type) {
			case 'no-server': {
				const fallback = progress.getFallback();
				return fallback.type === 'failed' ? fallback : createNotRun('no-server', 'no other backend server is left');
			}

			case 'too-late': {
				return createNotRun('timeout', 'too little time is left for an answer');
			}

			case 'refuse': {
				return createNotRun('full', `every backend server of ${service} is busy for ${Math.round(plan.waitMs)} ms or more`, plan.waitMs);
			}
		}
	};

	const start = ({target, mayWaitMs}: PlannedAttempt): void => {
		const answerMayWaitMs = hasLargeAnswers(route.type) ? computeMaxResponseWaitMs(describeFacts(call, readSteadyMs()), target) : undefined;
		progress.noteStart(running.start({target, mayWaitMs, answerMayWaitMs}));
	};

	const refuse = (failure: ForwardFailure): CallOutcome | undefined => {
		if (running.count() > 0) {
			return undefined;
		}

		progress.noteRefusal(failure);
		return progress.giveUp();
	};

	/** Starts the next attempt; without one, what is under way may still be answered. Yields how the call ended if nothing is. */
	const startNext = (): CallOutcome | undefined => {
		// What the node has heard since the last attempt counts for the next one.
		const judgement = context.quarantine.check(call.mark);
		if (judgement.type === 'refused') {
			return refuse(createNotRun('quarantined', describeQuarantine(judgement), judgement.retryAfterMs));
		}

		const plan = planNext(judgement);
		if (plan.type === 'send') {
			isOnTrial = judgement.type === 'trial';
			start(plan);
			return undefined;
		}

		return refuse(describeRefusal(plan));
	};

	/** Whether another attempt may follow one that failed, or that was answered with a failure of the server's own. None does beside one that nobody doubts. */
	const mayGoOn = (result: ForwardResult): boolean => {
		const isHarmless = (mayRepeat || progress.getVerdict() === 'not-run') && !isSuspected(result);
		if (!isHarmless || scope.getEnd() !== undefined || !running.hasOnlyDoubted()) {
			return false;
		}

		if (!hasArrived(result)) {
			// Another copy may be what took the server away: to pass this one on would be a second trial beside it.
			return !isOnTrial && hasPaid() && mayTryAnotherGate({isBulk: isBulk(route.type)}, progress.refusals);
		}

		return hasPaid() || takeRepeat(chooseRepeatReason(call, result));
	};

	const handleEnd = (attempt: Attempt, result: ForwardResult): CallOutcome | undefined => {
		const note = progress.noteEnd(attempt, result);
		if (result.type === 'answered' && (result.status < 500 || !mayRepeat)) {
			return progress.finish(result, running.breakOff());
		}

		if (!mayGoOn(result)) {
			return running.count() > 0 ? undefined : progress.giveUp();
		}

		// A refusal by a gate is the ordinary way to another; it stands in the call's last line.
		context.log.record(hasArrived(result) ? 'info' : 'debug', {
			kind: 'attempt-failed', call: call.id, route: route.name, attempt: note, next: 'another server is tried',
		});
		return startNext();
	};

	/**
	 * What may be repeated goes to another server as well when the nodes of all servers that are at work on it have fallen silent. The first attempt goes on: nodes whose links are full of large answers
	 * are heard seldom and work all the same. To break it off first would leave calls with nowhere to go
	 * where all other servers are full.
	 */
	const handleDoubt = (): void => {
		if (!mayRepeat || running.count() === 0 || !running.hasOnlyDoubted() || !mayTryAnotherGate({isBulk: isBulk(route.type)}, progress.refusals)) {
			return;
		}

		// Told ten times a second while the silence lasts: what is cheap is asked first.
		if (!hasPaid() && !mayPay('may-have-run')) {
			return;
		}

		const judgement = context.quarantine.check(call.mark);
		const plan = judgement.type === 'free' ? planNext(judgement) : undefined;
		if (plan?.type === 'send' && (hasPaid() || takeRepeat('may-have-run'))) {
			start(plan);
		}
	};

	const handleEvent = (event: AttemptEvent): CallOutcome | undefined => {
		switch (event.type) {
			case 'ended': {
				return handleEnd(event.attempt, event.result);
			}

			case 'doubted': {
				handleDoubt();
				return undefined;
			}

			default: {
				return assertNever(event);
			}
		}
	};

	let outcome = startNext();
	while (outcome === undefined) {
		outcome = handleEvent(await running.waitForEvent());
	}

	return outcome;
}

/**
 * @param failure - Why a call has no answer.
 * @param verdict - What holds for all of its attempts together.
 * @returns The status that the caller is told: only 503 promises that it has not run.
 * @internal
 */
export function chooseFailureStatus(failure: ForwardFailure, verdict: Verdict): number {
	if (verdict === 'not-run') {
		return 503;
	}

	return failure.reason === 'timeout' ? 504 : 502;
}
