/**
 * Lists backend servers of a service that a call may be sent to now: the
 * one beside this node and some of those beside nodes that can be reached.
 *
 * @module
 */
import {type Address, type FailureDomain, type NodeId} from '../common/ids.js';
import {toLifetimeKey, type LifetimeKey} from '../common/server-lifetime.js';
import {type ServerReport} from '../peers/peer-report.js';
import {
	isReachable, type Peer, type PeerLimits, type ServicePeers,
} from '../peers/peer-table.js';
import {type Fingerprint} from '../quarantine/fingerprint.js';
import {chooseTrialServer} from '../quarantine/trial-server.js';
import {estimateSlotWaitMs, type LoadView} from '../decisions/load-view.js';
import {type Candidate} from '../decisions/rank-servers.js';

/** Where this node stands, and the server beside it. @internal */
export type OwnPlace = {
	readonly node: NodeId;
	readonly gate: Address;
	readonly domain: FailureDomain;
	/** `undefined` if there is none, or if it takes nothing new. */
	readonly server: ServerReport | undefined;
};

/** @internal */
export type CandidateSources = {
	readonly own: OwnPlace;
	/** Nodes beside servers of the service. */
	readonly peers: ServicePeers;
	readonly limits: PeerLimits;
	readonly loads: LoadView;
	readonly random: () => number;
};

/** The call that a server is sought for. @internal */
export type CandidateNeeds = {
	readonly service: string;
	readonly route: string;
	/** Servers that are out of the question. */
	readonly tried: ReadonlySet<LifetimeKey>;
	/** The request may crash servers: it goes to one that all nodes choose alike, so that one of it is in work in the whole mesh. */
	readonly trialOf?: Fingerprint | undefined;
};

/**
 * Nodes of each kind that are looked at, own failure domain and others apart. A choice then costs the same at 60 servers of a
 * service and at 600. Up to this number all are compared.
 */
const mostLooks = 12;

/** Servers of each kind with a free slot after which no more are looked for; the ranking compares three and four. */
const enoughFree = 4;

/** What the own gate says is exact and of this moment. */
function describeOwn({own, loads}: CandidateSources, server: ServerReport, route: string, now: number): Candidate {
	const {running, waiting, serviceMs, failureShare} = server;
	const lifetime = toLifetimeKey(server.lifetime);
	return {
		id: server.lifetime.id, lifetime, node: own.node, gate: own.gate, domain: own.domain, isLocal: true, slots: server.slots, isCold: server.coldMs > 0,
		view: {
			...loads.get(lifetime, route), running, waiting, serviceMs, failureShare, ownInFlight: 0, ownInFlightAtReport: 0, roundTripMs: 0, reportedAt: now,
		},
	};
}

function describePeer({report, server}: {readonly report: Peer['report']; readonly server: ServerReport}, route: string, loads: LoadView): Candidate {
	const {node, gate, domain} = report;
	const lifetime = toLifetimeKey(server.lifetime);
	return {
		id: server.lifetime.id, lifetime, node, gate, domain, isLocal: false, slots: server.slots, isCold: server.coldMs > 0, view: loads.get(lifetime, route),
	};
}

/** Random places of a list, each at most once; all of them if the list is short. */
function pickPlaces(length: number, random: () => number): Iterable<number> {
	if (length <= mostLooks) {
		return Array.from({length}, (_, place) => place);
	}

	return new Set(Array.from({length: mostLooks}, () => Math.floor(random() * length)));
}

/**
 * @param needs - The call.
 * @param sources - What is known of servers and nodes.
 * @param now - Steady milliseconds.
 * @returns Servers that are ready, in no particular order: all of them if there are few, else some drawn at random, with free slots as far as such were found.
 * @internal
 */
export function listCandidates(needs: CandidateNeeds, sources: CandidateSources, now: number): readonly Candidate[] {
	const {service, route, tried, trialOf} = needs;
	const {own, peers, limits, loads, random} = sources;

	/** A trial has one server for all nodes, also once that one has turned it away: to go on among the others would be trials at several at once. */
	const isOut = (lifetime: LifetimeKey): boolean => trialOf === undefined && tried.has(lifetime);

	const describeUsable = (peer: Peer): Candidate | undefined => {
		const {server} = peer.report;
		// A list by service may hold a node whose server has changed since it was drawn up.
		return server?.service === service && server.state === 'ready' && !isOut(toLifetimeKey(server.lifetime)) && isReachable(peer, limits, now)
			? describePeer({report: peer.report, server}, route, loads)
			: undefined;
	};

	const findSome = (list: readonly Peer[]): readonly Candidate[] => {
		const found: Candidate[] = [];
		let free = 0;
		for (const place of pickPlaces(list.length, random)) {
			const candidate = describeUsable(list[place]!);
			if (candidate === undefined) {
				continue;
			}

			found.push(candidate);
			free += estimateSlotWaitMs(candidate.view, candidate.slots, now) === 0 ? 1 : 0;
			if (free >= enoughFree && list.length > mostLooks) {
				break;
			}
		}

		return found;
	};

	const ownPart = own.server?.service === service && own.server.state === 'ready' && !isOut(toLifetimeKey(own.server.lifetime)) ? [describeOwn(sources, own.server, route, now)] : [];
	const listAll = (): readonly Candidate[] => [...ownPart, ...[...peers.ownDomain, ...peers.otherDomains].flatMap(peer => describeUsable(peer) ?? [])];
	if (trialOf !== undefined) {
		return chooseTrialServer(trialOf, listAll()).filter(({lifetime}) => !tried.has(lifetime));
	}

	const drawn = [...ownPart, ...findSome(peers.ownDomain), ...findSome(peers.otherDomains)];
	// Most of a service may be gone at once, and the few that are left not be drawn.
	return drawn.length > 0 ? drawn : listAll();
}
