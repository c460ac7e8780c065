/**
 * What a node tells the other nodes of itself, several times a second.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {
	toBackendServerId, toFailureDomain, toNodeId,
	type Address, type FailureDomain, type NodeId,
} from '../common/ids.js';
import {FieldError} from '../common/field-error.js';
import {
	readAddress, readAmount, readCount, readFlag, readList, readName,
} from '../common/read-input.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type StoreEra} from '../store/store-position.js';
import {decodeSuspect, encodeSuspect, type SuspectRecord} from '../quarantine/suspect-record.js';

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
	/** Requests that were in work when servers crashed, a bounded part of those that it knows of. */
	readonly suspects: readonly SuspectRecord[];
};

/** What a node can do, and does, for the others of its failure domain. @internal */
export type NodeDuties = {
	/** Megabits a second of its VM's link. */
	readonly linkMbps: number;
	/** Whether it watches the store for the others. */
	readonly isFollowing: boolean;
	/** Milliseconds since the store last answered it; `undefined` if its last call failed. */
	readonly storeSeenMs: number | undefined;
	/** How often the store has come back from a copy, as it last said; 0 if nothing is known. */
	readonly storeEra: StoreEra;
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
const unitsPerShare = 1000;

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
		Math.round(server.failureShare * unitsPerShare),
		server.lifetime.startedAt,
	];
}

/** Stands for a store whose last call failed. */
const storeUnreachableMark = -1;

function encodeDuties({linkMbps, isFollowing, storeSeenMs, storeEra}: NodeDuties): readonly number[] {
	return [Math.round(linkMbps), isFollowing ? 1 : 0, storeSeenMs === undefined ? storeUnreachableMark : Math.round(storeSeenMs), storeEra];
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
		report.suspects.map(suspect => encodeSuspect(suspect)),
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
		running: running as number, waiting: waiting as number, serviceMs: serviceMs as number, failureShare: (failures as number) / unitsPerShare,
	};
}

/** The longest time that a node may name, and the fastest link: more is no measurement. Milliseconds, megabits a second. */
const maximumAmount = Number.MAX_SAFE_INTEGER;

/** The longest time between two heartbeats that a node may name. Milliseconds: a node that is silent for as long is forgotten. */
const maximumPeriodMs = 60_000;

/** A node without a server says so by 0. What cannot be read must not make the server that is known of the node disappear. */
function readServer(value: unknown): ServerReport | undefined {
	if (value === 0) {
		return undefined;
	}

	const server = decodeServer(value);
	if (server === undefined) {
		throw new FieldError('server', value, '0 for none, or a backend server with each of its fields');
	}

	return server;
}

function readDuties(value: unknown): NodeDuties {
	const [linkMbps, isFollowing, storeSeenMs, storeEra] = readList(value, 'duties');
	return {
		linkMbps: readAmount(linkMbps, 'duties.linkMbps', maximumAmount),
		isFollowing: readFlag(isFollowing, 'duties.isFollowing'),
		storeSeenMs: storeSeenMs === storeUnreachableMark ? undefined : readAmount(storeSeenMs, 'duties.storeSeenMs', maximumAmount),
		storeEra: readCount(storeEra, 'duties.storeEra'),
	};
}

function readPeriods(value: unknown): HeartbeatPeriods {
	const [ownDomainMs, otherDomainMs] = readList(value, 'periods');
	return {
		ownDomainMs: readAmount(ownDomainMs, 'periods.ownDomainMs', maximumPeriodMs), otherDomainMs: readAmount(otherDomainMs, 'periods.otherDomainMs', maximumPeriodMs),
	};
}

function readSuspects(value: unknown): readonly SuspectRecord[] {
	return value === undefined ? [] : readList(value, 'suspects').map((suspect, index) => decodeSuspect(suspect, `suspects.${index}`));
}

function readReport(value: unknown): PeerReport {
	const [node, run, sequence, domain, gate, gossip, version, isLeaving, server, duties, periods, isProbe, suspects] = readList(value, 'report');
	return {
		node: toNodeId(readName(node, 'node')),
		run: readName(run, 'run'),
		sequence: readCount(sequence, 'sequence'),
		domain: toFailureDomain(readName(domain, 'domain')),
		gate: readAddress(gate, 'gate'),
		gossip: readAddress(gossip, 'gossip'),
		version: readCount(version, 'version'),
		isLeaving: readFlag(isLeaving, 'isLeaving'),
		server: readServer(server),
		duties: readDuties(duties),
		periods: readPeriods(periods),
		isProbe: readFlag(isProbe, 'isProbe'),
		suspects: readSuspects(suspects),
	};
}

/**
 * Decodes a datagram. Fields behind those that are known are passed over.
 *
 * @param text - Text that came over the network.
 * @returns The report; or the field that cannot be used, what was found there and what is allowed.
 * @internal
 */
export function decodeReport(text: string): Result<PeerReport, string> {
	try {
		return ok(readReport(JSON.parse(text)));
	} catch (error) {
		return err((error as Error).message);
	}
}
