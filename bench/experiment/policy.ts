/**
 * The rules by which nodes decide in the model: those of real nodes, and variants
 * in which one rule is disabled or replaced.
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
	readonly computeMaxWaitMs: ComputeMaxWaitMs;
	/** Number of gates that are tried without waiting before a request may wait at one. */
	readonly immediateTries: number;
	/** A waiting request is evicted after its allowed wait multiplied by this factor. */
	readonly maximumWaitFactor: number;
	/** Whether nodes detect nested calls and treat them differently from other requests. */
	readonly areCallsKnown: boolean;
	/** Whether an entry avoids a server for a while after a refusal by its limit. */
	readonly areLimitsAvoided: boolean;
	/** Whether gates report which priorities wait, and which ones they hold back. */
	readonly arePrioritiesReported: boolean;
	/** Whether gates keep the shares of workspaces. */
	readonly areSharesKept: boolean;
	readonly computeRetryDelayMs: typeof computeRetryAfterMs;
	readonly computeThresholds: typeof computeRankingThresholds;
};

/** Allows a wait of a share of the target latency, or of the time left if that is longer, whether or not an answer can be in time. */
function computeWaitByShare({targetLatencyMs, ageMs, leftMs, isNestedCall}: CallState): number {
	const inTimeMs = (targetLatencyMs * 0.3) - ageMs;
	const minimumWaitMs = leftMs * (isNestedCall ? 0.4 : 0.12);
	return Math.min(Math.max(inTimeMs, minimumWaitMs), leftMs) * (ageMs >= targetLatencyMs ? 0.5 : 1);
}

/** Allows a wait for as long as an answer can still be in time, whatever the number of slots that become free until then. */
const computeInTimeWait: ComputeMaxWaitMs = (call, server) => call.isNestedCall ? computeMaxWaitMs(call, server) : Math.max(0, call.targetLatencyMs - call.ageMs - (server.view.serviceMs * 1.25));

/** Creates a rule that allows a wait for a number of slots to be released, as long as an answer can still be in time. */
const createReleaseWait = (releases: number): ComputeMaxWaitMs => (call, server) => call.isNestedCall
	? computeMaxWaitMs(call, server)
	: Math.min(computeInTimeWait(call, server), server.view.serviceMs / Math.max(1, server.slots) * (releases + 1));

/** Allows only nested calls to wait. */
const waitOnlyIfNested: ComputeMaxWaitMs = (call, server) => call.isNestedCall ? computeMaxWaitMs(call, server) : 0;

/** Allows calls that can be in time the standard wait, and late ones a share of the time left. */
const computeLateWait: ComputeMaxWaitMs = (call, server) => Math.max(computeMaxWaitMs(call, server), call.leftMs * 0.12);

/** Creates a rule that delays retries by at least a share of the target latency, with jitter. */
const delayByShare = (share: number): typeof computeRetryAfterMs => ({waitMs, targetLatencyMs}, random) => Math.max(waitMs, targetLatencyMs * share) * (1 + (0.5 * random()));

const standard: Policy = {
	name: 'standard', computeMaxWaitMs, immediateTries: standardRules.immediateTries, maximumWaitFactor: 2, areCallsKnown: true, areLimitsAvoided: true, arePrioritiesReported: true, areSharesKept: true,
	computeRetryDelayMs: computeRetryAfterMs, computeThresholds: computeRankingThresholds,
};

/** The sets of rules that can be compared. The first one is that of real nodes. */
export const policies: readonly Policy[] = [
	standard,
	{...standard, name: 'waits by share of the time left', computeMaxWaitMs: computeWaitByShare},
	{...standard, name: 'late calls wait too', computeMaxWaitMs: computeLateWait},
	{...standard, name: 'waits as long as in time', computeMaxWaitMs: computeInTimeWait},
	{...standard, name: 'waits for four releases', computeMaxWaitMs: createReleaseWait(4)},
	{...standard, name: 'waits for eight releases', computeMaxWaitMs: createReleaseWait(8)},
	{...standard, name: 'waits for no release', computeMaxWaitMs: createReleaseWait(0)},
	{...standard, name: 'nobody waits but calls', computeMaxWaitMs: waitOnlyIfNested},
	{...standard, name: 'asked to wait at the first gate', immediateTries: 0},
	{...standard, name: 'four gates asked at once', immediateTries: 4},
	{...standard, name: 'put out when the estimate was wrong', maximumWaitFactor: 1},
	{...standard, name: 'kept for four times the estimate', maximumWaitFactor: 4},
	{...standard, name: 'calls of servers not known', areCallsKnown: false},
	{...standard, name: 'servers asked again at once in spite of their limits', areLimitsAvoided: false},
	{...standard, name: 'workspaces not told apart', areSharesKept: false},
	{...standard, name: 'priorities not reported by gates', arePrioritiesReported: false},
	{...standard, name: 'back after 0.15 objectives', computeRetryDelayMs: delayByShare(0.15)},
	{...standard, name: 'back after 2 objectives', computeRetryDelayMs: delayByShare(2)},
	{...standard, name: 'every millisecond counts', computeThresholds: (...parameters) => ({...computeRankingThresholds(...parameters), fastEnoughMs: 0})},
	{...standard, name: 'distance does not count', computeThresholds: (...parameters) => ({...computeRankingThresholds(...parameters), otherNodePenaltyMs: 0, crossDomainPenaltyMs: 0})},
];
