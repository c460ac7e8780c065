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
const ownDomainFullRateCount = 12;

/**
 * Beyond that number, the nodes of the own domain get fewer: answers to requests tell how busy a server is as well, and are a sign of life.
 * Each datagram wakes a process, which is most of what an idle node costs.
 */
const ownDomainReducedCount = 5;

/** The same for a node that watches the store for the others: they wait for its word, and there are few such nodes. */
const storeWatcherHeartbeatCount = 60;

/** Heartbeats in a period to nodes of other failure domains, whose bytes are paid for. Whether one of them is there is asked when requests wait for it. Up to this number each gets one every period. */
const otherDomainFullRateCount = 10;

/** Beyond that number, nodes of other failure domains get fewer: these are asked only when the own domain has no room. */
const otherDomainReducedCount = 3;

/** The longest time between two heartbeats, in periods: a node that restarts while the store is away is found again by them. */
const maximumPeriodCount = 40;

type HeartbeatBudget = {readonly fullRateCount: number; readonly reducedCount: number};

const countPeriods = (nodes: number, {fullRateCount, reducedCount}: HeartbeatBudget): number => nodes <= fullRateCount ? 1 : Math.min(maximumPeriodCount, Math.ceil(nodes / reducedCount));

/** How many other nodes a node knows, and what it does for them. @internal */
export type HeartbeatPlanInput = {
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
export function planHeartbeats({ownDomainNodes, otherDomainNodes, isFollowing}: HeartbeatPlanInput): HeartbeatPlan {
	return {
		ownDomain: countPeriods(ownDomainNodes, isFollowing ? {fullRateCount: storeWatcherHeartbeatCount, reducedCount: storeWatcherHeartbeatCount} : {fullRateCount: ownDomainFullRateCount, reducedCount: ownDomainReducedCount}),
		otherDomain: countPeriods(otherDomainNodes, {fullRateCount: otherDomainFullRateCount, reducedCount: otherDomainReducedCount}),
	};
}

/**
 * @param plan - A plan.
 * @param periodMs - Milliseconds of one period.
 * @returns What the other nodes are told of it.
 * @internal
 */
export function computePeriods({ownDomain, otherDomain}: HeartbeatPlan, periodMs: number): HeartbeatPeriods {
	return {ownDomainMs: ownDomain * periodMs, otherDomainMs: otherDomain * periodMs};
}
