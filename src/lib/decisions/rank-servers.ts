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
import {estimateRequests, type ServerView} from './load-view.js';

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
	readonly otherNodeMs: number;
	/** What a server of another failure domain has to be faster by, in milliseconds. */
	readonly crossDomainMs: number;
	/** An answer within this time is as good as a sooner one, in milliseconds; 0 if every millisecond counts. */
	readonly soonEnoughMs: number;
	readonly random: () => number;
};

/** Taken for a server that nothing is known of, so that it is tried. Milliseconds. */
const unknownServiceMs = 60;

/** A cold server is taken for so many times slower; the users' servers are about twice as slow at first. */
const coldFactor = 2;

/** Failures count as if each took so many times as long, since a failed request has to be sent again. */
const failureFactor = 4;

/** Estimates are spread by this share, so that nodes that see the same do not all choose the same. */
const spread = 0.15;

/** The time on the way counts so many times: a node that is slow to answer delays what follows as well. */
const wayFactor = 2;

/** Share of its slots in use above which a server is expected to be slower. */
const busyShare = 0.7;

/** How much slower a server is with all slots in use than with few, as a share. */
const busyFactor = 0.5;

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
export function getColdFactor({isCold}: Pick<Candidate, 'isCold'>): number {
	return isCold ? coldFactor : 1;
}

/**
 * Estimates when an answer is to be expected.
 *
 * @param candidate - The server.
 * @param context - Where this node stands.
 * @returns Milliseconds, with a random spread; only their order means anything.
 * @internal
 */
export function estimateAnswerMs(candidate: Candidate, context: RankingContext): number {
	const {view, slots} = candidate;
	const slowness = getColdFactor(candidate) * (1 + (view.failureShare * failureFactor));
	const serviceMs = (view.serviceMs === 0 ? unknownServiceMs : view.serviceMs) * slowness;
	const requests = estimateRequests(view) + 1;
	const share = requests / Math.max(1, slots);
	const busyMs = serviceMs * busyFactor * Math.max(0, Math.min(1, share) - busyShare) / (1 - busyShare);
	const queueMs = Math.max(0, requests - slots) * serviceMs / Math.max(1, slots);
	const domainMs = candidate.isLocal ? 0 : (candidate.domain === context.domain ? context.otherNodeMs : context.crossDomainMs);
	const expectedMs = (serviceMs + busyMs + (queueMs * 2)) * (1 + (spread * context.random()));
	return Math.max(context.soonEnoughMs, expectedMs + (view.wayMs * wayFactor)) + domainMs;
}

function pickShortlist(candidates: readonly Candidate[], {domain, random}: RankingContext): ReadonlySet<Candidate> {
	const drawn = shuffleList(candidates, random);
	const near = drawn.filter(candidate => !candidate.isLocal && candidate.domain === domain);
	const far = drawn.filter(candidate => !candidate.isLocal && candidate.domain !== domain);
	return new Set([
		...drawn.filter(({isLocal}) => isLocal),
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
		.map(candidate => ({candidate, isOther: Number(!shortlist.has(candidate)), answerMs: estimateAnswerMs(candidate, context)}))
		.toSorted((left, right) => left.isOther - right.isOther || left.answerMs - right.answerMs)
		.map(({candidate}) => candidate);
}
