/**
 * What a node knows of the others: their newest reports, how long ago each was
 * heard, and which of them could not be reached. The decision part of
 * membership; time is handed in.
 *
 * @module
 */
import {
	type Address, type BackendServerId, type FailureDomain, type NodeId,
} from '../common/ids.js';
import {compareLifetimes, isSameLifetime} from '../common/server-lifetime.js';
import {type PeerReport, type ServerReport} from './peer-report.js';

/** One other node. @internal */
export type Peer = {
	readonly report: PeerReport;
	/** When its last report arrived, in steady milliseconds. */
	readonly reportedAt: number;
	/** When it last gave a sign of life, a report or an answer to a request. Steady milliseconds. */
	readonly heardAt: number;
	/** Milliseconds between its heartbeats to this node. */
	readonly periodMs: number;
	/** When it was first asked for a report that has not come yet, in steady milliseconds. */
	readonly probedAt: number | undefined;
	/** It could not be reached; not to be chosen before this time. Steady milliseconds. */
	readonly avoidUntil: number;
	/** Failures to reach it in a row. */
	readonly consecutiveFailures: number;
	/** Runs of the same node that a newer one has replaced: their late datagrams are ignored. */
	readonly previousRuns: readonly string[];
};

/** Servers of one service beside other nodes, by where they stand. @internal */
export type ServicePeers = {
	readonly ownDomain: readonly Peer[];
	readonly otherDomains: readonly Peer[];
};

/**
 * The other nodes. One table is changed in place, so that a report costs the same in any mesh.
 * A `Peer` that was handed out shows later changes.
 *
 * @internal
 */
export type PeerTable = {
	readonly size: number;
	readonly get: (node: NodeId) => Peer | undefined;
	/** All nodes, in the order in which they joined. */
	readonly list: () => Iterable<Peer>;
	/** Failure domains in which nodes are known, the own one included. */
	readonly countDomains: () => number;
	/** Nodes of the own failure domain. */
	readonly listOwnDomain: () => readonly Peer[];
	/** Nodes of all other failure domains. */
	readonly listOtherDomains: () => readonly Peer[];
	/** Nodes beside servers of a service, whatever the state of these; what a choice costs does not grow with the mesh. */
	readonly listService: (service: string) => ServicePeers;
	/** The node that takes requests at an address. */
	readonly findByGate: (gate: Address) => Peer | undefined;
	/** Whether a node takes heartbeats at an address. */
	readonly hasGossipAddress: (gossip: Address) => boolean;
	/** Takes in a report. One that is late, repeated or of an earlier run changes nothing. */
	readonly acceptReport: (report: PeerReport, now: number) => PeerChange;
	/** Notes that a node was asked for a report. A second question does not give it more time. */
	readonly noteProbed: (node: NodeId, now: number) => void;
	/** Notes that a node could not be reached. Several requests that fail at once are one failure. */
	readonly noteUnreachable: (node: NodeId, now: number) => void;
	/** Notes that a node answered a request, which ends its failures in a row and is a sign of life as good as a report. */
	readonly noteReached: (node: NodeId, now: number) => void;
	/** Forgives silence while this node itself stood still for so many milliseconds: nothing could be heard meanwhile. */
	readonly recordPause: (pausedMs: number) => void;
	/** Drops nodes that have been silent for long, of all or of some; yields who was dropped. */
	readonly dropSilent: (now: number, some?: Iterable<Peer>) => readonly NodeId[];
};

/** What a report changed. @internal */
export type PeerChange = 'none' | 'joined' | 'restarted' | 'returned' | 'changed'
	/** Nothing but the version of its configuration. */
	| 'version';

/** @internal */
export type PeerLimits = {
	/** Milliseconds without a report after which a node is not chosen; longer for one whose heartbeats come less often. */
	readonly silenceMs: number;
	/** Milliseconds that a node may take to answer when it is asked for a report. */
	readonly probeMs: number;
	/** Milliseconds between its heartbeats, as a node says in its report. */
	readonly getPeriodMs: (report: PeerReport) => number;
	/** Milliseconds without a report after which a node is forgotten. */
	readonly forgetMs: number;
	/** Milliseconds for which a node that could not be reached is not chosen; doubles each time in a row. */
	readonly avoidMs: number;
};

/** The longest time for which an unreachable node is not chosen, as a multiple of the first. */
const maximumBackoffFactor = 8;

/** Old runs remembered for each node; a node that restarts more often within a datagram's life does not exist. */
const rememberedRunCount = 4;

/** Heartbeats of a node that may be lost before it counts as silent, and a part of one for the way. */
const silencePeriodCount = 2.6;

/**
 * @param peer - A node.
 * @param limits - Limits of silence.
 * @param now - Steady milliseconds.
 * @returns Whether it was heard lately, and has not left a question unanswered.
 * @internal
 */
export function isHeard({heardAt, periodMs, probedAt}: Peer, {silenceMs, probeMs}: PeerLimits, now: number): boolean {
	return now - heardAt <= Math.max(silenceMs, periodMs * silencePeriodCount) && (probedAt === undefined || now - probedAt <= probeMs);
}

