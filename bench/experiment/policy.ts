/**
 * The rules by which nodes decide in the model: those of real nodes, and variants
 * in which one rule is disabled or replaced.
 *
 * @module
 */
import {computeMaxSlowness} from '../../src/lib/decisions/slow-server.js';
import {computeRetryAfterMs} from '../../src/lib/decisions/retry-after.js';
import {computeRankingThresholds} from '../../src/lib/decisions/ranking-thresholds.js';
import {shuffleList} from '../../src/lib/common/shuffle-list.js';
import {estimateOutstanding} from '../../src/lib/decisions/load-view.js';
import {countReservedSlots} from '../../src/lib/decisions/reserved-slots.js';
import {rankServers, type Candidate, type RankingContext} from '../../src/lib/decisions/rank-servers.js';
import {isBulk} from '../../src/lib/route-config/route-config.js';
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
	/** Whether gates and entries use the load reports of servers. */
	readonly usesLoadReports: boolean;
	readonly rank: typeof rankServers;
	readonly computeMaxSlowness: typeof computeMaxSlowness;
	/** Slots that entries leave to requests of a server's own failure domain. */
	readonly countReservedSlots: typeof countReservedSlots;
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

/** Expected completion: the work ahead over the slots, and the own service time, without regard to fast enough. */
function estimateCompletionMs({view, slots, isLocal, domain}: Candidate, context: RankingContext): number {
	const serviceMs = view.serviceMs === 0 ? 60 : view.serviceMs;
	const ahead = Math.max(0, estimateOutstanding(view) + 1 - slots);
	const penaltyMs = isLocal ? 0 : (domain === context.domain ? context.otherNodePenaltyMs * 0.2 : context.crossDomainPenaltyMs);
	return serviceMs + (ahead * serviceMs / slots * 2) + (serviceMs * view.failureShare * 4) + view.roundTripMs + penaltyMs;
}

/** Compares a few random servers by expected completion. */
const rankByChoices = (near: number, far: number): typeof rankServers => (candidates, context) => {
	const shuffled = shuffleList(candidates, context.random);
	let nearLeft = near;
	let farLeft = far;
	return shuffled.map(candidate => {
		const isNear = candidate.isLocal || candidate.domain === context.domain;
		const isCompared = isNear ? nearLeft-- > 0 : farLeft-- > 0;
		return {candidate, isOther: Number(!isCompared), ms: estimateCompletionMs(candidate, context)};
	}).toSorted((left, right) => left.isOther - right.isOther || left.ms - right.ms).map(({candidate}) => candidate);
};

/** Draws servers in proportion to the square of their speed, those with the lower penalty first. */
const rankByWeight: typeof rankServers = (candidates, context) => candidates
	.map(candidate => ({candidate, key: -Math.log(1 - context.random()) * (estimateCompletionMs(candidate, context) ** 2)}))
	.toSorted((left, right) => left.key - right.key).map(({candidate}) => candidate);

const rankAmong = (ownDomain: number, otherDomains: number): typeof rankServers => (candidates, context) => rankServers(candidates, context, {ownDomain, otherDomains});

const computePrices = (small: number, bulk: number): typeof computeRankingThresholds => (route, ...parameters) => ({
	...computeRankingThresholds(route, ...parameters), crossDomainPenaltyMs: route.targetLatencyMs * (isBulk(route.type) ? bulk : small),
});

const standard: Policy = {
	name: 'standard', computeMaxWaitMs, immediateTries: standardRules.immediateTries, maximumWaitFactor: 2, areCallsKnown: true, areLimitsAvoided: true, arePrioritiesReported: true, areSharesKept: true,
	computeRetryDelayMs: computeRetryAfterMs, computeThresholds: computeRankingThresholds, usesLoadReports: true, rank: rankServers, computeMaxSlowness, countReservedSlots,
};

/** The sets of rules that can be compared. The first one is that of real nodes. */
export const policies: readonly Policy[] = [
	standard,
	{...standard, name: 'load reports not used', usesLoadReports: false},
	{...standard, name: 'no slots reserved', countReservedSlots: () => 0},
	{
		...standard, name: 'priced', rank: rankAmong(12, 3), computeThresholds: computePrices(0.4, 1),
	},
	{...standard, name: 'slow servers do not turn away', computeMaxSlowness: () => undefined},
	{
		...standard, name: 'two choices', rank: rankByChoices(2, 1), computeMaxSlowness: () => undefined,
	},
	{...standard, name: 'two choices, turned away', rank: rankByChoices(2, 1)},
	{
		...standard, name: 'weighted by speed', rank: rankByWeight, computeMaxSlowness: () => undefined,
	},
	{...standard, name: 'weighted by speed, turned away', rank: rankByWeight},
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
