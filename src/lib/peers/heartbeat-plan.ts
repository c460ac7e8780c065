/**
 * Plans how often a node sends heartbeats to each other node, so that its send
 * rate does not grow with the mesh. Pure functions.
 *
 * @module
 */
import {type HeartbeatPeriods} from './peer-report.js';

/** The number of periods between two heartbeats to one node, by failure domain. @internal */
export type HeartbeatPlan = {
	readonly ownDomain: number;
	readonly otherDomain: number;
};

/** Up to this number of nodes in the own failure domain, each gets a heartbeat every period: requests go to these nodes first. */
const ownDomainFullRateCount = 12;

/**
 * Heartbeats per period to the own failure domain if it has more nodes. Responses to requests also carry a server's load and
 * show that a node is alive. Each datagram wakes a process, which is most of the cost of an idle node.
 */
const ownDomainReducedCount = 5;

/**
 * Replaces both limits above for a node that watches the store for the others: they rely on its heartbeats, and there are
 * few such nodes.
 */
const storeWatcherHeartbeatCount = 60;

/**
 * Up to this number of nodes in other failure domains, each gets a heartbeat every period. The limit is low because traffic
 * between failure domains is charged, and because nodes there are probed when requests wait for them.
 */
const otherDomainFullRateCount = 10;

/** Heartbeats per period to other failure domains if they have more nodes: requests go there only when the own failure domain has no capacity. */
const otherDomainReducedCount = 3;

/**
 * The longest interval between two heartbeats to one node, in periods. It is bounded because a node that restarts during a
 * store outage is rediscovered by heartbeats.
 */
const maximumPeriodCount = 40;

/** Up to `fullRateCount` nodes each get a heartbeat every period; more nodes share `reducedCount` heartbeats per period. */
type HeartbeatBudget = {readonly fullRateCount: number; readonly reducedCount: number};

const countPeriods = (nodes: number, {fullRateCount, reducedCount}: HeartbeatBudget): number => nodes <= fullRateCount ? 1 : Math.min(maximumPeriodCount, Math.ceil(nodes / reducedCount));

/** The number of other nodes that a node knows, and its role. @internal */
export type HeartbeatPlanInput = {
	readonly ownDomainNodes: number;
	readonly otherDomainNodes: number;
	/** Whether other nodes rely on this node to watch the store. */
	readonly isFollowing: boolean;
};

/**
 * Plans the heartbeats of a node.
 *
 * @param input - The nodes that get the heartbeats, and the role of this node.
 * @returns The number of periods between two heartbeats to one node.
 * @internal
 */
export function planHeartbeats({ownDomainNodes, otherDomainNodes, isFollowing}: HeartbeatPlanInput): HeartbeatPlan {
	return {
		ownDomain: countPeriods(ownDomainNodes, isFollowing
			? {fullRateCount: storeWatcherHeartbeatCount, reducedCount: storeWatcherHeartbeatCount}
			: {fullRateCount: ownDomainFullRateCount, reducedCount: ownDomainReducedCount}),
		otherDomain: countPeriods(otherDomainNodes, {fullRateCount: otherDomainFullRateCount, reducedCount: otherDomainReducedCount}),
	};
}

/**
 * Converts a plan to milliseconds, as heartbeats report it to the other nodes.
 *
 * @param plan - The plan.
 * @param periodMs - Milliseconds of one period.
 * @returns Milliseconds between two heartbeats to one node.
 * @internal
 */
export function computePeriods({ownDomain, otherDomain}: HeartbeatPlan, periodMs: number): HeartbeatPeriods {
	return {ownDomainMs: ownDomain * periodMs, otherDomainMs: otherDomain * periodMs};
}
