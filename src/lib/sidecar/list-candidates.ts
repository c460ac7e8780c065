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
import {estimateSlotWait, type LoadView} from '../decisions/load-view.js';
import {type Candidate} from '../decisions/rank-servers.js';

/** Where this node stands, and the server beside it. @internal */
export type OwnNode = {
	readonly node: NodeId;
	readonly gate: Address;
	readonly domain: FailureDomain;
	/** `undefined` if there is none, or if it takes nothing new. */
	readonly server: ServerReport | undefined;
};

/** @internal */
export type CandidateSources = {
	readonly own: OwnNode;
	/** Nodes beside servers of the service. */
	readonly peers: ServicePeers;
	readonly limits: PeerLimits;
	readonly loads: LoadView;
	readonly random: () => number;
};

/** The call that a server is sought for. @internal */
export type CandidateQuery = {
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
const maxSampledPeers = 12;

/** Servers of each kind with a free slot after which no more are looked for; the ranking compares three and four. */
const enoughFreeServers = 4;

/** What the own gate says is exact and of this moment. */
function describeLocal({own, loads}: CandidateSources, server: ServerReport, route: string, now: number): Candidate {
	const {running, waiting, serviceMs, failureShare} = server;
	const lifetime = toLifetimeKey(server.lifetime);
	return {
		id: server.lifetime.id, lifetime, node: own.node, gate: own.gate, domain: own.domain, isLocal: true, slots: server.slots, isCold: server.coldMs > 0,
		view: {
			...loads.get(lifetime, route), running, waiting, serviceMs, failureShare, own: 0, ownThen: 0, wayMs: 0, heardAt: now,
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
function pickIndexes(length: number, random: () => number): Iterable<number> {
	if (length <= maxSampledPeers) {
		return Array.from({length}, (_, index) => index);
	}

	return new Set(Array.from({length: maxSampledPeers}, () => Math.floor(random() * length)));
}

/**
 * @param query - The call.
 * @param sources - What is known of servers and nodes.
 * @param now - Steady milliseconds.
 * @returns Servers that are ready, in no particular order: all of them if there are few, else some drawn at random, with free slots as far as such were found.
 * @internal
 */
export function listCandidates(query: CandidateQuery, sources: CandidateSources, now: number): readonly Candidate[] {
	const {service, route, tried, trialOf} = query;
	const {own, peers, limits, loads, random} = sources;

	/** A trial has one server for all nodes, also once that one has turned it away: to go on among the others would be trials at several at once. */
	const isExcluded = (lifetime: LifetimeKey): boolean => trialOf === undefined && tried.has(lifetime);

	const describeIfUsable = (peer: Peer): Candidate | undefined => {
		const {server} = peer.report;
		// A list by service may hold a node whose server has changed since it was drawn up.
		return server?.service === service && server.state === 'ready' && !isExcluded(toLifetimeKey(server.lifetime)) && isReachable(peer, limits, now)
			? describePeer({report: peer.report, server}, route, loads)
			: undefined;
	};

	const findSampled = (list: readonly Peer[]): readonly Candidate[] => {
		const found: Candidate[] = [];
		let freeServers = 0;
		for (const index of pickIndexes(list.length, random)) {
			const candidate = describeIfUsable(list[index]!);
			if (candidate === undefined) {
				continue;
			}

			found.push(candidate);
			freeServers += estimateSlotWait(candidate.view, candidate.slots, now) === 0 ? 1 : 0;
			if (freeServers >= enoughFreeServers && list.length > maxSampledPeers) {
				break;
			}
		}

		return found;
	};

	const localCandidates = own.server?.service === service && own.server.state === 'ready' && !isExcluded(toLifetimeKey(own.server.lifetime)) ? [describeLocal(sources, own.server, route, now)] : [];
	const listAll = (): readonly Candidate[] => [...localCandidates, ...[...peers.ownDomain, ...peers.otherDomains].flatMap(peer => describeIfUsable(peer) ?? [])];
	if (trialOf !== undefined) {
		return chooseTrialServer(trialOf, listAll()).filter(({lifetime}) => !tried.has(lifetime));
	}

	const sampled = [...localCandidates, ...findSampled(peers.ownDomain), ...findSampled(peers.otherDomains)];
	// Most of a service may be gone at once, and the few that are left not be drawn.
	return sampled.length > 0 ? sampled : listAll();
}
