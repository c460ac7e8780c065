/**
 * Sends and receives heartbeats over UDP.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createSocket, type RemoteInfo, type SocketOptions} from 'node:dgram';
import {parseAddress} from '../common/address.js';
import {readNow, readSteadyMs} from '../common/clock.js';
import {type Address, type FailureDomain, type NodeId} from '../common/ids.js';
import {createTokenBucket, takeToken} from '../common/token-bucket.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type Refusal, type RefusalLog} from '../timeline/refusal-log.js';
import {computePeriods, planHeartbeats, type HeartbeatPlan} from './heartbeat-plan.js';
import {computeRoundDelay} from './heartbeat-rounds.js';
import {chooseAnnouncementTargets} from './announcement-targets.js';
import {isSilentNodeDue, listDuePositions, silentNodeRounds} from './heartbeat-rotation.js';
import {decodeReport, encodeReport, type PeerReport} from './peer-report.js';
import {
	createPeerTable, isHeard, type Peer, type PeerLimits, type PeerChange, type PeerTable,
} from './peer-table.js';

/** @internal */
export type PeerLinkSettings = PeerLimits & {
	readonly node: NodeId;
	readonly listen: Address;
	readonly domain: FailureDomain;
	/** Milliseconds between two rounds of heartbeats. */
	readonly periodMs: number;
};

/** @internal */
export type PeerLinkContext = {
	readonly settings: PeerLinkSettings;
	/** Returns the current report of this node, for all nodes or for one of them. */
	readonly describeSelf: (sequence: number, receiver?: NodeId) => Omit<PeerReport, 'periods' | 'isProbe'>;
	/** Returns whether a report contradicts what this node knows, so that its sender is told at once. */
	readonly isRefuted: (report: PeerReport) => boolean;
	/** Whether other nodes rely on this node to watch the store. */
	readonly isFollowing: () => boolean;
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	readonly random: () => number;
	/** Called with each report that is not refused, also if it changed nothing. */
	readonly handleReport: (report: PeerReport, change: PeerChange) => void;
	/** Called before each round of heartbeats, with the delay of its timer in milliseconds. */
	readonly handleRound: (lateMs: number) => void;
};

/** Read-only view of the table of the other nodes. @internal */
export type PeerTableView = Pick<PeerTable, 'size' | 'get' | 'hasGossipAddress' | 'list' | 'countDomains' | 'listOwnDomain' | 'listService' | 'findByGate'>;

/** @internal */
export type PeerLink = {
	readonly start: () => Promise<void>;
	readonly table: PeerTableView;
	/** Sends heartbeats to addresses at which other nodes may listen, until a node is known there or the attempts are used up. */
	readonly addSeedAddresses: (addresses: readonly Address[]) => void;
	/** Sends a report immediately: to all nodes if the server takes no more requests, to a bounded number if it is ready. */
	readonly announce: () => void;
	/** Sends a report immediately to the nodes of the own failure domain. */
	readonly announceToDomain: () => void;
	/** Sends a report immediately to all nodes, for changes that must not wait for the next heartbeat. */
	readonly announceToAll: () => void;
	/** Sends a report immediately to some nodes. */
	readonly announceTo: (peers: Iterable<Peer>) => void;
	/** Requests a report from a node, because requests wait for it. */
	readonly probe: (node: NodeId) => void;
	/** Returns the number of silent nodes. A node counts from the turn of the rotation that finds it silent until it is heard or forgotten. */
	readonly countSilent: () => number;
	/** Records that a node could not be reached. */
	readonly noteUnreachable: (node: NodeId) => void;
	/** Records that a node answered a request. */
	readonly noteReached: (node: NodeId) => void;
	/** Records that this node was paused for the given number of milliseconds, so that the pause does not count as silence of the other nodes. */
	readonly recordPause: (pausedMs: number) => void;
	readonly dispose: () => void;
};

