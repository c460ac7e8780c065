/**
 * Sends a call until it is answered or no further attempt is allowed. This is the
 * only module of a sidecar node that retries requests.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {assertNever} from '../common/assert-never.js';
import {type Verdict} from '../common/verdict.js';
import {hasLargeAnswers, isBulk, isRepeatable} from '../route-config/route-config.js';
import {rankServers} from '../decisions/rank-servers.js';
import {computeMaxResponseWaitMs} from '../decisions/link-demand.js';
import {computeMaxSlowness} from '../decisions/slow-server.js';
import {computeRankingThresholds} from '../decisions/ranking-thresholds.js';
import {
	mayTryAnotherGate, planAttempt, standardRules, type AttemptPlan, type CallState, type PlanRules,
} from '../decisions/plan-attempt.js';
import {type QuarantineDecision} from '../quarantine/suspect-table.js';
import {describeRefusal as describeQuarantine} from '../quarantine/quarantine.js';
import {type VersionChoice} from '../rollout/rollouts.js';
import {type RetryReason} from '../decisions/mesh-retry-budget.js';
import {createCallProgress, hasArrived} from './call-progress.js';
import {createNotRun, type ForwardFailure, type ForwardResult} from './forward-result.js';
import {type CallOutcome, type OutgoingCall, type SendContext} from './outgoing-call.js';
import {createRunningAttempts, type Attempt, type AttemptEvent} from './running-attempts.js';

/** A plan to start an attempt. */
type PlannedAttempt = Extract<AttemptPlan, {readonly type: 'send'}> & {readonly isCounted: boolean; readonly isTest: boolean};

function computeCallState(call: OutgoingCall, now: number, isOverShare = false, bodyMs = 0): CallState {
	const {route, ageMs, isNestedCall, workspace} = call;
	return {
		targetLatencyMs: route.targetLatencyMs, ageMs: ageMs + now - call.receivedAt, leftMs: call.scope.deadlineAt - now, isNestedCall, isBulk: isBulk(route.type),
		priority: isNestedCall ? 0 : workspace?.priority ?? route.priority, isOverShare, bodyMs,
	};
}

/** Whether the call may crash the servers that run it, so that it must not be sent to another one: its server crashed, or its gate knows of such crashes. */
const mayCrashServers = (result: ForwardResult): boolean => result.type === 'failed' && (result.reason === 'server-crashed' || result.reason === 'quarantined');

function chooseRetryReason(call: OutgoingCall, result: ForwardResult): RetryReason {
	if (result.type === 'answered' || result.verdict !== 'not-run') {
		return 'may-have-run';
	}

	return call.isNestedCall ? 'call-turned-away' : 'turned-away';
}

/**
 * Sends a call.
 *
 * @param context - The dependencies for sending calls.
 * @param call - The call.
 * @returns The outcome, as soon as the call is answered or no further attempt is allowed.
 * @internal
 */
