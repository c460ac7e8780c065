/**
 * Sends and takes heartbeats over UDP.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {parseAddress} from '../common/address.js';
import {readSteadyMs} from '../common/clock.js';
import {type Address, type FailureDomain, type NodeId} from '../common/ids.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {measurePeriods, planHeartbeats, type HeartbeatPlan} from './heartbeat-plan.js';
import {decodeReport, encodeReport, type PeerReport} from './peer-report.js';
import {
	acceptReport, dropSilent, forgiveSilence, isHeard, noteProbed, noteReached, noteUnreachable,
	type Peer, type PeerLimits, type PeerNews, type PeerTable,
} from './peer-table.js';

/** @internal */
export type PeerLinkSettings = PeerLimits & {
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
	/** Told of each report that was heard. */
	readonly handleReport: (report: PeerReport, news: PeerNews) => void;
};

/** @internal */
export type PeerLink = {
	readonly start: () => Promise<void>;
	readonly getTable: () => PeerTable;
	readonly list: () => readonly Peer[];
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

/**
 * Creates the link.
 *
 * @param context - Settings and what it is told.
 * @returns The link, not listening yet.
 * @internal
 */
export function createPeerLink(context: PeerLinkContext): PeerLink {
	const {settings, describeSelf, isFollowing, log, handleReport} = context;
	const socket = createSocket('udp4');
	const contacts = new Map<Address, number>();
	let table: PeerTable = new Map();
	let sequence = 0;
	let periods = 0;
	let timer: NodeJS.Timeout | undefined;
	let damaged = 0;
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
		const ownDomainNodes = [...table.values()].filter(peer => isNear(peer)).length;
		return planHeartbeats({ownDomainNodes, otherDomainNodes: table.size - ownDomainNodes, isFollowing: isFollowing()});
	};

	const encodeSelf = (isProbe = false): Uint8Array => {
		sequence++;
		return Buffer.from(encodeReport({...describeSelf(sequence), periods: measurePeriods(plan(), settings.periodMs), isProbe}));
	};

	const sendToPeers = (isChosen: (peer: Peer, place: number) => boolean): void => {
		const bytes = encodeSelf();
		for (const [place, peer] of [...table.values()].entries()) {
			if (isChosen(peer, place)) {
				send(bytes, peer.report.gossip);
			}
		}
	};

	const sendToContacts = (): void => {
		const bytes = encodeSelf();
		const known = new Set([...table.values()].map(({report}) => report.gossip));
		for (const [address, left] of contacts) {
			if (known.has(address) || left <= 0) {
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
		sendToPeers((peer, place) => {
			const every = isNear(peer) ? ownDomain : otherDomain;
			return hasTurn(place, isHeard(peer, settings, now) ? every : Math.max(every, quietPeriods));
		});
		if (periods % quietPeriods === 0) {
			sendToContacts();
		}
	};

	const dropGone = (now: number): void => {
		const {table: next, dropped} = dropSilent(table, settings, now);
		table = next;
		for (const node of dropped) {
			log.record('info', {kind: 'peer-forgotten', peer: node, silentMs: settings.forgetMs});
		}
	};

	const silent = new Set<NodeId>();

	const noteSilence = (now: number): void => {
		for (const [node, peer] of table) {
			if (!isHeard(peer, settings, now) && !silent.has(node)) {
				silent.add(node);
				log.record('warn', {kind: 'peer-lost', peer: node, heardMsAgo: Math.round(now - peer.heardAt)});
			}
		}
	};

	const tick = (): void => {
		const now = readSteadyMs();
		periods++;
		noteSilence(now);
		dropGone(now);
		sendHeartbeats(now);
	};

	const handleMessage = (bytes: Uint8Array): void => {
		const report = decodeReport(Buffer.from(bytes).toString());
		if (report === undefined) {
			damaged++;
			log.record('warn', {kind: 'heartbeat-refused', reason: 'the datagram is not a heartbeat', count: damaged});
			return;
		}

		if (report.gossip === settings.listen) {
			return;
		}

		const {table: next, news} = acceptReport(table, report, settings, readSteadyMs());
		table = next;
		if (news !== 'none') {
			silent.delete(report.node);
			// A node that only has another version is one of the many that follow a change.
			log.record(news === 'version' ? 'debug' : 'info', {
				kind: 'peer-seen', peer: report.node, news, version: report.version, isLeaving: report.isLeaving,
				server: report.server?.id, service: report.server?.service, state: report.server?.state,
			});
		}

		if (news === 'joined' || news === 'restarted' || report.isProbe) {
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
		getTable: () => table,
		list: () => [...table.values()],
		addContacts(addresses) {
			const known = new Set([...table.values()].map(({report}) => report.gossip));
			for (const address of addresses) {
				if (address !== settings.listen && !known.has(address) && !contacts.has(address)) {
					contacts.set(address, contactPeriods);
					send(encodeSelf(), address);
				}
			}
		},
		announce() {
			const now = readSteadyMs();
			sendToPeers(peer => isHeard(peer, settings, now));
		},
		announceToDomain() {
			const now = readSteadyMs();
			sendToPeers(peer => isNear(peer) && isHeard(peer, settings, now));
		},
		probe(node) {
			const peer = table.get(node);
			if (peer !== undefined) {
				table = noteProbed(table, node, readSteadyMs());
				send(encodeSelf(true), peer.report.gossip);
			}
		},
		noteUnreachable(node) {
			table = noteUnreachable(table, node, settings, readSteadyMs());
		},
		noteReached(node) {
			table = noteReached(table, node);
		},
		forgiveSilence(pausedMs) {
			table = forgiveSilence(table, pausedMs);
		},
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
