/**
 * Computes the cost of large fleets from the measured slopes.
 *
 * @module
 */
import {type Slope} from './slopes.js';

/** Measurements of one run of the bench. */
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

/** Size of a fleet and its rates of changes and calls. */
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

/** Directory records that a restart or failure of a node sends to all nodes: left or dead, alive again, server announced, suspicion refuted. */
const recordsPerRestart = 4;

/** Bytes of the UDP and IP headers of one datagram. */
const datagramHeaderBytes = 28;

const detectorTicksPerSecond = 5;

/** Time after which a watch of the store ends without a change and is sent again. */
const watchTimeoutSeconds = 25;

/** The fleet size that the design must support. */
export const largeFleetSize: FleetSize = {
	nodes: 16_000,
	items: 3200 * 3,
	domains: 36,
	changesPerSecond: 65_000 / secondsPerDay,
	recordChangesPerSecond: (4100 + 62) * recordsPerRestart / secondsPerDay,
	callsPerSecond: 6_300_000,
};

/** Cost of the control plane for a node in one role. */
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
		throw new Error(`the capacity measurements have no slope "${name}"`);
	}

	return found;
}

/** Minimum R² for the extrapolation of a fitted line. */
const minimumFitQuality = 0.7;

/** Estimates y at x by extrapolation of the fitted line. If the fit is poor, returns the highest measured y. */
export function estimateAt(slope: Slope, x: number): number {
	return slope.rSquared < minimumFitQuality
		? Math.max(...slope.points.map(([, y]) => y))
		: Math.max(0, slope.intercept + (slope.slope * x));
}

/** @returns The number of levels below the root of a tree with this number of nodes. */
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
		// The number of heartbeats does not depend on the size of the failure domain: each node sends one a second and answers
		// one. The measured bytes of these four datagrams exclude the UDP and IP headers.
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

/** Computes the cost of each role at a fleet size. */
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

/** Load of a fleet on the platform's store. */
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

/** Computes the milliseconds until a change is in force on all nodes, without faults. */
export function computeConvergence(measurements: CapacityMeasurements, size: FleetSize): {readonly levels: number; readonly milliseconds: number} {
	const levels = countLevels(size.nodes / size.domains);
	const line = findSlope(measurements, 'time until a change is in force everywhere');
	const batchWindowMs = 50;
	return {levels, milliseconds: estimateAt(line, levels) + batchWindowMs};
}

/** Computes the cost of calls for a node, if calls are spread evenly over the fleet. */
export function computeCallCost(measurements: CapacityMeasurements, size: FleetSize): {readonly perNode: number; readonly microseconds: number} {
	const perNode = size.callsPerSecond / size.nodes;
	return {perNode, microseconds: perNode * findSlope(measurements, 'processor time of a node a second, calls').slope};
}

/** Cost of a failure domain whose nodes all rejoin at the same time. */
export type RejoinCost = {
	readonly joiningNodes: number;
	/** Bytes of the directory and the configuration, which each joining node fetches. */
	readonly stateBytes: number;
	/** Seconds until the nodes of the other failure domains have sent them to all joining nodes. */
	readonly seconds: number;
};

/** Maximum number of full states that a node sends a second, as in `distribution/full-state-limit.ts`. */
const fullStatesPerSecond = 4;

/** Share of the helpers' capacity that is used: helpers are chosen at random, so that some get more requests than others and refuse some of them. */
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
