/**
 * How often a node sends heartbeats to each other one, so that what it sends
 * does not grow with the mesh: the decision part.
 *
 * @module
 */
import {type HeartbeatPeriods} from './peer-report.js';

/** How many periods pass between two heartbeats to one node. @internal */
export type HeartbeatPlan = {
	readonly ownDomain: number;
	readonly otherDomain: number;
};

/** Heartbeats in a period to nodes of the own failure domain. Those are the nodes that requests go to first: up to this number each gets one every period. */
const ownDomainHeartbeats = 30;

/** Heartbeats in a period to nodes of other failure domains, whose bytes are paid for. Whether one of them is there is asked when requests wait for it. */
const otherDomainHeartbeats = 10;

/** The longest time between two heartbeats, in periods: a node that restarts while the store is away is found again by them. */
const mostPeriods = 40;

const countPeriods = (nodes: number, heartbeats: number): number => Math.min(mostPeriods, Math.max(1, Math.ceil(nodes / heartbeats)));

/**
 * @param ownDomainNodes - Other nodes known in the own failure domain.
 * @param otherDomainNodes - Nodes known in other ones.
 * @returns The plan.
 * @internal
 */
export function planHeartbeats(ownDomainNodes: number, otherDomainNodes: number): HeartbeatPlan {
	return {ownDomain: countPeriods(ownDomainNodes, ownDomainHeartbeats), otherDomain: countPeriods(otherDomainNodes, otherDomainHeartbeats)};
}

/**
 * @param plan - A plan.
 * @param periodMs - Milliseconds of one period.
 * @returns What the other nodes are told of it.
 * @internal
 */
export function measurePeriods({ownDomain, otherDomain}: HeartbeatPlan, periodMs: number): HeartbeatPeriods {
	return {ownDomainMs: ownDomain * periodMs, otherDomainMs: otherDomain * periodMs};
}
