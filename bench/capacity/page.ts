/**
 * Formats the tables of docs/CAPACITY.md from the measurements. A test compares
 * the page with them.
 *
 * @module
 */
import {formatMarkdown} from '../statistics.js';
import {
	computeCallCost, computeConvergence, computeRejoinCost, computeRoleCosts, computeStoreLoad, largeFleetSize,
	type CapacityMeasurements, type FleetSize, type RoleCost,
} from './model.js';

const limits = {
	bytesPerSecond: 19_000, microseconds: 11_000, memoryBytes: 32_000_000, convergenceMs: 16_000, addedMs: 1.1, reads: 2000, writes: 300,
} as const;

const tablesBegin = '<!-- tables: npm run bench -- capacity -->';
const tablesEnd = '<!-- /tables -->';

function formatMargin(value: number, limit: number): string {
	const share = value / limit;
	return share <= 1 ? `${(share * 100).toFixed(0)} %` : `**missed, ${(share * 100).toFixed(0)} %**`;
}

function formatRole({role, bytesPerSecond, cpuMicrosecondsPerSecond, memoryBytes, mechanism}: RoleCost): readonly string[] {
	return [
		role,
		`${(bytesPerSecond / 1000).toFixed(2)} KB/s (${formatMargin(bytesPerSecond, limits.bytesPerSecond)})`,
		`${(cpuMicrosecondsPerSecond / 10_000).toFixed(2)} % (${formatMargin(cpuMicrosecondsPerSecond, limits.microseconds)})`,
		`${(memoryBytes / 1e6).toFixed(1)} MB (${formatMargin(memoryBytes, limits.memoryBytes)})`,
		mechanism,
	];
}

function formatRoles(measurements: CapacityMeasurements, size: FleetSize): string {
	return formatMarkdown(
		['role', 'bytes, of 19 KB/s', 'processor, of 1.1 % of a core', 'state, of 32 MB', 'carried by'],
		computeRoleCosts(measurements, size).map(role => formatRole(role)),
	);
}

function formatProcess({heapBytes, residentBytes}: CapacityMeasurements['emptyProcess']): string {
	return `heap ${(heapBytes / 1e6).toFixed(1)} MB, resident ${(residentBytes / 1e6).toFixed(0)} MB`;
}

function formatTotals(measurements: CapacityMeasurements, size: FleetSize): string {
	const store = computeStoreLoad(measurements, size);
	const {levels, milliseconds} = computeConvergence(measurements, size);
	const calls = computeCallCost(measurements, size);
	const rejoin = computeRejoinCost(measurements, size);
	const {emptyProcess, addedP99Ms} = measurements;
	return formatMarkdown(['figure', 'value', 'limit', 'used'], [
		[`in force everywhere, no fault (${levels} levels, window 50 ms)`, `${milliseconds.toFixed(0)} ms`, '16 s', formatMargin(milliseconds, limits.convergenceMs)],
		['added to a call, 99 in 100, two nodes in one process', `${addedP99Ms.toFixed(2)} ms`, '1.1 ms', formatMargin(addedP99Ms, limits.addedMs)],
		['store: waiting watches', store.waitingWatches.toFixed(0), '–', '–'],
		['store: reads a second', store.readsPerSecond.toFixed(1), '2,000', formatMargin(store.readsPerSecond, limits.reads)],
		['store: writes a second', store.writesPerSecond.toFixed(2), 'several hundred (300 taken)', formatMargin(store.writesPerSecond, limits.writes)],
		['calls entering and served a node a second', calls.perNode.toFixed(0), '–', '–'],
		['processor for these calls, not control', `${(calls.microseconds / 10_000).toFixed(1)} % of a core`, '–', '–'],
		['a process that has loaded the library and runs nothing', formatProcess(emptyProcess), 'stated apart', '–'],
		['whole state that a node without memory fetches, at the most', `${(rejoin.stateBytes / 1e6).toFixed(1)} MB`, '–', '–'],
		[
			`a failure domain of ${rejoin.joiningNodes.toFixed(0)} comes back at once: the others send it, 4 whole states a second each`,
			`${rejoin.seconds.toFixed(2)} s`,
			'16 s',
			formatMargin(rejoin.seconds, 16),
		],
	]);
}

function formatSlopes(measurements: CapacityMeasurements): string {
	return formatMarkdown(['slope', 'points (x: y)', 'cost of one more', 'cost before the first', 'R²'], measurements.slopes.map(slope => [
		`${slope.name}, ${slope.unit}`,
		slope.points.map(([x, y]) => `${x}: ${y.toFixed(y < 100 ? 1 : 0)}`).join(', '),
		`${slope.slope.toPrecision(3)} per ${slope.per}`,
		slope.intercept.toPrecision(3),
		slope.rSquared.toFixed(3),
	]));
}

/** Ten times the nodes, services, changes and calls, in the same number of failure domains. */
const tenfoldFleetSize: FleetSize = {
	...largeFleetSize,
	nodes: largeFleetSize.nodes * 10,
	items: largeFleetSize.items * 10,
	changesPerSecond: largeFleetSize.changesPerSecond * 10,
	recordChangesPerSecond: largeFleetSize.recordChangesPerSecond * 10,
	callsPerSecond: largeFleetSize.callsPerSecond * 10,
};

function formatDatagrams({heartbeatBytes, summaryBytes, timelineBytes}: CapacityMeasurements): string {
	const datagrams = `Datagrams: a heartbeat has ${heartbeatBytes} bytes, a summary ${summaryBytes}; UDP and IP add 28.`;
	return `${datagrams} A full time line holds ${(timelineBytes / 1e6).toFixed(2)} MB.`;
}

/** Formats all tables. */
export function formatTables(measurements: CapacityMeasurements): string {
	return [
		`Measured on ${measurements.date}.`,
		'## Roles at 16,000 nodes',
		formatRoles(measurements, largeFleetSize),
		'## The whole',
		formatTotals(measurements, largeFleetSize),
		'## At ten times the size',
		formatRoles(measurements, tenfoldFleetSize),
		'## Slopes',
		formatSlopes(measurements),
		formatDatagrams(measurements),
	].join('\n\n');
}

/**
 * Replaces the tables between the markers of the page.
 *
 * @throws {Error} If the page lacks a marker.
 */
export function replaceTables(page: string, measurements: CapacityMeasurements): string {
	const from = page.indexOf(tablesBegin);
	const to = page.indexOf(tablesEnd);
	if (from === -1 || to === -1) {
		throw new Error(`the capacity page must contain the markers ${tablesBegin} and ${tablesEnd}`);
	}

	return `${page.slice(0, from + tablesBegin.length)}\n\n${formatTables(measurements)}\n\n${page.slice(to)}`;
}
