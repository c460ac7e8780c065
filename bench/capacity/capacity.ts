/**
 * `npm run bench -- capacity`: measures the slopes and writes the tables of
 * docs/CAPACITY.md.
 *
 * @module
 */
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import {create, toBinary} from '@bufbuild/protobuf';
import {GossipSchema} from '../../src/lib/generated/stonemoor/v1/node_pb.js';
import {createLamportClock} from '../../src/lib/timeline/lamport-clock.js';
import {createTimeline} from '../../src/lib/timeline/timeline.js';
import {toCallId, toNodeId} from '../../src/lib/common/ids.js';
import {measureCallCosts} from './call-slopes.js';
import {
	measureChangeRates, measureEmptyProcess, measureFleetSizes, measureTreeLevels,
} from './fleet-slopes.js';
import {type CapacityMeasurements} from './model.js';
import {replaceTables} from './page.js';
import {
	measureDirectory, measureHeadRecord, measureItems, measureMembers, measureMessages, measureDigestTree, type Slope,
} from './slopes.js';

export const measurementsFile = 'docs/measurements/capacity.json';
export const pageFile = 'docs/CAPACITY.md';

const timelineCallCount = 5000;

function measureDatagramBytes(hasSummary: boolean): number {
	const laggard = {node: 'node-12345', version: 123_456, reason: ''};
	const message = create(GossipSchema, {
		eventTime: 1_234_567n,
		from: 'node-12345',
		epoch: 1_790_000_000_000n,
		sequenceNumber: 12_345,
		version: 123_456,
		digest: 'x'.repeat(12),
		directoryDigest: 'x'.repeat(12),
		kind: hasSummary
			? {
				case: 'summary', value: {
					failureDomain: 'domain-12', nodes: 445, lowestVersion: 123_456, highestVersion: 123_456, laggards: [laggard, laggard, laggard],
				},
			}
			: {case: 'ping', value: {}},
	});
	return toBinary(GossipSchema, message).length;
}

function measureTimelineBytes(): number {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const timeline = createTimeline(toNodeId('node'), createLamportClock());
	for (let index = 0; index < timelineCallCount; index++) {
		timeline.record({kind: 'configuration-applied', version: index, from: `node-${index}`});
		timeline.record({
			kind: 'call-finished', call: toCallId(`00000000-0000-0000-0000-${String(index).padStart(12, '0')}`), route: 'route', status: 200, verdict: 'ran', version: index, attempts: 1,
		});
	}

	globalThis.gc?.();
	const bytes = process.memoryUsage().heapUsed - before;
	return timeline.list().length > 0 ? bytes : 0;
}

async function measureAll(): Promise<CapacityMeasurements> {
	const slopes: Slope[] = [];
	const add = (more: readonly Slope[]): void => {
		slopes.push(...more);
		for (const slope of more) {
			process.stdout.write(`${slope.name}: ${slope.slope.toPrecision(3)} ${slope.unit} per ${slope.per}, R² ${slope.rSquared.toFixed(3)}\n`);
		}
	};

	const timelineBytes = measureTimelineBytes();
	add(measureItems());
	add(measureDigestTree());
	add(measureDirectory());
	add(measureMembers());
	add(measureHeadRecord());
	add(await measureMessages());
	add(await measureChangeRates());
	add(await measureFleetSizes());
	add(await measureTreeLevels());
	const calls = await measureCallCosts();
	add(calls.slopes);
	return {
		date: new Date().toISOString().slice(0, 10),
		slopes,
		emptyProcess: await measureEmptyProcess(),
		addedP99Ms: calls.addedP99Ms,
		heartbeatBytes: measureDatagramBytes(false),
		summaryBytes: measureDatagramBytes(true),
		timelineBytes,
	};
}

/** Takes all measurements, and writes them and the page. */
export async function runCapacity(): Promise<void> {
	const measurements = await measureAll();
	await writeFile(measurementsFile, `${JSON.stringify(measurements, undefined, '\t')}\n`);
	await renderCapacityPage();
}

/** Writes the tables of the page from the stored measurements. */
export async function renderCapacityPage(): Promise<void> {
	const measurements = JSON.parse(await readFile(measurementsFile, 'utf8')) as CapacityMeasurements;
	await writeFile(pageFile, replaceTables(await readFile(pageFile, 'utf8'), measurements));
}