/** The number of heartbeats sent to a seed address at which no node answers. One is sent every `silentNodeRounds` rounds, as to silent nodes. */
const seedAttemptCount = 60;

/** The maximum number of nodes in the table: several times the largest mesh, about ten megabytes. Only a sender that invents node names exceeds it. */
const maximumPeerCount = 4000;

/** The shortest interval between two answered probes of one node. Nodes probe every 200 milliseconds. */
const minimumProbeIntervalMs = 50;

/** Rate limit of answers to new nodes and to probes, over all nodes. If all nodes of a mesh start at the same time, it needs one answer per node, and later a few per second. */
const answerRateLimit = {perSecond: 500, burst: 2000} as const;

type Lookup = NonNullable<SocketOptions['lookup']>;

/**
 * Returns an address as it is, since all addresses are numeric. The lookup of Node.js would return it in a later iteration of the
 * event loop, which costs several times as much as sending the datagram.
 */
const resolveNumericAddress: Lookup = (host, _options, handleFound) => {
	handleFound(null, host, 4);
};

/** Why a datagram is refused. */
type HeartbeatProblem = Pick<Refusal, 'cause' | 'reason'>;

/**
 * Creates the link. It sends and receives nothing before `start`.
 *
 * @param context - Settings and callbacks.
 * @returns The link.
 * @internal
 */
