/**
 * Orders the backend servers of a service by the expected response time.
 *
 * @module
 */
import {
	type Address, type BackendServerId, type FailureDomain, type NodeId,
} from '../common/ids.js';
import {type LifetimeKey} from '../common/server-lifetime.js';
import {shuffleList} from '../common/shuffle-list.js';
import {estimateOutstanding, type ServerView} from './load-view.js';

/** A backend server that may receive a request. @internal */
export type Candidate = {
	readonly id: BackendServerId;
	/** The lifetime of the server to which `view` belongs. */
	readonly lifetime: LifetimeKey;
	readonly node: NodeId;
	readonly gate: Address;
	readonly domain: FailureDomain;
	/** Whether the server runs beside this node. */
	readonly isLocal: boolean;
	readonly slots: number;
	/** Slots that this node leaves to requests of the server's own failure domain; 0 if omitted. */
	readonly reservedSlots?: number;
	readonly isCold: boolean;
	readonly view: ServerView;
};

/** @internal */
export type RankingContext = {
	readonly domain: FailureDomain;
	/** Milliseconds by which a server behind another node in the same failure domain has to be faster to be preferred. */
	readonly otherNodePenaltyMs: number;
	/** Milliseconds by which a server in another failure domain has to be faster to be preferred. */
	readonly crossDomainPenaltyMs: number;
	/** Response time in milliseconds below which a faster server is not preferred; 0 if the fastest one is always preferred. */
	readonly fastEnoughMs: number;
	readonly random: () => number;
};

/** Numbers of servers that are compared. @internal */
export type ShortlistSizes = {readonly ownDomain: number; readonly otherDomains: number};

/** Service time assumed for a server without a report, so that it gets requests. */
const assumedServiceMs = 60;

/** Factor for the service time of a cold server. The users' servers are about half as fast after a start. */
const coldStartFactor = 2;

/** A failure counts as this many service times, since the request has to be retried. */
const failureFactor = 4;

/** Random share added to estimates, so that nodes with the same view do not all choose the same server. */
const jitterShare = 0.15;

/** Factor for the round-trip time: a slow node also delays what follows. */
const roundTripFactor = 2;

/** A server is expected to be slower if more than this share of its slots is in use. */
const busyThresholdShare = 0.7;

/** Share by which the service time grows when all slots are in use. */
const busySlowdownShare = 0.5;

/**
 * Number of servers of each kind that are compared, drawn at random. The known load is up to one heartbeat old: if every node
 * chose the best of forty servers, all would choose the same one until the next heartbeat. The best of a few random servers is
 * nearly as good and differs between nodes. In services as small as those at the users' first sites, all servers are compared.
 */
const shortlistSizes: ShortlistSizes = {ownDomain: 3, otherDomains: 4};

/**
 * @param candidate - A server.
 * @returns Factor by which its current service time exceeds the known one.
 * @internal
 */
export function getColdStartFactor({isCold}: Pick<Candidate, 'isCold'>): number {
	return isCold ? coldStartFactor : 1;
}

/**
 * Estimates the response time of a server.
 *
 * @param candidate - The server.
 * @param context - Failure domain of this node, and the thresholds.
 * @returns Milliseconds with random jitter and penalties; use them only to compare servers.
 * @internal
 */
export function estimateResponseMs(candidate: Candidate, context: RankingContext): number {
	const {view, slots} = candidate;
	const slowdown = getColdStartFactor(candidate) * (1 + (view.failureShare * failureFactor));
	const serviceMs = (view.serviceMs === 0 ? assumedServiceMs : view.serviceMs) * slowdown;
	const requests = estimateOutstanding(view) + 1;
	const usedShare = requests / Math.max(1, slots);
	const busyMs = serviceMs * busySlowdownShare * Math.max(0, Math.min(1, usedShare) - busyThresholdShare) / (1 - busyThresholdShare);
	const queueMs = Math.max(0, requests - slots) * serviceMs / Math.max(1, slots);
	const penaltyMs = candidate.isLocal ? 0 : (candidate.domain === context.domain ? context.otherNodePenaltyMs : context.crossDomainPenaltyMs);
	const expectedMs = (serviceMs + busyMs + (queueMs * 2)) * (1 + (jitterShare * context.random()));
	return Math.max(context.fastEnoughMs, expectedMs + (view.roundTripMs * roundTripFactor)) + penaltyMs;
}

/** Returns the servers that are compared; `undefined` if there are so few that all are. */
function pickShortlist(candidates: readonly Candidate[], {domain, random}: RankingContext, sizes: ShortlistSizes): ReadonlySet<Candidate> | undefined {
	if (candidates.length <= Math.min(sizes.ownDomain, sizes.otherDomains)) {
		return undefined;
	}

	const shuffled = shuffleList(candidates, random);
	const near = shuffled.filter(candidate => !candidate.isLocal && candidate.domain === domain);
	const far = shuffled.filter(candidate => !candidate.isLocal && candidate.domain !== domain);
	return new Set([
		...shuffled.filter(({isLocal}) => isLocal),
		...near.slice(0, sizes.ownDomain),
		...far.slice(0, sizes.otherDomains),
	]);
}

/**
 * Orders servers by estimated response time: first a random shortlist, then the others.
 *
 * @param candidates - Servers that may receive the request.
 * @param context - Failure domain of this node, and the thresholds.
 * @param sizes - Numbers of servers that are compared.
 * @returns The same servers, the one to try first at the front.
 * @internal
 */
export function rankServers(candidates: readonly Candidate[], context: RankingContext, sizes = shortlistSizes): readonly Candidate[] {
	const shortlist = pickShortlist(candidates, context, sizes);
	return candidates
		.map(candidate => ({candidate, isOther: Number(shortlist?.has(candidate) === false), answerMs: estimateResponseMs(candidate, context)}))
		.toSorted((left, right) => left.isOther - right.isOther || left.answerMs - right.answerMs)
		.map(({candidate}) => candidate);
}
