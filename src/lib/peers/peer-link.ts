/**
 * Sends and takes heartbeats over UDP.
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
import {type Refusal, type Refusals} from '../timeline/refusals.js';
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
	/** Describes this node as it is now. */
	readonly describeSelf: (sequence: number) => Omit<PeerReport, 'periods' | 'isProbe'>;
	/** Whether others rely on this node to watch the store. */
	readonly isFollowing: () => boolean;
	readonly log: MeshLog;
	readonly refusals: Refusals;
	readonly random: () => number;
	/** Told of each report that was heard. */
	readonly handleReport: (report: PeerReport, news: PeerChange) => void;
	/** Told of each round of heartbeats before it is sent, and by how many milliseconds it is late. */
	readonly handleRound: (lateMs: number) => void;
};

/** What is known of the other nodes, for others to read. @internal */
export type PeerTableView = Pick<PeerTable, 'size' | 'get' | 'hasGossipAddress' | 'list' | 'countDomains' | 'listOwnDomain' | 'listService' | 'findByGate'>;

/** @internal */
export type PeerLink = {
	readonly start: () => Promise<void>;
	readonly table: PeerTableView;
	/** Adds addresses at which other nodes may listen. */
	readonly addSeedAddresses: (addresses: readonly Address[]) => void;
	/** Tells everybody at once of a server that takes no work any more; of one that does, a bounded number. */
	readonly announce: () => void;
	/** Tells the nodes of the own failure domain at once. */
	readonly announceToDomain: () => void;
	/** Tells everybody at once of what must not wait for the next heartbeat. */
	readonly announceToAll: () => void;
	/** Asks a node for a report, for requests wait for it. */
	readonly probe: (node: NodeId) => void;
	/** Nodes that have fallen silent, as far as their turns have come; one that is gone is forgotten after a while. */
	readonly countSilent: () => number;
	readonly noteUnreachable: (node: NodeId) => void;
	readonly noteReached: (node: NodeId) => void;
	/** This node stood still for so long: the others are given that time. Milliseconds. */
	readonly recordPause: (pausedMs: number) => void;
	readonly dispose: () => void;
};

/** Rounds, of those in which mere addresses get a heartbeat as silent nodes do, for which an address that never answered is tried. */
const seedAttemptCount = 60;

/** Nodes that are held at the most: several times the largest mesh, some ten megabytes. More come from whoever makes up names. */
const maximumPeerCount = 4000;

/** A node that asks again within so many milliseconds is not answered again: nodes ask every 200. */
const minimumProbeIntervalMs = 50;

/** Answers to newcomers and to those who ask, over all nodes: a mesh that starts at once makes one for each node, and later a few a second. */
const answerRateLimit = {perSecond: 500, burst: 2000} as const;

type Lookup = NonNullable<SocketOptions['lookup']>;

/**
 * Addresses are IP numbers. The runtime's own lookup yields them in a later turn all the same, which costs several times what a datagram does.
 */
const resolveNumericAddress: Lookup = (host, _options, handleFound) => {
	handleFound(null, host, 4);
};

/** What is wrong with a datagram. */
type HeartbeatProblem = Pick<Refusal, 'cause' | 'reason'>;

/**
 * Creates the link.
 *
 * @param context - Settings and what it is told.
 * @returns The link, not listening yet.
 * @internal
 */
export function createPeerLink(context: PeerLinkContext): PeerLink {
	const {settings, describeSelf, isFollowing, log, refusals, handleReport, handleRound, random} = context;
	const socket = createSocket({type: 'udp4', lookup: resolveNumericAddress});
	const seedAttemptsLeft = new Map<Address, number>();
	const table = createPeerTable(settings.domain, settings);
	let sequence = 0;
	let round = 0;
	let timer: NodeJS.Timeout | undefined;
	/** When the next round has to begin, in steady milliseconds. */
	let nextRoundAt = 0;
	let answers = createTokenBucket(answerRateLimit, readSteadyMs());
	/** When a question of each node was last answered, in steady milliseconds. */
	const answeredAt = new WeakMap<Peer, number>();
	let isClosed = false;

	/** Sends without asking what became of it: a datagram may be lost on its way just as well. */
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

	/** Sends to many. A link that is down fails all alike, so the first one tells. */
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

	const encodeSelf = (isProbe = false): Uint8Array => {
		sequence++;
		return Buffer.from(encodeReport({...describeSelf(sequence), periods: computePeriods(plan(), settings.periodMs), isProbe}));
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
	 * Sends the heartbeats of a round. A node is looked at for its silence when its turn comes, so that a round costs what it sends
	 * and not what the mesh holds.
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
		refusals.note({kind: 'heartbeat-refused', place: `${address}:${port}`, ...problem});
	};

	/** Why a report that can be read is refused. */
	const checkReport = (report: PeerReport): HeartbeatProblem | undefined => {
		if (report.node === settings.node) {
			return {cause: 'own-name', reason: `node: found ${report.node}, which is this node; give each node a name of its own`};
		}

		const isNew = table.get(report.node) === undefined;
		return isNew && table.size >= maximumPeerCount ? {cause: 'flood', reason: `node: found a new one beside ${maximumPeerCount} others, more than any mesh has`} : undefined;
	};

	/** Whether a node that asks is answered; one that asks faster than any node does is answered as often as a node would be. */
	const admitProbe = (node: NodeId, now: number): boolean => {
		const peer = table.get(node);
		if (peer === undefined || now - (answeredAt.get(peer) ?? Number.NEGATIVE_INFINITY) < minimumProbeIntervalMs) {
			return false;
		}

		answeredAt.set(peer, now);
		return true;
	};

	/** Whether a report is answered by one of this node at once. */
	const mayAnswer = ({node, isProbe}: PeerReport, news: PeerChange): boolean => {
		const now = readSteadyMs();
		const isNew = news === 'joined' || news === 'restarted';
		if (!isNew && !(isProbe && admitProbe(node, now))) {
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

		const news = table.acceptReport(report, readSteadyMs());
		if (news !== 'none') {
			silentNodes.delete(report.node);
			// A node that only has another version is one of the many that follow a change.
			log.record(news === 'version' ? 'debug' : 'info', {
				kind: 'peer-seen', peer: report.node, news, version: report.version, isLeaving: report.isLeaving,
				server: report.server?.lifetime.id, service: report.server?.service, state: report.server?.state,
			});
		}

		if (mayAnswer(report, news)) {
			// A newcomer knows nobody, and whoever asks has requests that wait: neither should have to wait for the next period.
			send(encodeSelf(), report.gossip);
		}

		handleReport(report, news);
	};

	/** What nobody foresaw in a datagram must not end the node. */
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
