/**
 * Sends and takes heartbeats over UDP.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {parseAddress} from '../common/address.js';
import {readSteadyMs} from '../common/clock.js';
import {type Address, type NodeId} from '../common/ids.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {decodeReport, encodeReport, type PeerReport} from './peer-report.js';
import {
	acceptReport, dropSilent, forgiveSilence, isHeard, noteReached, noteUnreachable,
	type Peer, type PeerLimits, type PeerNews, type PeerTable,
} from './peer-table.js';

/** @internal */
export type PeerLinkSettings = PeerLimits & {
	readonly listen: Address;
	/** Milliseconds between two heartbeats. */
	readonly periodMs: number;
};

/** @internal */
export type PeerLinkContext = {
	readonly settings: PeerLinkSettings;
	/** Describes this node as it is now. */
	readonly describeSelf: (sequence: number) => PeerReport;
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
	readonly noteUnreachable: (node: NodeId) => void;
	readonly noteReached: (node: NodeId) => void;
	/** This node stood still for so long: the others are given that time. Milliseconds. */
	readonly forgiveSilence: (pausedMs: number) => void;
	readonly dispose: () => void;
};

/** Silent nodes and mere addresses get one heartbeat in so many: most of them are gone. */
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
	const {settings, describeSelf, log, handleReport} = context;
	const socket = createSocket('udp4');
	const contacts = new Map<Address, number>();
	let table: PeerTable = new Map();
	let sequence = 0;
	let periods = 0;
	let timer: NodeJS.Timeout | undefined;
	let damaged = 0;
	let isClosed = false;

	const send = (bytes: Uint8Array, address: Address): void => {
		const {host, port} = parseAddress(address);
		socket.send(bytes, port, host, error => {
			if (error !== null && error !== undefined) {
				log.record('debug', {kind: 'heartbeat-not-sent', address, reason: error.message});
			}
		});
	};

	const encodeSelf = (): Uint8Array => {
		sequence++;
		return Buffer.from(encodeReport(describeSelf(sequence)));
	};

	const sendToAll = (isQuietTurn: boolean): void => {
		const bytes = encodeSelf();
		const now = readSteadyMs();
		const known = new Set<Address>();
		for (const peer of table.values()) {
			known.add(peer.report.gossip);
			if (isQuietTurn || isHeard(peer, settings, now)) {
				send(bytes, peer.report.gossip);
			}
		}

		for (const [address, left] of contacts) {
			if (known.has(address) || left <= 0) {
				contacts.delete(address);
			} else if (isQuietTurn) {
				contacts.set(address, left - 1);
				send(bytes, address);
			}
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
		sendToAll(periods % quietPeriods === 0);
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
			log.record('info', {
				kind: 'peer-seen', peer: report.node, news, version: report.version, isLeaving: report.isLeaving,
				server: report.server?.id, service: report.server?.service, state: report.server?.state,
			});
		}

		if (news === 'joined' || news === 'restarted') {
			// A newcomer knows nobody: it should not have to wait for the next period.
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
			sendToAll(false);
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
