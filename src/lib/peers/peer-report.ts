/**
 * The report that a node sends to the other nodes in each heartbeat, and its
 * encoding.
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
import {decodeDeparture, encodeDeparture, type Departure} from '../departures/departure.js';
import {isSlowness} from '../decisions/slowness.js';
import {type StoreEra} from '../store/store-position.js';
import {decodePriorityLoad, encodePriorityLoad, type PriorityLoad} from '../decisions/priority-admission.js';
import {decodeTally, encodeTally, type OutcomeTally} from '../rollout/outcome-tally.js';
import {decodeRecord, encodeRecord, type RolloutRecord} from '../rollout/rollout-record.js';
import {decodeSuspect, encodeSuspect, type SuspectRecord} from '../quarantine/suspect-record.js';

/** Whether a backend server takes requests. @internal */
export type ServerState = 'ready' | 'draining' | 'down';

/** The state of a backend server, reported by the node beside it. @internal */
export type ServerReport = PriorityLoad & {
	readonly lifetime: ServerLifetime;
	readonly service: string;
	readonly slots: number;
	readonly state: ServerState;
	/** How long the server stays slow after its start, in milliseconds. */
	readonly coldMs: number;
	readonly running: number;
	readonly waiting: number;
	/** Average service time of its requests in milliseconds; 0 if unknown. */
	readonly serviceMs: number;
	/** How long work takes at the moment, as a factor of `serviceMs`; `undefined` if the server does not say. */
	readonly slowness?: number | undefined;
	/** Share of its latest requests that failed, 0 to 1. */
	readonly failureShare: number;
	/** Version of the software that the server runs; empty if its node did not report one. */
	readonly version: string;
	/** Outcomes of its requests during a rollout of its service; `undefined` otherwise. */
	readonly tally?: OutcomeTally | undefined;
};

/** The content of one heartbeat. @internal */
export type PeerReport = {
	readonly node: NodeId;
	/** Random at each start of the node, so that a restarted node is distinguished from its previous run. */
	readonly run: string;
	/** Increases within a run, so that a late datagram is recognised. */
	readonly sequence: number;
	readonly domain: FailureDomain;
	/** Address at which it accepts requests for its backend server. */
	readonly gate: Address;
	/** Address at which it receives heartbeats. */
	readonly gossip: Address;
	/** Version of its active configuration; 0 for none. */
	readonly version: number;
	/** Whether it is shutting down and accepts no more requests from other nodes. */
	readonly isLeaving: boolean;
	readonly server: ServerReport | undefined;
	readonly duties: NodeDuties;
	readonly periods: HeartbeatPeriods;
	/** Whether it requests a report in return immediately. */
	readonly isProbe: boolean;
	/** Requests that were running when servers crashed; a bounded number of the ones that the node knows. */
	readonly suspects: readonly SuspectRecord[];
	/** Rollouts that the node knows; `undefined` if it does not know whether there are any. */
	readonly rollouts?: readonly RolloutRecord[] | undefined;
	/** Recent departures of the backend server beside the sender, and those of the one beside the receiver that the sender knows. */
	readonly departures: readonly Departure[];
};

/** What a node can do, and does, for the other nodes of its failure domain. @internal */
export type NodeDuties = {
	/** Megabits per second of the network link of its VM. */
	readonly linkMbps: number;
	/** Whether it watches the store for the other nodes. */
	readonly isFollowing: boolean;
	/** Milliseconds since the store last answered it, or since it has known that it is behind; `undefined` if its last call failed. */
	readonly storeSeenMs: number | undefined;
	/** How often the store was restored from a backup, as the store last reported; 0 if unknown. */
	readonly storeEra: StoreEra;
};

/** Milliseconds between a node's heartbeats to one other node. @internal */
export type HeartbeatPeriods = {
	/** To each node of its own failure domain. */
	readonly ownDomainMs: number;
	/** To each node of another failure domain. */
	readonly otherDomainMs: number;
};

const states: readonly ServerState[] = ['ready', 'draining', 'down'];

/** Shares are encoded in thousandths, which is precise enough and short on the wire. */
const unitsPerShare = 1000;

/** A slowness is encoded in hundredths. */
const unitsPerSlowness = 100;

/** Encodes what is omitted at the end if there is none of it: the slowness, 0 if the server does not report it, and then the fields of priorities. */
function encodeOptionalLoad(server: ServerReport): readonly unknown[] {
	const priorities = encodePriorityLoad(server);
	return server.slowness === undefined && priorities.length === 0 ? [] : [Math.round((server.slowness ?? 0) * unitsPerSlowness), ...priorities];
}

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
		server.version,
		server.tally === undefined ? 0 : encodeTally(server.tally),
		...encodeOptionalLoad(server),
	];
}