/**
 * @param peer - A node.
 * @param limits - Limits of silence.
 * @param now - Steady milliseconds.
 * @returns Whether a request may be sent there.
 * @internal
 */
export function isReachable(peer: Peer, limits: PeerLimits, now: number): boolean {
	return isHeard(peer, limits, now) && now >= peer.avoidUntil && !peer.report.isLeaving;
}

function isSameServer(left: ServerReport | undefined, right: ServerReport | undefined): boolean {
	if (left === undefined || right === undefined) {
		return left === right;
	}

	return isSameLifetime(left.lifetime, right.lifetime) && left.state === right.state;
}

function compareReports(known: Peer, report: PeerReport, isSilent: boolean): PeerChange {
	if (known.report.run !== report.run) {
		return 'restarted';
	}

	if (isSilent) {
		return 'returned';
	}

	const before = known.report;
	const isSame = before.isLeaving === report.isLeaving && isSameServer(before.server, report.server);
	if (!isSame) {
		return 'changed';
	}

	return before.version === report.version ? 'none' : 'version';
}

type MutablePeer = {-readonly [Key in keyof Peer]: Peer[Key]};

function isOutdated({previousRuns, report: known}: Peer, report: PeerReport): boolean {
	return previousRuns.includes(report.run) || (known.run === report.run && known.sequence >= report.sequence);
}

/** The nodes beside the servers of each service. */
type ServiceIndex = {
	readonly add: (peer: MutablePeer) => void;
	readonly remove: (peer: MutablePeer) => void;
	readonly get: (service: string) => ServicePeers;
};

const noPeers: ServicePeers = {ownDomain: [], otherDomains: []};

function removeFrom(list: MutablePeer[], peer: MutablePeer): void {
	const index = list.indexOf(peer);
	const last = list.pop();
	if (last !== undefined && last !== peer && index !== -1) {
		list[index] = last;
	}
}

function createServiceIndex(domain: FailureDomain): ServiceIndex {
	const services = new Map<string, {readonly ownDomain: MutablePeer[]; readonly otherDomains: MutablePeer[]}>();
	const getList = ({report}: MutablePeer): MutablePeer[] | undefined => {
		if (report.server === undefined) {
			return undefined;
		}

		const {service} = report.server;
		const lists = services.get(service) ?? {ownDomain: [], otherDomains: []};
		services.set(service, lists);
		return report.domain === domain ? lists.ownDomain : lists.otherDomains;
	};

	return {
		add(peer) {
			getList(peer)?.push(peer);
		},
		remove(peer) {
			const list = getList(peer);
			if (list !== undefined) {
				removeFrom(list, peer);
			}
		},
		get: service => services.get(service) ?? noPeers,
	};
}

/**
 * Creates the table.
 *
 * @param domain - Failure domain of this node.
 * @param limits - Limits of silence, and how long an unreachable node is avoided.
 * @returns A table of nobody.
 * @internal
 */
