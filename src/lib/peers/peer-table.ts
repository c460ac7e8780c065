/**
 * The membership table of a node: the newest report of each other node, when it
 * was last heard, and whether it could be reached. The table has no timers; the
 * caller passes the time.
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
	/** When it last sent a report or answered a request, in steady milliseconds. */
	readonly heardAt: number;
	/** Milliseconds between its heartbeats to this node. */
	readonly periodMs: number;
	/** When the first probe that it has not answered yet was sent, in steady milliseconds; `undefined` if there is none. */
	readonly probedAt: number | undefined;
	/** When it may be chosen again after it could not be reached, in steady milliseconds. */
	readonly avoidUntil: number;
	/** The number of consecutive failures to reach it. */
	readonly consecutiveFailures: number;
	/** Earlier runs of the node, whose late datagrams are ignored. */
	readonly previousRuns: readonly string[];
};

/** Nodes beside the servers of one service, by failure domain. @internal */
export type ServicePeers = {
	readonly ownDomain: readonly Peer[];
	readonly otherDomains: readonly Peer[];
};

/**
 * The table of the other nodes. It is changed in place, so that the cost of a report does not depend on the size of the mesh.
 * A `Peer` that the table returned reflects later changes.
 *
 * @internal
 */
export type PeerTable = {
	readonly size: number;
	readonly get: (node: NodeId) => Peer | undefined;
	/** Lists all nodes, in the order in which they joined. */
	readonly list: () => Iterable<Peer>;
	/** Counts the failure domains with known nodes, including the own one. */
	readonly countDomains: () => number;
	/** Lists the nodes of the own failure domain. */
	readonly listOwnDomain: () => readonly Peer[];
	/** Lists the nodes of all other failure domains. */
	readonly listOtherDomains: () => readonly Peer[];
	/** Lists the nodes beside the servers of a service, in any state. The cost does not grow with the mesh. */
	readonly listService: (service: string) => ServicePeers;
	/** Finds the node that accepts requests at an address. */
	readonly findByGate: (gate: Address) => Peer | undefined;
	/** Returns whether a known node receives heartbeats at an address. */
	readonly hasGossipAddress: (gossip: Address) => boolean;
	/** Applies a report. A report that is late, repeated or from an earlier run is ignored. */
	readonly acceptReport: (report: PeerReport, now: number) => PeerChange;
	/** Records that a probe was sent to a node. A second probe does not extend the time to answer. */
	readonly noteProbed: (node: NodeId, now: number) => void;
	/** Records that a node could not be reached. Several requests that fail at the same time count as one failure. */
	readonly noteUnreachable: (node: NodeId, now: number) => void;
	/** Records that a node answered a request, which resets its consecutive failures and counts as heard, like a report. */
	readonly noteReached: (node: NodeId, now: number) => void;
	/** Records that this node was paused for the given number of milliseconds and could hear nothing: shifts the timestamps of all nodes by this time. */
	readonly recordPause: (pausedMs: number) => void;
	/** Drops the nodes that have been silent for longer than `forgetMs`, among all or the given ones; returns the dropped nodes. */
	readonly dropSilent: (now: number, some?: Iterable<Peer>) => readonly NodeId[];
};

/** What a report changed in the table. @internal */
export type PeerChange = 'none' | 'joined' | 'restarted' | 'returned' | 'changed'
	/** Only the version of the node's configuration. */
	| 'version';

/** @internal */
export type PeerLimits = {
	/** Milliseconds after which a node that is not heard counts as silent and is not chosen; longer for a node that sends heartbeats less often. */
	readonly silenceMs: number;
	/** Milliseconds within which a node has to answer a probe. */
	readonly probeMs: number;
	/** Returns the milliseconds between a node's heartbeats to this node, from its report. */
	readonly getPeriodMs: (report: PeerReport) => number;
	/** Milliseconds after which a node that is not heard is forgotten. */
	readonly forgetMs: number;
	/** Backoff in milliseconds during which a node that could not be reached is not chosen; doubles with each consecutive failure. */
	readonly avoidMs: number;
};

/** The longest backoff of an unreachable node, as a multiple of `avoidMs`. */
const maximumBackoffFactor = 8;

/** The number of earlier runs remembered for each node. No node restarts more often than this while a datagram is in transit. */
const rememberedRunCount = 4;

/** The number of heartbeat periods after which a node counts as silent: two lost heartbeats, and a part of a period for the transit time. */
const silencePeriodCount = 2.6;

/**
 * Returns whether a node was heard recently and has no overdue probe.
 *
 * @param peer - The node.
 * @param limits - The time limits of silence.
 * @param now - Steady milliseconds.
 * @returns Whether the node is heard, that is, not silent.
 * @internal
 */
export function isHeard({heardAt, periodMs, probedAt}: Peer, {silenceMs, probeMs}: PeerLimits, now: number): boolean {
	return now - heardAt <= Math.max(silenceMs, periodMs * silencePeriodCount) && (probedAt === undefined || now - probedAt <= probeMs);
}

/**
 * Returns whether requests may be sent to a node: it is heard, is not avoided after a failure, and is not leaving.
 *
 * @param peer - The node.
 * @param limits - The time limits of silence.
 * @param now - Steady milliseconds.
 * @returns Whether a request may be sent to it.
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

/** Index of the nodes by the service of their server. */
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
 * Creates an empty table.
 *
 * @param domain - The failure domain of this node.
 * @param limits - The time limits of silence, and the backoff of unreachable nodes.
 * @returns The table.
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
	/** For each backend server id, the node beside its newest known lifetime. */
	const newestByServer = new Map<BackendServerId, MutablePeer>();
	/** The number of nodes in each failure domain, including this node. */
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
	 * Resolves reports of two nodes about lifetimes of the same server. Removes the server from a report of an earlier lifetime, and
	 * drops the known earlier lifetime if a report of a later one arrives. Reports of a single node are applied in their order,
	 * because the node knows whether the clock of its server went back. An earlier lifetime is also accepted while the node beside
	 * the newest one is silent or leaving.
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
		// Another node may use the address by now; its entry stays.
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
