/**
 * Lists backend servers of a service that a call may be sent to now: the one
 * beside this node, and some of the servers beside reachable nodes.
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
import {type LeavingServers} from '../server-notices/leaving-servers.js';
import {type LoadView} from '../decisions/load-view.js';
import {type Candidate} from '../decisions/rank-servers.js';
import {countReservedSlots} from '../decisions/reserved-slots.js';
import {listSample} from '../decisions/list-sample.js';

/** This node and the backend server beside it. @internal */
export type OwnNode = {
	readonly node: NodeId;
	readonly gate: Address;
	readonly domain: FailureDomain;
	/** `undefined` if there is none, or if it accepts no new requests. */
	readonly server: ServerReport | undefined;
};

/** @internal */
export type CandidateSources = {
	readonly own: OwnNode;
	/** Nodes whose backend servers belong to the service. */
	readonly peers: ServicePeers;
	readonly limits: PeerLimits;
	readonly loads: LoadView;
	/** Servers whose responses said that they leave. */
	readonly leaving: Pick<LeavingServers, 'has'>;
	readonly random: () => number;
};

/** The call to find a backend server for. @internal */
export type CandidateQuery = {
	readonly service: string;
	readonly route: string;
	/** Servers that the call was already sent to, which are excluded. */
	readonly tried: ReadonlySet<LifetimeKey>;
	/** Returns whether a server may receive the call, by its version. If omitted, all may. */
	readonly matches?: ((server: ServerReport) => boolean) | undefined;
	/** Set if the request may crash backend servers. All nodes then choose the same server, so that only one such request is in flight in the whole mesh. */
	readonly trialOf?: Fingerprint | undefined;
};

/** Describes the server beside this node. Its numbers come from the local gate, so they are exact and current. */
function describeLocal({own, loads}: CandidateSources, server: ServerReport, lifetime: LifetimeKey, route: string, now: number): Candidate {
	const {running, waiting, serviceMs, slowness = 1, failureShare, leastUrgent, waitingByPriority} = server;
	return {
		id: server.lifetime.id, lifetime, node: own.node, gate: own.gate, domain: own.domain, isLocal: true, slots: server.slots, isCold: server.coldMs > 0,
		view: {
			...loads.get(lifetime, route), running, waiting, serviceMs: serviceMs * slowness, failureShare, leastUrgent, waitingByPriority, ownInFlight: 0, ownInFlightAtReport: 0, roundTripMs: 0, reportedAt: now,
		},
	};
}

function describePeer({report, server, lifetime}: {readonly report: Peer['report']; readonly server: ServerReport; readonly lifetime: LifetimeKey}, route: string, {loads, own}: CandidateSources, now: number): Candidate {
	const {node, gate, domain} = report;
	const view = loads.get(lifetime, route, now);
	return {
		id: server.lifetime.id, lifetime, node, gate, domain, isLocal: false, slots: server.slots, isCold: server.coldMs > 0, view,
		reservedSlots: domain === own.domain ? 0 : countReservedSlots(server.slots, view),
	};
}

/**
 * Lists the servers that a call may be sent to.
 *
 * @param query - The call.
 * @param sources - The known servers and nodes.
 * @param now - Steady milliseconds.
 * @returns Servers that are ready, in no particular order: all of them if there are few, otherwise a random sample that ends when enough servers have a free slot.
 * @internal
 */
export function listCandidates(query: CandidateQuery, sources: CandidateSources, now: number): readonly Candidate[] {
	const {service, route, tried, trialOf, matches} = query;
	const {own, peers, limits, leaving, random} = sources;

	/** Returns whether a server is excluded. A server that refused a trial remains in the list from which the trial server is chosen: choosing among the others would run the trial at several servers at the same time. */
	const isExcluded = (lifetime: LifetimeKey): boolean => (trialOf === undefined && tried.has(lifetime)) || leaving.has(lifetime);

	/** Returns the lifetime of a server that may receive the call. */
	const findUsableLifetime = (server: ServerReport): LifetimeKey | undefined => {
		if (server.service !== service || server.state !== 'ready' || matches?.(server) === false) {
			return undefined;
		}

		const lifetime = toLifetimeKey(server.lifetime);
		return isExcluded(lifetime) ? undefined : lifetime;
	};

	const describeIfUsable = (peer: Peer): Candidate | undefined => {
		const {report} = peer;
		const {server} = report;
		// The list of a service may contain a node whose server has changed since the list was built.
		const lifetime = server === undefined ? undefined : findUsableLifetime(server);
		return server !== undefined && lifetime !== undefined && isReachable(peer, limits, now)
			? describePeer({report, server, lifetime}, route, sources, now)
			: undefined;
	};

	const listLocal = (): readonly Candidate[] => {
		const lifetime = own.server === undefined ? undefined : findUsableLifetime(own.server);
		return own.server === undefined || lifetime === undefined ? [] : [describeLocal(sources, own.server, lifetime, route, now)];
	};

	const findSampled = (list: readonly Peer[]): readonly Candidate[] => listSample(list, describeIfUsable, random, now);

	const localCandidates = listLocal();
	const listAll = (): readonly Candidate[] => [...localCandidates, ...[...peers.ownDomain, ...peers.otherDomains].flatMap(peer => describeIfUsable(peer) ?? [])];
	if (trialOf !== undefined) {
		return chooseTrialServer(trialOf, listAll()).filter(({lifetime}) => !tried.has(lifetime));
	}

	const sampled = [...localCandidates, ...findSampled(peers.ownDomain), ...findSampled(peers.otherDomains)];
	// If most servers of a service fail at the same time, the sample may miss the few that are left.
	return sampled.length > 0 ? sampled : listAll();
}
