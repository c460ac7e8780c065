/**
 * Orders the backend servers of a service by when an answer from each is to be
 * expected: the decision part of choosing one.
 *
 * @module
 */
import {
	type Address, type BackendServerId, type FailureDomain, type NodeId,
} from '../common/ids.js';
import {type LifetimeKey} from '../common/server-lifetime.js';
import {shuffleList} from '../common/shuffle-list.js';
import {estimateOutstanding, type ServerView} from './load-view.js';

/** A backend server that may be chosen. @internal */
export type Candidate = {
	readonly id: BackendServerId;
	/** The lifetime of it that what is known here is known of. */
	readonly lifetime: LifetimeKey;
	readonly node: NodeId;
	readonly gate: Address;
	readonly domain: FailureDomain;
	/** It stands beside this node. */
	readonly isLocal: boolean;
	readonly slots: number;
	readonly isCold: boolean;
	readonly view: ServerView;
};

/** @internal */
export type RankingContext = {
	readonly domain: FailureDomain;
	/** What a server beside another node of the own failure domain has to be faster by, in milliseconds. */
	readonly otherNodePenaltyMs: number;
	/** What a server of another failure domain has to be faster by, in milliseconds. */
	readonly crossDomainPenaltyMs: number;
	/** An answer within this time is as good as a sooner one, in milliseconds; 0 if every millisecond counts. */
	readonly fastEnoughMs: number;
	readonly random: () => number;
};

/** Taken for a server that nothing is known of, so that it is tried. Milliseconds. */
const assumedServiceMs = 60;

/** A cold server is taken for so many times slower; the users' servers are about twice as slow at first. */
const coldStartFactor = 2;

/** Failures count as if each took so many times as long, since a failed request has to be sent again. */
const failureFactor = 4;

/** Estimates are spread by this share, so that nodes that see the same do not all choose the same. */
const jitterShare = 0.15;

/** The time on the way counts so many times: a node that is slow to answer delays what follows as well. */
const roundTripFactor = 2;

/** Share of its slots in use above which a server is expected to be slower. */
const busyThresholdShare = 0.7;

/** How much slower a server is with all slots in use than with few, as a share. */
const busySlowdownShare = 0.5;

/**
 * Servers of each kind that are compared. What is known of their load is up to a heartbeat old: if every node took the best
 * of forty, all would take the same one until the next heartbeat. The best of a few drawn at random is nearly as good, and
 * another one for each node. Services of the size of the users' first sites are still compared whole.
 */
const shortlistSizes = {ownDomain: 3, otherDomains: 4} as const;

/**
 * @param candidate - A server.
 * @returns How much longer work takes there now than what is known of it says.
 * @internal
 */
export function getColdStartFactor({isCold}: Pick<Candidate, 'isCold'>): number {
	return isCold ? coldStartFactor : 1;
}

/**
 * Estimates when an answer is to be expected.
 *
 * @param candidate - The server.
 * @param context - Where this node stands.
 * @returns Milliseconds, with a random spread; only their order means anything.
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

function pickShortlist(candidates: readonly Candidate[], {domain, random}: RankingContext): ReadonlySet<Candidate> {
	const shuffled = shuffleList(candidates, random);
	const near = shuffled.filter(candidate => !candidate.isLocal && candidate.domain === domain);
	const far = shuffled.filter(candidate => !candidate.isLocal && candidate.domain !== domain);
	return new Set([
		...shuffled.filter(({isLocal}) => isLocal),
		...near.slice(0, shortlistSizes.ownDomain),
		...far.slice(0, shortlistSizes.otherDomains),
	]);
}

/**
 * Orders servers: the best of a random few first, then the others.
 *
 * @param candidates - Servers that may be chosen.
 * @param context - Where this node stands.
 * @returns The same servers, the one to try first at the front.
 * @internal
 */
export function rankServers(candidates: readonly Candidate[], context: RankingContext): readonly Candidate[] {
	const shortlist = pickShortlist(candidates, context);
	return candidates
		.map(candidate => ({candidate, isOther: Number(!shortlist.has(candidate)), answerMs: estimateResponseMs(candidate, context)}))
		.toSorted((left, right) => left.isOther - right.isOther || left.answerMs - right.answerMs)
		.map(({candidate}) => candidate);
}