export function createPeerTable(domain: FailureDomain, limits: PeerLimits): PeerTable {
	const peers = new Map<NodeId, MutablePeer>();
	const byGate = new Map<Address, MutablePeer>();
	const byGossip = new Map<Address, MutablePeer>();
	const ownDomain: MutablePeer[] = [];
	const otherDomains: MutablePeer[] = [];
	const getDomainList = ({report}: MutablePeer): MutablePeer[] => report.domain === domain ? ownDomain : otherDomains;
	const services = createServiceIndex(domain);
	/** The node beside the newest lifetime that is known of each backend server. */
	const newestByServer = new Map<BackendServerId, MutablePeer>();
	/** Nodes of each failure domain, and this one. */
	const domainSizes = new Map<FailureDomain, number>([[domain, 1]]);

	const changeDomainSize = (of: FailureDomain, change: number): void => {
		const size = (domainSizes.get(of) ?? 0) + change;
		if (size === 0) {
			domainSizes.delete(of);
		} else {
			domainSizes.set(of, size);
		}
	};

	const removeNewest = (peer: MutablePeer): void => {
		const id = peer.report.server?.lifetime.id;
		if (id !== undefined && newestByServer.get(id) === peer) {
			newestByServer.delete(id);
		}
	};

	const dropServer = (peer: MutablePeer): void => {
		removeNewest(peer);
		services.remove(peer);
		peer.report = {...peer.report, server: undefined};
	};

	/**
	 * Takes no news of an earlier lifetime of a server from another node than the one beside the newest, and forgets the earlier
	 * one when a later one is heard. What one node says in turn is in its own order: it knows whether the clock of its server went
	 * back. So is what is said while the node beside the newest is silent or leaves.
	 */
	const dropEarlierServer = (report: PeerReport, now: number): PeerReport => {
		const {server} = report;
		const newest = server === undefined ? undefined : newestByServer.get(server.lifetime.id);
		const newestServer = newest?.report.server;
		if (server === undefined || newest === undefined || newestServer === undefined || newest.report.node === report.node) {
			return report;
		}

		switch (compareLifetimes(server.lifetime, newestServer.lifetime)) {
			case 'later': {
				dropServer(newest);
				return report;
			}

			case 'earlier': {
				return isHeard(newest, limits, now) && !newest.report.isLeaving ? {...report, server: undefined} : report;
			}

			case 'same':
			case 'unrelated': {
				return report;
			}
		}
	};

	const addNewest = (peer: MutablePeer): void => {
		const id = peer.report.server?.lifetime.id;
		if (id !== undefined) {
			newestByServer.set(id, peer);
		}
	};

	const addToIndices = (peer: MutablePeer): void => {
		byGate.set(peer.report.gate, peer);
		byGossip.set(peer.report.gossip, peer);
		services.add(peer);
		changeDomainSize(peer.report.domain, 1);
		getDomainList(peer).push(peer);
	};

	const removeFromIndices = (peer: MutablePeer): void => {
		const {gate, gossip} = peer.report;
		// A node that took over the address of one that is gone stays there.
		if (byGate.get(gate) === peer) {
			byGate.delete(gate);
		}

		if (byGossip.get(gossip) === peer) {
			byGossip.delete(gossip);
		}

		services.remove(peer);
		changeDomainSize(peer.report.domain, -1);
		removeFrom(getDomainList(peer), peer);
	};

	const hasMoved = (before: PeerReport, after: PeerReport): boolean => before.server?.service !== after.server?.service
		|| before.gate !== after.gate || before.gossip !== after.gossip || before.domain !== after.domain;

	const addPeer = (report: PeerReport, now: number): void => {
		const peer: MutablePeer = {
			report, reportedAt: now, heardAt: now, previousRuns: [], periodMs: limits.getPeriodMs(report), probedAt: undefined, avoidUntil: 0, consecutiveFailures: 0,
		};
		peers.set(report.node, peer);
		addToIndices(peer);
		addNewest(peer);
	};

	const updatePeer = (peer: MutablePeer, report: PeerReport, now: number): void => {
		if (peer.report.run !== report.run) {
			peer.previousRuns = [...peer.previousRuns, peer.report.run].slice(-rememberedRunCount);
			peer.avoidUntil = 0;
			peer.consecutiveFailures = 0;
		}

		const isMoved = hasMoved(peer.report, report);
		if (isMoved) {
			removeFromIndices(peer);
		}

		removeNewest(peer);
		peer.report = report;
		addNewest(peer);
		peer.reportedAt = now;
		peer.heardAt = now;
		peer.periodMs = limits.getPeriodMs(report);
		peer.probedAt = undefined;
		if (isMoved) {
			addToIndices(peer);
		}
	};

	return {
		get size() {
			return peers.size;
		},
		get: node => peers.get(node),
		list: () => peers.values(),
		countDomains: () => domainSizes.size,
		listOwnDomain: () => ownDomain,
		listOtherDomains: () => otherDomains,
		listService: services.get,
		findByGate: gate => byGate.get(gate),
		hasGossipAddress: gossip => byGossip.has(gossip),
		acceptReport(received, now) {
			const known = peers.get(received.node);
			if (known !== undefined && isOutdated(known, received)) {
				return 'none';
			}

			const report = dropEarlierServer(received, now);
			if (known === undefined) {
				addPeer(report, now);
				return 'joined';
			}

			const change = compareReports(known, report, !isHeard(known, limits, now));
			updatePeer(known, report, now);
			return change;
		},
		noteProbed(node, now) {
			const peer = peers.get(node);
			if (peer !== undefined) {
				peer.probedAt ??= now;
			}
		},
		noteUnreachable(node, now) {
			const peer = peers.get(node);
			if (peer === undefined || now < peer.avoidUntil) {
				return;
			}

			peer.consecutiveFailures++;
			peer.avoidUntil = now + (limits.avoidMs * Math.min(maximumBackoffFactor, 2 ** (peer.consecutiveFailures - 1)));
		},
		noteReached(node, now) {
			const peer = peers.get(node);
			if (peer !== undefined) {
				peer.consecutiveFailures = 0;
				peer.avoidUntil = 0;
				peer.heardAt = Math.max(peer.heardAt, now);
				peer.probedAt = undefined;
			}
		},
		recordPause(pausedMs) {
			for (const peer of peers.values()) {
				peer.reportedAt += pausedMs;
				peer.heardAt += pausedMs;
				peer.probedAt = peer.probedAt === undefined ? undefined : peer.probedAt + pausedMs;
			}
		},
		dropSilent(now, some = peers.values()) {
			const dropped: NodeId[] = [];
			for (const {report: {node}} of some) {
				const peer = peers.get(node);
				if (peer !== undefined && now - peer.heardAt > limits.forgetMs) {
					peers.delete(node);
					removeNewest(peer);
					removeFromIndices(peer);
					dropped.push(node);
				}
			}

			return dropped;
		},
	};
}
