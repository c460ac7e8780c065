/**
 * Weighs how far away a backend server is against how soon it answers.
 *
 * @module
 */
import {isBulk, type RouteRule} from '../route-config/route-config.js';
import {type RankingContext} from './rank-servers.js';

/** What counts in the choice of a server beside its load. @internal */
export type RankingThresholds = Pick<RankingContext, 'otherNodePenaltyMs' | 'crossDomainPenaltyMs' | 'fastEnoughMs'>;

/** What a server elsewhere has to be faster by, as a share of the latency objective. */
const penaltyShares = {
	/** A second node costs processor time on both VMs. */
	otherNode: 0.1,
	/** Bytes between failure domains are paid for. */
	crossDomain: 0.15,
	/** Large bodies are most of these bytes. More than this, and a failure domain whose only link is full keeps what others have room for. */
	crossDomainBulk: 0.4,
} as const;

/**
 * An answer within this share of the objective is as good as a sooner one: the fast servers are left to the calls that
 * other servers wait for with a slot.
 */
const fastEnoughShare = 0.4;

/**
 * @param route - Route of a request.
 * @param isNestedCall - Whether a server holds a slot until it is answered: every millisecond counts then.
 * @param ageMs - Milliseconds since its caller first asked.
 * @returns What counts in the choice of its server.
 * @internal
 */
export function computeRankingThresholds({type, targetLatencyMs}: Pick<RouteRule, 'type' | 'targetLatencyMs'>, isNestedCall: boolean, ageMs: number): RankingThresholds {
	return {
		fastEnoughMs: isNestedCall ? 0 : Math.max(0, (targetLatencyMs * fastEnoughShare) - ageMs),
		otherNodePenaltyMs: targetLatencyMs * penaltyShares.otherNode,
		crossDomainPenaltyMs: targetLatencyMs * (isBulk(type) ? penaltyShares.crossDomainBulk : penaltyShares.crossDomain),
	};
}
