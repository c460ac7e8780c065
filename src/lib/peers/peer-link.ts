/**
 * Sends and takes heartbeats over UDP.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createSocket, type RemoteInfo} from 'node:dgram';
import {parseAddress} from '../common/address.js';
import {readSteadyMs} from '../common/clock.js';
import {type Address, type FailureDomain, type NodeId} from '../common/ids.js';
import {createTokenBucket, takeToken} from '../common/token-bucket.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type Refusal, type Refusals} from '../timeline/refusals.js';
import {measurePeriods, planHeartbeats, type HeartbeatPlan} from './heartbeat-plan.js';
import {decodeReport, encodeReport, type PeerReport} from './peer-report.js';
import {
	createPeerTable, isHeard, type Peer, type PeerLimits, type PeerNews, type PeerTable,
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
	/** Told of each report that was heard. */
	readonly handleReport: (report: PeerReport, news: PeerNews) => void;
};

/** What is known of the other nodes, for others to read. @internal */
export type PeerTableView = Pick<PeerTable, 'size' | 'get' | 'hasGossip' | 'list' | 'countDomains' | 'listOwnDomain' | 'listService' | 'findGate'>;

/** @internal */
export type PeerLink = {
	readonly start: () => Promise<void>;
	readonly table: PeerTableView;
	/** Adds addresses at which other nodes may listen. */
	readonly addContacts: (addresses: readonly Address[]) => void;
	/** Tells everybody at once, for news that cannot wait for the next period. */
	readonly announce: () => void;
	/** Tells the nodes of the own failure domain at once. */
	readonly announceToDomain: () => void;
	/** Asks a node for a report, for requests wait for it. */
	readonly probe: (node: NodeId) => void;
	readonly noteUnreachable: (node: NodeId) => void;
	readonly noteReached: (node: NodeId) => void;
	/** This node stood still for so long: the others are given that time. Milliseconds. */
	readonly forgiveSilence: (pausedMs: number) => void;
	readonly dispose: () => void;
};

/** Silent nodes and mere addresses get a heartbeat once in so many periods: most of them are gone. */
const quietPeriods = 4;

/** Periods for which an address that never answered is tried. */
const contactPeriods = 60;

/** Nodes that are held at the most: several times the largest mesh, some ten megabytes. More come from whoever makes up names. */
const mostPeers = 4000;

/** A node that asks again within so many milliseconds is not answered again: nodes ask every 200. */
const leastProbeMs = 50;

/** Answers to newcomers and to those who ask, over all nodes: a mesh that starts at once makes one for each node, and later a few a second. */
const answerLimits = {perSecond: 500, burst: 2000} as const;

/**
 * Creates the link.
 *
 * @param context - Settings and what it is told.
 * @returns The link, not listening yet.
 * @internal
 */
