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
const ownDomainHeartbeats = 12;

/**
 * Beyond that number, the nodes of the own domain get fewer: answers to requests tell how busy a server is as well, and are a sign of life.
 * Each datagram wakes a process, which is most of what an idle node costs.
 */
const ownDomainHeartbeatsBeyond = 5;

/** The same for a node that watches the store for the others: they wait for its word, and there are few such nodes. */
const watcherHeartbeats = 60;

/** Heartbeats in a period to nodes of other failure domains, whose bytes are paid for. Whether one of them is there is asked when requests wait for it. Up to this number each gets one every period. */
const otherDomainHeartbeats = 10;

/** Beyond that number, nodes of other failure domains get fewer: these are asked only when the own domain has no room. */
const otherDomainHeartbeatsBeyond = 3;

/** The longest time between two heartbeats, in periods: a node that restarts while the store is away is found again by them. */
const mostPeriods = 40;

type Pace = {readonly everyPeriod: number; readonly beyond: number};

const countPeriods = (nodes: number, {everyPeriod, beyond}: Pace): number => nodes <= everyPeriod ? 1 : Math.min(mostPeriods, Math.ceil(nodes / beyond));

/** How many other nodes a node knows, and what it does for them. @internal */
export type HeartbeatNeeds = {
	readonly ownDomainNodes: number;
	readonly otherDomainNodes: number;
	/** Whether the others rely on this node to watch the store. */
	readonly isFollowing: boolean;
};

/**
 * @param needs - Whom the heartbeats are for.
 * @returns The plan.
 * @internal
 */
export function planHeartbeats({ownDomainNodes, otherDomainNodes, isFollowing}: HeartbeatNeeds): HeartbeatPlan {
	return {
		ownDomain: countPeriods(ownDomainNodes, isFollowing ? {everyPeriod: watcherHeartbeats, beyond: watcherHeartbeats} : {everyPeriod: ownDomainHeartbeats, beyond: ownDomainHeartbeatsBeyond}),
		otherDomain: countPeriods(otherDomainNodes, {everyPeriod: otherDomainHeartbeats, beyond: otherDomainHeartbeatsBeyond}),
	};
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
