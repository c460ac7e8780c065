/**
 * The arithmetic from measured slopes to the large size.
 *
 * @module
 */
import {type Slope} from './slopes.js';

/** Everything that one run of the bench measured. */
export type CapacityMeasurements = {
	readonly date: string;
	readonly slopes: readonly Slope[];
	readonly emptyProcess: {readonly heapBytes: number; readonly residentBytes: number};
	readonly addedP99Ms: number;
	/** Sizes of datagrams, in bytes. */
	readonly heartbeatBytes: number;
	readonly summaryBytes: number;
	/** Heap of the time line when it is full, in bytes. */
	readonly timelineBytes: number;
};

/** The size that decides the design. */
export type FleetSize = {
	readonly nodes: number;
	readonly items: number;
	readonly domains: number;
	readonly changesPerSecond: number;
	readonly recordChangesPerSecond: number;
	readonly callsPerSecond: number;
};

const secondsPerDay = 86_400;
const fanOut = 8;

/** Records that one restart or failure sends round: it left or died, is back, its server announced itself, it refuted. */
const recordsPerRestart = 4;

/** Bytes of the UDP and IP headers of one datagram. */
const datagramHeaderBytes = 28;

/** Steps of the failure detector. */
const detectorTicksPerSecond = 5;

/** Seconds that a watch waits before it is asked again. */
const watchTimeoutSeconds = 25;

/** The size of letter 1. */
export const largeFleetSize: FleetSize = {
	nodes: 16_000,
	items: 3200 * 3,
	domains: 36,
	changesPerSecond: 65_000 / secondsPerDay,
	recordChangesPerSecond: (4100 + 62) * recordsPerRestart / secondsPerDay,
	callsPerSecond: 6_300_000,
};

/** What a role costs for control. */
export type RoleCost = {
	readonly role: string;
	readonly bytesPerSecond: number;
	/** Processor time in microseconds a second. */
	readonly cpuMicrosecondsPerSecond: number;
	readonly memoryBytes: number;
	readonly mechanism: string;
};

/** Finds a slope by name. */
export function findSlope(measurements: CapacityMeasurements, name: string): Slope {
	const found = measurements.slopes.find(slope => slope.name === name);
	if (found === undefined) {
		throw new Error(`no slope is named ${name}`);
	}

	return found;
}

/** Below this fit a line says nothing of what lies beyond its points. */
const minimumFitQuality = 0.7;

/** Follows a line to x. Where the points show no line, the highest of them is taken. */
export function estimateAt(slope: Slope, x: number): number {
	return slope.rSquared < minimumFitQuality
		? Math.max(...slope.points.map(([, y]) => y))
		: Math.max(0, slope.intercept + (slope.slope * x));
}

/** @returns Levels below the root of a tree that holds so many nodes. */
export function countLevels(nodes: number): number {
	let levels = 0;
	for (let reached = 1, width = fanOut; reached < nodes; reached += width, width *= fanOut) {
		levels++;
	}

	return levels;
}

type UnitCosts = {
	readonly domainSize: number;
	readonly idleBytes: number;
	readonly idleMicroseconds: number;
	readonly pushBytes: number;
	readonly sendMicroseconds: number;
	readonly receiveMicroseconds: number;
	readonly recordBytes: number;
	readonly sendRecordMicroseconds: number;
	readonly receiveRecordMicroseconds: number;
	readonly applyMicroseconds: number;
	readonly mergeMicroseconds: number;
	readonly headBytes: number;
	readonly stateBytes: number;
};

function computeUnitCosts(measurements: CapacityMeasurements, size: FleetSize): UnitCosts {
	const find = (name: string): Slope => findSlope(measurements, name);
	const domainSize = size.nodes / size.domains;
	return {
		domainSize,
		// Heartbeats do not grow with the domain: each node sends one a second and answers one. UDP and IP headers are 28 bytes more on each of four.
		idleBytes: find('control bytes of idle nodes a second, together').slope + (4 * datagramHeaderBytes),
		idleMicroseconds: find('processor time of idle nodes a second, together').slope + (detectorTicksPerSecond * estimateAt(find('one step of the failure detector'), domainSize)),
		pushBytes: find('pushing one change, bytes').slope,
		sendMicroseconds: find('pushing one change, processor of the sender').slope,
		receiveMicroseconds: find('pushing one change, processor of the receiver').slope,
		recordBytes: find('pushing one record, bytes').slope,
		sendRecordMicroseconds: find('pushing one record, processor of the sender').slope,
		receiveRecordMicroseconds: find('pushing one record, processor of the receiver').slope,
		applyMicroseconds: estimateAt(find('applying one change'), size.items) + estimateAt(find('updating the routing table'), size.items),
		mergeMicroseconds: estimateAt(find('merging one record'), size.nodes),
		headBytes: find('head record that a watch answers').slope,
		stateBytes: estimateAt(find('memory of the configuration'), size.items) + estimateAt(find('memory of the directory'), size.nodes)
			+ find('heap of the processes that host the nodes').slope + measurements.timelineBytes,
	};
}