export function createPeerLink(context: PeerLinkContext): PeerLink {
	const {settings, describeSelf, isFollowing, log, refusals, handleReport} = context;
	const socket = createSocket('udp4');
	const contacts = new Map<Address, number>();
	const table = createPeerTable(settings.domain, settings);
	let sequence = 0;
	let periods = 0;
	let timer: NodeJS.Timeout | undefined;
	let answers = createTokenBucket(answerLimits, readSteadyMs());
	/** When a question of each node was last answered, in steady milliseconds. */
	const answeredAt = new WeakMap<Peer, number>();
	let isClosed = false;

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

	const isNear = ({report}: Peer): boolean => report.domain === settings.domain;

	const plan = (): HeartbeatPlan => {
		const ownDomainNodes = table.listOwnDomain().length;
		return planHeartbeats({ownDomainNodes, otherDomainNodes: table.size - ownDomainNodes, isFollowing: isFollowing()});
	};

	const encodeSelf = (isProbe = false): Uint8Array => {
		sequence++;
		return Buffer.from(encodeReport({...describeSelf(sequence), periods: measurePeriods(plan(), settings.periodMs), isProbe}));
	};

	const sendToPeers = (peers: Iterable<Peer>, isChosen: (peer: Peer, place: number) => boolean): void => {
		const bytes = encodeSelf();
		let place = 0;
		for (const peer of peers) {
			if (isChosen(peer, place)) {
				send(bytes, peer.report.gossip);
			}

			place++;
		}
	};

	const sendToContacts = (): void => {
		if (contacts.size === 0) {
			return;
		}

		const bytes = encodeSelf();
		for (const [address, left] of contacts) {
			if (table.hasGossip(address) || left <= 0) {
				contacts.delete(address);
			} else {
				contacts.set(address, left - 1);
				send(bytes, address);
			}
		}
	};

	/** Nodes take turns by their place in the table, so that each period sends about as many. */
	const sendHeartbeats = (now: number): void => {
		const {ownDomain, otherDomain} = plan();
		const hasTurn = (place: number, every: number): boolean => (place + periods) % every === 0;
		sendToPeers(table.list(), (peer, place) => {
			const every = isNear(peer) ? ownDomain : otherDomain;
			return hasTurn(place, isHeard(peer, settings, now) ? every : Math.max(every, quietPeriods));
		});
		if (periods % quietPeriods === 0) {
			sendToContacts();
		}
	};

	const dropGone = (now: number): void => {
		for (const node of table.dropSilent(now)) {
			silent.delete(node);
			log.record('info', {kind: 'peer-forgotten', peer: node, silentMs: settings.forgetMs});
		}
	};

	const silent = new Set<NodeId>();

	const noteSilence = (now: number): void => {
		for (const peer of table.list()) {
			const {node} = peer.report;
			if (!isHeard(peer, settings, now) && !silent.has(node)) {
				silent.add(node);
				log.record('warn', {kind: 'peer-lost', peer: node, heardMsAgo: Math.round(now - peer.heardAt)});
			}
		}
	};

	const tick = (): void => {
		const now = readSteadyMs();
		periods++;
		if (periods % quietPeriods === 0) {
			noteSilence(now);
			dropGone(now);
		}

		sendHeartbeats(now);
	};

	/** Why a report that can be read is refused. */
	const checkReport = (report: PeerReport): Pick<Refusal, 'cause' | 'reason'> | undefined => {
		if (report.node === settings.node) {
			return {cause: 'own-name', reason: `node: found ${report.node}, which is this node; give each node a name of its own`};
		}

		const isNew = table.get(report.node) === undefined;
		return isNew && table.size >= mostPeers ? {cause: 'flood', reason: `node: found a new one beside ${mostPeers} others, more than any mesh has`} : undefined;
	};

	/** Whether a node that asks is answered; one that asks faster than any node does is answered as often as a node would be. */
	const takeProbe = (node: NodeId, now: number): boolean => {
		const peer = table.get(node);
		if (peer === undefined || now - (answeredAt.get(peer) ?? Number.NEGATIVE_INFINITY) < leastProbeMs) {
			return false;
		}

		answeredAt.set(peer, now);
		return true;
	};

	/** Whether a report is answered by one of this node at once. */
	const mayAnswer = ({node, isProbe}: PeerReport, news: PeerNews): boolean => {
		const now = readSteadyMs();
		const isNew = news === 'joined' || news === 'restarted';
		if (!isNew && !(isProbe && takeProbe(node, now))) {
			return false;
		}

		const {bucket, isTaken} = takeToken(answers, answerLimits, now);
		answers = bucket;
		return isTaken;
	};

	const handleMessage = (bytes: Uint8Array, sender: RemoteInfo): void => {
		const decoded = decodeReport(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString());
		const place = `${sender.address}:${sender.port}`;
		if (decoded.isErr()) {
			refusals.note({
				kind: 'heartbeat-refused', cause: 'unreadable', place, reason: decoded.error,
			});
			return;
		}

		const report = decoded.value;
		if (report.gossip === settings.listen) {
			return;
		}

		const problem = checkReport(report);
		if (problem !== undefined) {
			refusals.note({kind: 'heartbeat-refused', place, ...problem});
			return;
		}

		const news = table.acceptReport(report, readSteadyMs());
		if (news !== 'none') {
			silent.delete(report.node);
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
			socket.on('message', handleMessage);
			timer = setInterval(tick, settings.periodMs);
		},
		table,
		addContacts(addresses) {
			let bytes: Uint8Array | undefined;
			for (const address of addresses) {
				if (address !== settings.listen && !table.hasGossip(address) && !contacts.has(address)) {
					contacts.set(address, contactPeriods);
					bytes ??= encodeSelf();
					send(bytes, address);
				}
			}
		},
		announce() {
			const now = readSteadyMs();
			sendToPeers(table.list(), peer => isHeard(peer, settings, now));
		},
		announceToDomain() {
			const now = readSteadyMs();
			sendToPeers(table.listOwnDomain(), peer => isHeard(peer, settings, now));
		},
		probe(node) {
			const peer = table.get(node);
			if (peer !== undefined) {
				table.noteProbed(node, readSteadyMs());
				send(encodeSelf(true), peer.report.gossip);
			}
		},
		noteUnreachable(node) {
			table.noteUnreachable(node, readSteadyMs());
		},
		noteReached(node) {
			table.noteReached(node, readSteadyMs());
		},
		forgiveSilence: table.forgiveSilence,
		dispose() {
			if (isClosed) {
				return;
			}

			isClosed = true;
			clearInterval(timer);
			socket.close();
		},
	};
}
