/**
 * What a node tells the other nodes of itself, several times a second.
 *
 * @module
 */
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
	type Address, type FailureDomain, type NodeId,
} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';

/** Whether a backend server takes work. @internal */
export type ServerState = 'ready' | 'draining' | 'down';

/** A backend server as the node beside it sees it. @internal */
export type ServerReport = {
	readonly lifetime: ServerLifetime;
	readonly service: string;
	readonly slots: number;
	readonly state: ServerState;
	/** Milliseconds for which it stays slow after its start. */
	readonly coldMs: number;
	readonly running: number;
	readonly waiting: number;
	/** Average milliseconds that a request takes there; 0 if nothing is known. */
	readonly serviceMs: number;
	/** Share of the latest requests that failed there, 0 to 1. */
	readonly failureShare: number;
};

/** One heartbeat. @internal */
export type PeerReport = {
	readonly node: NodeId;
	/** Drawn at random at each start, so that a restarted node is told from its earlier run. */
	readonly run: string;
	/** Grows within a run; a late datagram is recognised by it. */
	readonly sequence: number;
	readonly domain: FailureDomain;
	/** Where it takes requests for its backend server. */
	readonly gate: Address;
	/** Where it takes heartbeats. */
	readonly gossip: Address;
	/** The configuration in force there; 0 for none. */
	readonly version: number;
	/** It is shutting down and takes no more requests from other nodes. */
	readonly isLeaving: boolean;
	readonly server: ServerReport | undefined;
	readonly duties: NodeDuties;
	readonly periods: HeartbeatPeriods;
	/** It wants a report in return at once. */
	readonly isProbe: boolean;
};

/** What a node can do, and does, for the others of its failure domain. @internal */
export type NodeDuties = {
	/** Megabits a second of its VM's link. */
	readonly linkMbps: number;
	/** Whether it watches the store for the others. */
	readonly isFollowing: boolean;
	/** Milliseconds since the store last answered it; `undefined` if its last call failed. */
	readonly storeSeenMs: number | undefined;
};

/** Milliseconds between its heartbeats to one node. @internal */
export type HeartbeatPeriods = {
	/** To each node of its own failure domain. */
	readonly ownDomainMs: number;
	/** To each node of another one. */
	readonly otherDomainMs: number;
};

const states: readonly ServerState[] = ['ready', 'draining', 'down'];

/** Thousandths are enough for a share, and shorter on the wire. */
const shareUnit = 1000;

function encodeServer(server: ServerReport): readonly unknown[] {
	return [
		server.lifetime.id,
		server.service,
		server.slots,
		states.indexOf(server.state),
		Math.round(server.coldMs),
		server.running,
		server.waiting,
		Math.round(server.serviceMs),
		Math.round(server.failureShare * shareUnit),
		server.lifetime.startedAt,
	];
}

/** Stands for a store whose last call failed. */
const storeLost = -1;

function encodeDuties({linkMbps, isFollowing, storeSeenMs}: NodeDuties): readonly number[] {
	return [Math.round(linkMbps), isFollowing ? 1 : 0, storeSeenMs === undefined ? storeLost : Math.round(storeSeenMs)];
}

/**
 * Encodes a report as a JSON list: the names of its fields would be half of a datagram.
 *
 * @param report - The report.
 * @returns The text of one datagram.
 * @internal
 */
export function encodeReport(report: PeerReport): string {
	return JSON.stringify([
		report.node,
		report.run,
		report.sequence,
		report.domain,
		report.gate,
		report.gossip,
		report.version,
		report.isLeaving ? 1 : 0,
		report.server === undefined ? 0 : encodeServer(report.server),
		encodeDuties(report.duties),
		[report.periods.ownDomainMs, report.periods.otherDomainMs],
		report.isProbe ? 1 : 0,
	]);
}

const isText = (value: unknown): value is string => typeof value === 'string';
const isCount = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Whole numbers tell lifetimes apart exactly; any other would be rounded on its way. */
const isTime = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Decodes the server of a report. One that cannot be read names no server to use. */
function decodeServer(value: unknown): ServerReport | undefined {
	if (!Array.isArray(value)) {
		return undefined;
	}

	const [id, service, slots, stateNumber, coldMs, running, waiting, serviceMs, failures, startedAt] = value as unknown[];
	const numbers = [slots, coldMs, running, waiting, serviceMs, failures];
	const state = states[stateNumber as number];
	if (!isText(id) || id === '' || !isText(service) || state === undefined || !numbers.every(number => isCount(number)) || !isTime(startedAt)) {
		return undefined;
	}

	return {
		lifetime: {id: toBackendServerId(id), startedAt}, service, slots: slots as number, state, coldMs: coldMs as number,
		running: running as number, waiting: waiting as number, serviceMs: serviceMs as number, failureShare: (failures as number) / shareUnit,
	};
}

function decodeDuties(value: unknown): NodeDuties | undefined {
	const [linkMbps, isFollowing, storeSeenMs] = Array.isArray(value) ? value as unknown[] : [];
	return isCount(linkMbps) && typeof storeSeenMs === 'number'
		? {linkMbps, isFollowing: isFollowing === 1, storeSeenMs: storeSeenMs === storeLost ? undefined : Math.max(0, storeSeenMs)}
		: undefined;
}

function decodePeriods(value: unknown): HeartbeatPeriods | undefined {
	const [ownDomainMs, otherDomainMs] = Array.isArray(value) ? value as unknown[] : [];
	return isCount(ownDomainMs) && isCount(otherDomainMs) ? {ownDomainMs, otherDomainMs} : undefined;
}

/**
 * Decodes a datagram.
 *
 * @param text - Text that came over the network.
 * @returns The report, or `undefined` if the text is none.
 * @internal
 */
export function decodeReport(text: string): PeerReport | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		// Whoever calls counts it; what a stray datagram held is of no use.
		return undefined;
	}

	if (!Array.isArray(value)) {
		return undefined;
	}

	const [node, run, sequence, domain, gate, gossip, version, isLeaving, server, dutiesPart, periodsPart, isProbe] = value as unknown[];
	if (!isText(node) || !isText(run) || !isText(domain) || !isText(gate) || !isText(gossip) || !isCount(sequence) || !isCount(version)) {
		return undefined;
	}

	const duties = decodeDuties(dutiesPart);
	const periods = decodePeriods(periodsPart);
	if (duties === undefined || periods === undefined) {
		return undefined;
	}

	return {
		node: toNodeId(node), run, sequence, domain: toFailureDomain(domain), gate: toAddress(gate), gossip: toAddress(gossip), version,
		isLeaving: isLeaving === 1, server: decodeServer(server), duties, periods, isProbe: isProbe === 1,
	};
}