/** Encodes an undefined `storeSeenMs`: the last call to the store failed. */
const storeUnreachableValue = -1;

function encodeDuties({linkMbps, isFollowing, storeSeenMs, storeEra}: NodeDuties): readonly number[] {
	return [Math.round(linkMbps), isFollowing ? 1 : 0, storeSeenMs === undefined ? storeUnreachableValue : Math.round(storeSeenMs), storeEra];
}

/**
 * Encodes a report as a JSON list without field names, which would take half of the datagram.
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
		report.rollouts === undefined ? 0 : report.rollouts.map(rollout => encodeRecord(rollout)),
		report.departures.map(departure => encodeDeparture(departure)),
	]);
}

const isText = (value: unknown): value is string => typeof value === 'string';
const isCount = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Start times are safe integers, so that lifetimes compare exactly; other numbers could be rounded in transit. */
const isTime = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Decodes the slowness of a server. A malformed one counts as absent. */
function decodeSlowness(units: unknown): Pick<ServerReport, 'slowness'> {
	const slowness = typeof units === 'number' ? units / unitsPerSlowness : undefined;
	return isSlowness(slowness) ? {slowness} : {};
}

/** Decodes the server of a report. Returns `undefined` if it is malformed. */
function decodeServer(value: unknown): ServerReport | undefined {
	if (!Array.isArray(value)) {
		return undefined;
	}

	const [id, service, slots, stateNumber, coldMs, running, waiting, serviceMs, failures, startedAt, version = '', tally = 0, slownessUnits, priorities] = value as unknown[];
	const numbers = [slots, coldMs, running, waiting, serviceMs, failures];
	const state = states[stateNumber as number];
	if (!isText(id) || id === '' || !isText(service) || state === undefined || !isText(version) || !numbers.every(number => isCount(number)) || !isTime(startedAt)) {
		return undefined;
	}

	return {
		lifetime: {id: toBackendServerId(id), startedAt}, service, slots: slots as number, state, coldMs: coldMs as number,
		running: running as number, waiting: waiting as number, serviceMs: serviceMs as number, failureShare: (failures as number) / unitsPerShare,
		version, ...decodeSlowness(slownessUnits), ...tally === 0 ? {} : {tally: decodeTally(tally, 'server.tally')}, ...decodePriorityLoad(priorities),
	};
}

/** The highest accepted number for a time in milliseconds or a link speed in megabits per second. */
const maximumAmount = Number.MAX_SAFE_INTEGER;

/** The longest accepted interval between two heartbeats: a node that is silent for this time is forgotten. */
const maximumPeriodMs = 60_000;

/** Reads the server of a report; 0 means that there is none. A malformed server refuses the whole report, so that it can't remove the known server of the node. */
function readServer(value: unknown): ServerReport | undefined {
	if (value === 0) {
		return undefined;
	}

	const server = decodeServer(value);
	if (server === undefined) {
		throw new FieldError('server', value, '0 for none, or a list of all fields of a backend server');
	}

	return server;
}

function readDuties(value: unknown): NodeDuties {
	const [linkMbps, isFollowing, storeSeenMs, storeEra] = readList(value, 'duties');
	return {
		linkMbps: readAmount(linkMbps, 'duties.linkMbps', maximumAmount),
		isFollowing: readFlag(isFollowing, 'duties.isFollowing'),
		storeSeenMs: storeSeenMs === storeUnreachableValue ? undefined : readAmount(storeSeenMs, 'duties.storeSeenMs', maximumAmount),
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

/** Reads the rollouts of a report. A node that does not know whether there are any sends 0, and a node of an earlier release nothing. */
function readRollouts(value: unknown): Pick<PeerReport, 'rollouts'> {
	return value === undefined || value === 0 ? {} : {rollouts: readList(value, 'rollouts').map((rollout, index) => decodeRecord(rollout, `rollouts.${index}`))};
}

function readDepartures(value: unknown): readonly Departure[] {
	return value === undefined ? [] : readList(value, 'departures').map((departure, index) => decodeDeparture(departure, `departures.${index}`));
}

function readReport(value: unknown): PeerReport {
	const [node, run, sequence, domain, gate, gossip, version, isLeaving, server, duties, periods, isProbe, suspects, rollouts, departures] = readList(value, 'report');
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
		...readRollouts(rollouts),
		departures: readDepartures(departures),
	};
}

/**
 * Decodes a datagram. Additional fields at the end of the list are ignored.
 *
 * @param text - The text of the datagram.
 * @returns The report; or an error text with the invalid field, the value found and the value expected.
 * @internal
 */
export function decodeReport(text: string): Result<PeerReport, string> {
	try {
		return ok(readReport(JSON.parse(text)));
	} catch (error) {
		return err((error as Error).message);
	}
}
