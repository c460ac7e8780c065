/**
 * What the model decides by: the product's own rules, and variants in which
 * one of them is switched off or replaced.
 *
 * @module
 */
import {computeRetryAfterMs} from '../../src/lib/decisions/retry-after.js';
import {computeRankingThresholds} from '../../src/lib/decisions/ranking-thresholds.js';
import {
	computeMaxWaitMs, standardRules, type CallState, type ComputeMaxWaitMs,
} from '../../src/lib/decisions/plan-attempt.js';

/** A set of rules. */
export type Policy = {
	readonly name: string;
	readonly computeWait: ComputeMaxWaitMs;
	/** Gates that are asked for a slot at once before one is asked to let a request wait. */
	readonly immediateTries: number;
	/** A request that was let wait is put out after so many times the wait that was expected. */
	readonly maximumWaitFactor: number;
	/** Calls that servers make are told from other requests. */
	readonly areCallsKnown: boolean;
	readonly computeRetryDelayMs: typeof computeRetryAfterMs;
	readonly computeThresholds: typeof computeRankingThresholds;
};

/** Waits of a share of the objective, or of the time left if that is longer, whatever may come of them. */
function computeWaitByShare({targetLatencyMs, ageMs, leftMs, isNestedCall}: CallState): number {
	const inTimeMs = (targetLatencyMs * 0.3) - ageMs;
	const minimumWaitMs = leftMs * (isNestedCall ? 0.4 : 0.12);
	return Math.min(Math.max(inTimeMs, minimumWaitMs), leftMs) * (ageMs >= targetLatencyMs ? 0.5 : 1);
}

/** Waits for as long as an answer can still be in time, however many slots come free meanwhile. */
const computeInTimeWait: ComputeMaxWaitMs = (call, server) => call.isNestedCall ? computeMaxWaitMs(call, server) : Math.max(0, call.targetLatencyMs - call.ageMs - (server.view.serviceMs * 1.25));

const waitOnlyIfNested: ComputeMaxWaitMs = (call, server) => call.isNestedCall ? computeMaxWaitMs(call, server) : 0;

/** Calls that can be in time wait as they do; late ones may wait too. */
const computeLateWait: ComputeMaxWaitMs = (call, server) => Math.max(computeMaxWaitMs(call, server), call.leftMs * 0.12);

const delayByShare = (share: number): typeof computeRetryAfterMs => ({waitMs, targetLatencyMs}, random) => Math.max(waitMs, targetLatencyMs * share) * (1 + (0.5 * random()));

const standard: Policy = {
	name: 'standard', computeWait: computeMaxWaitMs, immediateTries: standardRules.immediateTries, maximumWaitFactor: 2, areCallsKnown: true,
	computeRetryDelayMs: computeRetryAfterMs, computeThresholds: computeRankingThresholds,
};

/** Every set of rules that is compared, the product's own first. */
export const policies: readonly Policy[] = [
	standard,
	{...standard, name: 'waits by share of the time left', computeWait: computeWaitByShare},
	{...standard, name: 'late calls wait too', computeWait: computeLateWait},
	{...standard, name: 'waits as long as in time', computeWait: computeInTimeWait},
	{...standard, name: 'nobody waits but calls', computeWait: waitOnlyIfNested},
	{...standard, name: 'asked to wait at the first gate', immediateTries: 0},
	{...standard, name: 'four gates asked at once', immediateTries: 4},
	{...standard, name: 'put out when the estimate was wrong', maximumWaitFactor: 1},
	{...standard, name: 'kept for four times the estimate', maximumWaitFactor: 4},
	{...standard, name: 'calls of servers not known', areCallsKnown: false},
	{...standard, name: 'back after 0.15 objectives', computeRetryDelayMs: delayByShare(0.15)},
	{...standard, name: 'back after 2 objectives', computeRetryDelayMs: delayByShare(2)},
	{...standard, name: 'every millisecond counts', computeThresholds: (...facts) => ({...computeRankingThresholds(...facts), fastEnoughMs: 0})},
	{...standard, name: 'distance does not count', computeThresholds: (...facts) => ({...computeRankingThresholds(...facts), otherNodePenaltyMs: 0, crossDomainPenaltyMs: 0})},
];