export async function sendCall(context: SendContext, call: OutgoingCall): Promise<CallOutcome> {
	const {route, service, scope} = call;
	const isRetryable = isRepeatable(route.type);
	const rules: PlanRules = {...standardRules, random: context.random};
	const progress = createCallProgress(service);
	const running = createRunningAttempts(context, call);
	context.retryBudget.recordRequest(service, call.isNestedCall, readSteadyMs());
	context.rollouts.recordRequest(service, route.name);

	/** How many servers the call may reach: one, plus one for each retry taken from the retry budget. */
	let allowedArrivals = 1;

	/** The retries taken, in their order. */
	const takenRetries: Array<{readonly reason: RetryReason; readonly at: number}> = [];

	/** Whether the latest attempt is a trial of a quarantined request, which may crash its server. */
	let isTrial = false;

	const hasAllowedArrival = (): boolean => progress.countArrivals() + running.count() < allowedArrivals;

	const mayTakeRetry = (reason: RetryReason): boolean =>
		progress.countArrivals() + running.count() < route.maxAttempts && context.retryBudget.countRemaining(service, reason, readSteadyMs()) > 0;

	const takeRetry = (reason: RetryReason): boolean => {
		const now = readSteadyMs();
		if (progress.countArrivals() + running.count() >= route.maxAttempts || !context.retryBudget.tryAcquire(service, reason, now)) {
			return false;
		}

		allowedArrivals++;
		takenRetries.push({reason, at: now});
		return true;
	};

	/** Returns the retries to the budget that reached no server, once no attempt is in flight. */
	const giveBackRetries = (): void => {
		const now = readSteadyMs();
		for (const {reason, at} of takenRetries.splice(Math.max(0, progress.countArrivals() - 1))) {
			context.retryBudget.giveBack(service, reason, at, now);
		}
	};

	/** Whether the latest attempt counts as exposure to a version under test. */
	let isTest = false;

	const planAmong = (decision: QuarantineDecision, matches: VersionChoice['matches'] | undefined): AttemptPlan => {
		const now = readSteadyMs();
		const isOverShare = call.workspace !== undefined && context.loads.shareRefusals.isOverShare(call.workspace.name, now);
		const callState = computeCallState(call, now, isOverShare, context.gateClient.computeBodyMs(call.body));
		const candidates = context.listCandidates({
			service, route: route.name, tried: progress.tried, trialOf: decision.type === 'trial' ? decision.fingerprint : undefined, matches,
		});
		const ranked = rankServers(candidates, {
			domain: context.domain, random: context.random, ...computeRankingThresholds(route, call.isNestedCall, callState.ageMs),
		});
		return planAttempt(callState, progress, ranked, rules, now);
	};

	/** Plans an attempt at a server of a version under test. Only the first attempt of a call goes there, so that its failure can be made good elsewhere. */
	const planTest = (decision: QuarantineDecision): PlannedAttempt | undefined => {
		const isFirst = progress.tried.size === 0 && progress.full.size === 0 && progress.refusals === 0;
		const choice = isFirst && decision.type === 'free' ? context.rollouts.chooseTestedServers(service, route.name) : undefined;
		const plan = choice === undefined ? undefined : planAmong(decision, choice.matches);
		return plan?.type === 'send' ? {...plan, isCounted: true, isTest: true} : undefined;
	};

	const planNext = (decision: QuarantineDecision): PlannedAttempt | Exclude<AttemptPlan, {readonly type: 'send'}> => {
		const test = planTest(decision);
		if (test !== undefined) {
			return test;
		}

		const choice = context.rollouts.chooseServers(service);
		const plan = planAmong(decision, choice?.matches);
		return plan.type === 'send' ? {...plan, isCounted: choice?.isCounted ?? false, isTest: false} : plan;
	};

	const describeRefusal = (plan: Exclude<AttemptPlan, {readonly type: 'send'}>): ForwardFailure => {
		switch (plan.type) {
			case 'no-server': {
				const fallback = progress.getFallback();
				return fallback.type === 'failed' ? fallback : createNotRun('no-server', 'no untried backend server is left');
			}

			case 'too-late': {
				return createNotRun('timeout', 'too little time is left for an answer');
			}

			case 'hold-back': {
				return createNotRun('full', `every backend server of ${service} holds back this request in favour of more urgent ones`, plan.waitMs);
			}

			case 'over-share': {
				return createNotRun('over-share', `every backend server of ${service} is busy, and the workspace ${call.workspace?.name ?? ''} is over its share`, plan.waitMs);
			}

			case 'refuse': {
				return plan.isLimited
					? createNotRun('limited', `the limits of all backend servers of ${service} are used up for ${Math.round(plan.waitMs)} ms or more`, plan.waitMs)
					: createNotRun('full', `every backend server of ${service} is busy for ${Math.round(plan.waitMs)} ms or more`, plan.waitMs);
			}
		}
	};

	const start = ({target, mayWaitMs, isCounted, isTest: isTestPlanned}: PlannedAttempt): void => {
		const now = readSteadyMs();
		const maxSlowness = target.isLocal || isTrial ? undefined : computeMaxSlowness(target.view, progress.slowRefusals, now);
		const answerMayWaitMs = hasLargeAnswers(route.type) ? computeMaxResponseWaitMs(computeCallState(call, now), target) : undefined;
		progress.recordStart(running.start({
			target, mayWaitMs, answerMayWaitMs, maxSlowness, isCounted,
		}));
		isTest = isTestPlanned;
		if (isTest) {
			context.rollouts.recordExposure(service, route.name);
		}
	};

	const finishIfIdle = (failure: ForwardFailure): CallOutcome | undefined => {
		if (running.count() > 0) {
			return undefined;
		}

		progress.recordRefusal(failure);
		giveBackRetries();
		return progress.finishWithFallback();
	};

	/** Starts the next attempt. If none is allowed, returns the outcome of the call, or `undefined` while another attempt is in flight. */
	const startNext = (): CallOutcome | undefined => {
		const denial = call.checkAccess();
		if (denial !== undefined) {
			return finishIfIdle(denial);
		}

		// Checked again, because this node may have learned of crashes since the last attempt.
		const decision = context.quarantine.check(call.fingerprint);
		if (decision.type === 'refused') {
			return finishIfIdle(createNotRun('quarantined', describeQuarantine(decision), decision.retryAfterMs));
		}

		const plan = planNext(decision);
		if (plan.type === 'send') {
			isTrial = decision.type === 'trial';
			start(plan);
			return undefined;
		}

		return finishIfIdle(describeRefusal(plan));
	};

	/** Returns whether another attempt may follow one that failed or was answered with an error status; false while a responsive attempt is in flight. */
	const mayTryNext = (result: ForwardResult): boolean => {
		const isSafeToResend = (isRetryable || progress.getVerdict() === 'not-run') && !mayCrashServers(result);
		if (!isSafeToResend || scope.getEndReason() !== undefined || !running.areAllUnresponsive()) {
			return false;
		}

		if (!hasArrived(result)) {
			// A trial is not retried on another server: another copy of the request may have crashed the server that could not be reached, and this one would be a second trial beside it.
			return !isTrial && hasAllowedArrival() && mayTryAnotherGate({isBulk: isBulk(route.type)}, progress.refusals);
		}

		return hasAllowedArrival() || takeRetry(chooseRetryReason(call, result));
	};

	/** Records whether the gate found the workspace of the call over its share. */
	const recordShare = (result: ForwardResult): void => {
		if (call.workspace === undefined) {
			return;
		}

		if (hasArrived(result)) {
			context.loads.shareRefusals.recordGrant(call.workspace.name);
		} else if (result.type === 'failed' && result.reason === 'over-share') {
			context.loads.shareRefusals.record(call.workspace.name, readSteadyMs());
		}
	};

	const handleEnd = (attempt: Attempt, result: ForwardResult): CallOutcome | undefined => {
		const record = progress.recordEnd(attempt, result);
		recordShare(result);
		if (isTest && !hasArrived(result)) {
			context.rollouts.releaseExposure(service, route.name);
		}

		if (result.type === 'answered' && (result.status < 500 || !isRetryable)) {
			return progress.finish(result, running.cancelAll());
		}

		if (!mayTryNext(result)) {
			if (running.count() > 0) {
				return undefined;
			}

			giveBackRetries();
			return progress.finishWithFallback();
		}

		// Refusals by gates are routine and only logged at debug level; the log line of the finished call contains them.
		context.log.record(hasArrived(result) ? 'info' : 'debug', {
			kind: 'attempt-failed', call: call.id, route: route.name, attempt: record, next: 'another server is tried',
		});
		return startNext();
	};

	/**
	 * Starts another attempt of a retryable call if all attempts in flight are unresponsive. These continue: the heartbeats of a node whose link is saturated with large
	 * answers are often lost while the node still works. Cancelling them first would leave the call without any server if all others are full.
	 */
	const handleUnresponsive = (): void => {
		if (!isRetryable || running.count() === 0 || !running.areAllUnresponsive() || !mayTryAnotherGate({isBulk: isBulk(route.type)}, progress.refusals)) {
			return;
		}

		// Runs ten times a second while a node is silent, so the cheap checks come first.
		if ((!hasAllowedArrival() && !mayTakeRetry('may-have-run')) || call.checkAccess() !== undefined) {
			return;
		}

		const decision = context.quarantine.check(call.fingerprint);
		const plan = decision.type === 'free' ? planNext(decision) : undefined;
		if (plan?.type === 'send' && (hasAllowedArrival() || takeRetry('may-have-run'))) {
			start(plan);
		}
	};

	const handleEvent = (event: AttemptEvent): CallOutcome | undefined => {
		switch (event.type) {
			case 'ended': {
				return handleEnd(event.attempt, event.result);
			}

			case 'unresponsive': {
				handleUnresponsive();
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
 * Chooses the HTTP status of a failed call.
 *
 * @param failure - Why the call has no response.
 * @param verdict - The verdict over all of its attempts.
 * @returns The status for the caller. Only 503 guarantees that the call was not executed.
 * @internal
 */
export function chooseFailureStatus(failure: ForwardFailure, verdict: Verdict): number {
	if (verdict === 'not-run') {
		return failure.reason === 'unauthorized' ? 401 : 503;
	}

	return failure.reason === 'timeout' ? 504 : 502;
}