/** What each role costs at a size. */
export function computeRoleCosts(measurements: CapacityMeasurements, size: FleetSize): readonly RoleCost[] {
	const costs = computeUnitCosts(measurements, size);
	const {changesPerSecond: changes, recordChangesPerSecond: records} = size;
	const otherRelays = size.domains - 1;
	const receivedBytes = (changes * costs.pushBytes) + (records * costs.recordBytes);
	const handlingMicroseconds = (changes * (costs.applyMicroseconds + costs.receiveMicroseconds)) + (records * (costs.mergeMicroseconds + costs.receiveRecordMicroseconds));
	const leafBytes = costs.idleBytes + receivedBytes;
	const leafMicroseconds = costs.idleMicroseconds + handlingMicroseconds;
	const forwardedBytes = fanOut * receivedBytes;
	const forwardingMicroseconds = fanOut * ((changes * costs.sendMicroseconds) + (records * costs.sendRecordMicroseconds));
	const watchBytes = changes * costs.headBytes;
	const summaryBytes = fanOut * measurements.summaryBytes / 2;
	const relayBytes = (2 * otherRelays * measurements.summaryBytes / 2) + (4 * (measurements.heartbeatBytes + datagramHeaderBytes)) + (records / size.domains * otherRelays * costs.recordBytes);
	const acceptanceMicroseconds = changes * estimateAt(findSlope(measurements, 'accepting one change'), size.items);
	return [
		{
			role: 'node (leaf of the tree)',
			bytesPerSecond: leafBytes,
			cpuMicrosecondsPerSecond: leafMicroseconds,
			memoryBytes: costs.stateBytes,
			mechanism: 'heartbeats with the random check, `membership/gossip.ts`; push, `distribution/distributor.ts`',
		},
		{
			role: 'inner parent',
			bytesPerSecond: leafBytes + forwardedBytes + summaryBytes,
			cpuMicrosecondsPerSecond: leafMicroseconds + forwardingMicroseconds,
			memoryBytes: costs.stateBytes,
			mechanism: 'tree of fan-out 8, `distribution/distribution-tree.ts`; summaries, `distribution/status-collector.ts`',
		},
		{
			role: 'standby',
			bytesPerSecond: leafBytes + forwardedBytes + summaryBytes + watchBytes,
			cpuMicrosecondsPerSecond: leafMicroseconds + forwardingMicroseconds,
			memoryBytes: costs.stateBytes,
			mechanism: 'watch of the head, `distribution/relay-watch.ts`',
		},
		{
			role: 'relay',
			bytesPerSecond: leafBytes + forwardedBytes + summaryBytes + watchBytes + relayBytes,
			cpuMicrosecondsPerSecond: leafMicroseconds + forwardingMicroseconds,
			memoryBytes: costs.stateBytes,
			mechanism: 'as the standby, and summaries and records between relays, `distribution/distributor.ts`',
		},
		{
			role: 'relay that accepts every submission too',
			bytesPerSecond: leafBytes + forwardedBytes + summaryBytes + (2 * watchBytes) + relayBytes,
			cpuMicrosecondsPerSecond: leafMicroseconds + forwardingMicroseconds + acceptanceMicroseconds,
			memoryBytes: costs.stateBytes,
			mechanism: 'one compare-and-swap a batch, `distribution/accept-submissions.ts`',
		},
	];
}

/** Calls on the platform's store. */
export type StoreLoad = {
	readonly waitingWatches: number;
	readonly readsPerSecond: number;
	readonly writesPerSecond: number;
};

export function computeStoreLoad(measurements: CapacityMeasurements, size: FleetSize): StoreLoad {
	const waitingWatches = 2 * size.domains;
	const changesPerPage = 4096 / (findSlope(measurements, 'head record that a watch answers').slope / 2);
	return {
		waitingWatches,
		readsPerSecond: (waitingWatches / watchTimeoutSeconds) + (size.changesPerSecond * (waitingWatches + 1)),
		writesPerSecond: size.changesPerSecond * (1 + (1 / Math.max(1, changesPerPage))),
	};
}

/** Milliseconds until a change is in force everywhere, without a fault. */
export function computeConvergence(measurements: CapacityMeasurements, size: FleetSize): {readonly levels: number; readonly milliseconds: number} {
	const levels = countLevels(size.nodes / size.domains);
	const line = findSlope(measurements, 'time until a change is in force everywhere');
	const batchWindowMs = 50;
	return {levels, milliseconds: estimateAt(line, levels) + batchWindowMs};
}

/** What calls cost a node of an even fleet. */
export function computeCallCost(measurements: CapacityMeasurements, size: FleetSize): {readonly perNode: number; readonly microseconds: number} {
	const perNode = size.callsPerSecond / size.nodes;
	return {perNode, microseconds: perNode * findSlope(measurements, 'processor time of a node a second, calls').slope};
}

/** What a failure domain that comes back at once asks for. */
export type RejoinCost = {
	readonly joiningNodes: number;
	/** What each of them fetches: the directory and the configuration. */
	readonly stateBytes: number;
	/** Seconds until the nodes of the other domains have sent it all. */
	readonly seconds: number;
};

/** Whole states that a node sends a second at the most, as in `distribution/image-limit.ts`. */
const fullStatesPerSecond = 4;

/** Helpers are drawn at random, so some are asked more often than others and some in vain. */
const helperUtilization = 0.25;

export function computeRejoinCost(measurements: CapacityMeasurements, size: FleetSize): RejoinCost {
	const joiningNodes = size.nodes / size.domains;
	const helpers = size.nodes - joiningNodes;
	const recordBytes = findSlope(measurements, 'pushing one record, bytes').slope;
	const itemBytes = findSlope(measurements, 'memory of the configuration').slope;
	return {
		joiningNodes,
		stateBytes: (size.nodes * recordBytes) + (size.items * itemBytes),
		seconds: joiningNodes * 2 / (helpers * fullStatesPerSecond * helperUtilization),
	};
}