export function createPeerLink(context: PeerLinkContext): PeerLink {
	const {settings, describeSelf, isRefuted, isFollowing, log, refusals, handleReport, handleRound, random} = context;
	const socket = createSocket({type: 'udp4', lookup: resolveNumericAddress});
	const seedAttemptsLeft = new Map<Address, number>();
	const table = createPeerTable(settings.domain, settings);
	let sequence = 0;
	let round = 0;
	let timer: NodeJS.Timeout | undefined;
	/** When the next round is due, in steady milliseconds. */
	let nextRoundAt = 0;
	let answers = createTokenBucket(answerRateLimit, readSteadyMs());
	/** When a probe of each node was last answered, in steady milliseconds. */
	const answeredAt = new WeakMap<Peer, number>();
	let isClosed = false;

	/** Sends a datagram and ignores errors, since datagrams may be lost in any case. */
	const sendWithoutCallback = (bytes: Uint8Array, address: Address): void => {
		if (!isClosed) {
			const {host, port} = parseAddress(address);
			socket.send(bytes, port, host);
		}
	};

	const send = (bytes: Uint8Array, address: Address): void => {
		if (isClosed) {
			return;
		}

		const {host, port} = parseAddress(address);
		socket.send(bytes, port, host, error => {
			if (error !== null && error !== undefined) {
				log.record('debug', {kind: 'heartbeat-not-sent', address, reason: error.message});
			}
		});
	};

	/** Sends a datagram to several addresses. Errors are logged for the first one only, because a network that is down fails all of them. */
	const sendToAll = (bytes: Uint8Array, addresses: readonly Address[]): void => {
		for (const [index, address] of addresses.entries()) {
			if (index === 0) {
				send(bytes, address);
			} else {
				sendWithoutCallback(bytes, address);
			}
		}
	};

	const plan = (): HeartbeatPlan => {
		const ownDomainNodes = table.listOwnDomain().length;
		return planHeartbeats({ownDomainNodes, otherDomainNodes: table.size - ownDomainNodes, isFollowing: isFollowing()});
	};

	const encodeSelf = (isProbe = false, receiver?: NodeId): Uint8Array => {
		sequence++;
		return Buffer.from(encodeReport({...describeSelf(sequence, receiver), periods: computePeriods(plan(), settings.periodMs), isProbe}));
	};

	const sendToPeers = (peers: Iterable<Peer>): void => {
		const now = readSteadyMs();
		const addresses: Address[] = [];
		for (const peer of peers) {
			if (isHeard(peer, settings, now)) {
				addresses.push(peer.report.gossip);
			}
		}

		if (addresses.length > 0) {
			sendToAll(encodeSelf(), addresses);
		}
	};

	const sendToSeeds = (): void => {
		if (seedAttemptsLeft.size === 0) {
			return;
		}

		const bytes = encodeSelf();
		for (const [address, attemptsLeft] of seedAttemptsLeft) {
			if (table.hasGossipAddress(address) || attemptsLeft <= 0) {
				seedAttemptsLeft.delete(address);
			} else {
				seedAttemptsLeft.set(address, attemptsLeft - 1);
				send(bytes, address);
			}
		}
	};

	const silentNodes = new Set<NodeId>();

	const recordSilence = ({report: {node}, heardAt}: Peer, now: number): void => {
		if (!silentNodes.has(node)) {
			silentNodes.add(node);
			log.record('warn', {kind: 'peer-lost', peer: node, heardMsAgo: Math.round(now - heardAt)});
		}
	};

	/**
	 * Sends the heartbeats of a round. Whether a node is silent is checked when its turn comes, so that the cost of a round depends
	 * on the heartbeats sent, not on the size of the mesh.
	 */
	const sendHeartbeats = (now: number): void => {
		const {ownDomain, otherDomain} = plan();
		const addresses: Address[] = [];
		const silentPeers: Peer[] = [];
		const addDuePeers = (peers: readonly Peer[], every: number): void => {
			for (const position of listDuePositions(peers.length, every, round)) {
				const peer = peers[position]!;
				const isSilent = !isHeard(peer, settings, now);
				if (isSilent) {
					silentPeers.push(peer);
				}

				if (!isSilent || isSilentNodeDue(position, every, round)) {
					addresses.push(peer.report.gossip);
				}
			}
		};

		addDuePeers(table.listOwnDomain(), ownDomain);
		addDuePeers(table.listOtherDomains(), otherDomain);
		for (const peer of silentPeers) {
			recordSilence(peer, now);
		}

		forgetSilent(silentPeers, now);
		if (addresses.length > 0) {
			sendToAll(encodeSelf(), addresses);
		}
	};

	const forgetSilent = (silentPeers: readonly Peer[], now: number): void => {
		for (const node of table.dropSilent(now, silentPeers)) {
			silentNodes.delete(node);
			log.record('info', {kind: 'peer-forgotten', peer: node, silentMs: settings.forgetMs});
		}
	};

	const scheduleRound = (): void => {
		const delayMs = computeRoundDelay(readNow(), settings.periodMs);
		nextRoundAt = readSteadyMs() + delayMs;
		timer = setTimeout(runRound, delayMs);
	};

	const runRound = (): void => {
		const now = readSteadyMs();
		handleRound(now - nextRoundAt);
		scheduleRound();
		round++;
		sendHeartbeats(now);
		if (round % silentNodeRounds === 0) {
			sendToSeeds();
		}
	};

	const refuse = ({address, port}: RemoteInfo, problem: HeartbeatProblem): void => {
		refusals.record({kind: 'heartbeat-refused', place: `${address}:${port}`, ...problem});
	};

	/** Returns why a decoded report is refused, or `undefined` if it is accepted. */
	const checkReport = (report: PeerReport): HeartbeatProblem | undefined => {
		if (report.node === settings.node) {
			return {cause: 'own-name', reason: `node: found ${report.node}, must be a name other than that of this node; node names must be unique`};
		}

		const isNew = table.get(report.node) === undefined;
		return isNew && table.size >= maximumPeerCount ? {cause: 'flood', reason: `node: found a new name, must be one of the ${maximumPeerCount} known ones: the peer table is full`} : undefined;
	};

	/** Limits the rate of answers to the probes of one node. Returns whether to answer this one. */
	const admitProbe = (node: NodeId, now: number): boolean => {
		const peer = table.get(node);
		if (peer === undefined || now - (answeredAt.get(peer) ?? Number.NEGATIVE_INFINITY) < minimumProbeIntervalMs) {
			return false;
		}

		answeredAt.set(peer, now);
		return true;
	};

	/** Returns whether this node answers a report with its own immediately. Takes a token of the rate limit if so. */
	const mayAnswer = (report: PeerReport, change: PeerChange): boolean => {
		const now = readSteadyMs();
		const isNew = change === 'joined' || change === 'restarted';
		if (!isNew && !isRefuted(report) && !(report.isProbe && admitProbe(report.node, now))) {
			return false;
		}

		const {bucket, isTaken} = takeToken(answers, answerRateLimit, now);
		answers = bucket;
		return isTaken;
	};

	const handleMessage = (bytes: Uint8Array, sender: RemoteInfo): void => {
		const decoded = decodeReport(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString());
		if (decoded.isErr()) {
			refuse(sender, {cause: 'unreadable', reason: decoded.error});
			return;
		}

		const report = decoded.value;
		if (report.gossip === settings.listen) {
			return;
		}

		const problem = checkReport(report);
		if (problem !== undefined) {
			refuse(sender, problem);
			return;
		}

		const change = table.acceptReport(report, readSteadyMs());
		if (change !== 'none') {
			silentNodes.delete(report.node);
			// A change of the configuration changes the version on every node, so these lines are logged at debug level only.
			log.record(change === 'version' ? 'debug' : 'info', {
				kind: 'peer-seen', peer: report.node, news: change, version: report.version, isLeaving: report.isLeaving,
				server: report.server?.lifetime.id, service: report.server?.service, state: report.server?.state,
			});
		}

		if (mayAnswer(report, change)) {
			// A new node knows no other nodes, a node that probes has waiting requests, and a refuted one sends requests to a server that has departed: none of them should wait for the next period.
			send(encodeSelf(false, report.node), report.gossip);
		}

		handleReport(report, change);
	};

	/** Catches unexpected errors, so that a datagram can't end the process. */
	const handleSafely = (bytes: Uint8Array, sender: RemoteInfo): void => {
		try {
			handleMessage(bytes, sender);
		} catch (error) {
			log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
		}
	};

	return {
		async start() {
			const {host, port} = parseAddress(settings.listen);
			await new Promise<void>((resolve, reject) => {
				socket.once('error', reject);
				socket.bind(port, host, resolve);
			});
			socket.removeAllListeners('error');
			socket.on('error', error => {
				log.record('error', {kind: 'gossip-failed', reason: error.message});
			});
			socket.on('message', handleSafely);
			scheduleRound();
		},
		table,
		addSeedAddresses(addresses) {
			let bytes: Uint8Array | undefined;
			for (const address of addresses) {
				if (address !== settings.listen && !table.hasGossipAddress(address) && !seedAttemptsLeft.has(address)) {
					seedAttemptsLeft.set(address, seedAttemptCount);
					bytes ??= encodeSelf();
					send(bytes, address);
				}
			}
		},
		announce() {
			const {server, isLeaving} = describeSelf(sequence);
			const isReadyForWork = server?.state === 'ready' && !isLeaving;
			sendToPeers(isReadyForWork ? chooseAnnouncementTargets(table, random) : table.list());
		},
		announceToDomain() {
			sendToPeers(table.listOwnDomain());
		},
		announceToAll() {
			sendToPeers(table.list());
		},
		announceTo: sendToPeers,
		probe(node) {
			const peer = table.get(node);
			if (peer !== undefined) {
				table.noteProbed(node, readSteadyMs());
				send(encodeSelf(true), peer.report.gossip);
			}
		},
		countSilent: () => silentNodes.size,
		noteUnreachable(node) {
			table.noteUnreachable(node, readSteadyMs());
		},
		noteReached(node) {
			table.noteReached(node, readSteadyMs());
		},
		recordPause: table.recordPause,
		dispose() {
			if (isClosed) {
				return;
			}

			isClosed = true;
			clearTimeout(timer);
			socket.close();
		},
	};
}
