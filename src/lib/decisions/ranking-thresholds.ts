/**
 * Computes how much faster a distant backend server has to be to be preferred, and
 * which response times are fast enough.
 *
 * @module
 */
import {isBulk, type RouteRule} from '../route-config/route-config.js';
import {type RankingContext} from './rank-servers.js';

/** Thresholds for the choice of a server besides its load. @internal */
export type RankingThresholds = Pick<RankingContext, 'otherNodePenaltyMs' | 'crossDomainPenaltyMs' | 'fastEnoughMs'>;

/** Share of the latency objective by which a server behind another node has to be faster to be preferred. */
const penaltyShares = {
	/** A server behind another node: forwarding costs CPU time on both VMs. */
	otherNode: 0.1,
	/** A server in another failure domain: traffic between failure domains is billed. */
	crossDomain: 0.15,
	/** A server in another failure domain, for requests with large bodies, which cause most of the traffic between failure domains. With a larger share, a failure domain whose only link is saturated would keep requests for which other failure domains have capacity. */
	crossDomainBulk: 0.4,
} as const;

/**
 * A response within this share of the objective is fast enough, and a faster one is not preferred. This leaves the fast servers
 * to nested calls, for which another server holds a slot.
 */
const fastEnoughShare = 0.4;

/**
 * @param route - Route of a request.
 * @param isNestedCall - Whether a backend server holds a slot until the request is answered. If so, no response is fast enough and the fastest server is preferred.
 * @param ageMs - Milliseconds since its caller sent it for the first time.
 * @returns The thresholds for the choice of its server.
 * @internal
 */
export function computeRankingThresholds({type, targetLatencyMs}: Pick<RouteRule, 'type' | 'targetLatencyMs'>, isNestedCall: boolean, ageMs: number): RankingThresholds {
	return {
		fastEnoughMs: isNestedCall ? 0 : Math.max(0, (targetLatencyMs * fastEnoughShare) - ageMs),
		otherNodePenaltyMs: targetLatencyMs * penaltyShares.otherNode,
		crossDomainPenaltyMs: targetLatencyMs * (isBulk(type) ? penaltyShares.crossDomainBulk : penaltyShares.crossDomain),
	};
}
