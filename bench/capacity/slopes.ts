/**
 * Measures how costs grow with sizes: the cost of each further item, node in the
 * directory, member or message.
 *
 * @module
 */
import process from 'node:process';
import {applyTreeChanges} from '../../src/lib/common/digest-tree.js';
import {createByteMeter} from '../../src/lib/common/byte-meter.js';
import {createSystemNetwork} from '../../src/index.js';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId, toSubmissionId,
} from '../../src/lib/common/ids.js';
import {
	applyDelta, createConfiguration, prepareDelta, type Configuration, type Delta,
} from '../../src/lib/configuration/configuration.js';
import {type ItemChange} from '../../src/lib/configuration/configured-item.js';
import {evaluateSubmission, findItemProblems} from '../../src/lib/configuration/evaluate-submission.js';
import {createDirectory, mergeRecords, type Directory} from '../../src/lib/directory/directory.js';
import {type NodeRecord} from '../../src/lib/directory/node-record.js';
import {sortMembers} from '../../src/lib/distribution/distribution-tree.js';
import {defaultHeadLimits, planHeadRecord, type HeadRecord} from '../../src/lib/distribution/head-record.js';
import {encodeDelta, encodeRecord} from '../../src/lib/distribution/wire.js';
import {createPeers, peerTimeoutMs, type PeerClient} from '../../src/lib/distribution/peers.js';
import {createDetectorState, defaultDetectorSettings, stepDetector} from '../../src/lib/membership/failure-detector.js';
import {buildRoutingTable, updateRoutingTable} from '../../src/lib/routing/routing-table.js';
import {createItems, createRevisedPool} from '../sample-configuration.js';
import {fitLine, measureMedianMicroseconds, type LinearFit} from '../statistics.js';
import {startPeerNodes, type PeerNode} from './peer-node.js';

/** A measured cost: its points and the line fitted to them. */
export type Slope = LinearFit & {
	readonly name: string;
	/** The unit of x. */
	readonly per: string;
	readonly unit: 'bytes' | 'microseconds' | 'milliseconds';
	readonly points: ReadonlyArray<readonly [number, number]>;
};

const itemCounts = [600, 2400, 4800, 9600] as const;
const directoryNodeCounts = [2000, 4000, 8000, 16_000] as const;
const memberCounts = [50, 100, 200, 444] as const;
const pushRoundCounts = [25, 50, 100, 200] as const;
const childCount = 8;
const itemsPerService = 3;

export function createSlope(name: string, per: string, unit: Slope['unit'], points: Slope['points']): Slope {
	return {
		name, per, unit, points, ...fitLine(points),
	};
}

function measureHeapBytes<T>(build: () => T): {readonly value: T; readonly bytes: number} {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const value = build();
	globalThis.gc?.();
	return {value, bytes: process.memoryUsage().heapUsed - before};
}

function createSizedConfiguration(items: number): Configuration {
	const changes = createItems(items / itemsPerService).map((item): ItemChange => ({type: 'put', item}));
	return prepareDelta(createConfiguration(), changes, []).next;
}

function createSampleDelta(configuration: Configuration, revision: number): Delta {
	return prepareDelta(configuration, [{type: 'put', item: createRevisedPool(revision % 100, revision)}], [toSubmissionId(`submission-${revision}-0123456789abcdef`)]).delta;
}

/** Measures the cost of a configuration by its number of items. */
export function measureItems(): readonly Slope[] {
	const heapPoints: Array<[number, number]> = [];
	const applyPoints: Array<[number, number]> = [];
	const acceptPoints: Array<[number, number]> = [];
	const routePoints: Array<[number, number]> = [];
	for (const size of itemCounts) {
		const {value: configuration, bytes} = measureHeapBytes(() => createSizedConfiguration(size));
		const delta = createSampleDelta(configuration, 7);
		const table = buildRoutingTable(configuration);
		const route: ItemChange = {type: 'put', item: createItems(8).at(-1)!};
		heapPoints.push([size, bytes]);
		applyPoints.push([size, measureMedianMicroseconds(400, () => applyDelta(configuration, delta))]);
		routePoints.push([size, measureMedianMicroseconds(200, () => updateRoutingTable(table, configuration, [route]))]);
		acceptPoints.push([size, measureMedianMicroseconds(200, () => {
			findItemProblems(delta.changes);
			evaluateSubmission(configuration, configuration.tree, {
				id: toSubmissionId('s'), seenVersion: 0, bases: {}, changes: delta.changes,
			});
			prepareDelta(configuration, delta.changes, []);
		})]);
	}

	return [
		createSlope('memory of the configuration', 'item', 'bytes', heapPoints),
		createSlope('applying one change', 'item held', 'microseconds', applyPoints),
		createSlope('accepting one change', 'item held', 'microseconds', acceptPoints),
		createSlope('updating the routing table', 'item held', 'microseconds', routePoints),
	];
}

export function createSampleRecord(index: number, sequence = 1): NodeRecord {
	const host = `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${index % 250}`;
	return {
		id: toNodeId(`node-${index}`),
		failureDomain: toFailureDomain(`domain-${index % 36}`),
		gateAddress: toAddress(`${host}:7002`),
		controlAddress: toAddress(`${host}:7003`),
		gossipAddress: toAddress(`${host}:7004`),
		operatorAddress: toAddress(`${host}:7005`),
		epoch: 1_790_000_000_000 + index,
		sequence,
		status: 'alive',
		servers: [{
			id: toBackendServerId(`server-${index}`),
			service: `service-${index % 3200}`,
			address: toAddress(`${host}:8080`),
			slots: 12,
			connections: 130,
			startedAt: 1_790_000_000_000,
			isDraining: false,
		}],
	};
}

function createSizedDirectory(size: number): Directory {
	return mergeRecords(createDirectory(), Array.from({length: size}, (_, index) => createSampleRecord(index))).directory;
}

/** Measures the cost of the directory by its number of nodes. */
export function measureDirectory(): readonly Slope[] {
	const heapPoints: Array<[number, number]> = [];
	const mergePoints: Array<[number, number]> = [];
	for (const size of directoryNodeCounts) {
		const {value: directory, bytes} = measureHeapBytes(() => createSizedDirectory(size));
		let sequence = 2;
		heapPoints.push([size, bytes]);
		mergePoints.push([size, measureMedianMicroseconds(300, () => {
			sequence++;
			mergeRecords(directory, [createSampleRecord(sequence % size, sequence)]);
		})]);
	}

	return [
		createSlope('memory of the directory', 'node', 'bytes', heapPoints),
		createSlope('merging one record', 'node held', 'microseconds', mergePoints),
	];
}

/** Measures the cost of a failure domain by its number of members. */
export function measureMembers(): readonly Slope[] {
	const tickPoints: Array<[number, number]> = [];
	const orderPoints: Array<[number, number]> = [];
	for (const size of memberCounts) {
		const members = Array.from({length: size}, (_, index) => toNodeId(`node-${index}`));
		let state = createDetectorState(0);
		let now = 0;
		tickPoints.push([size, measureMedianMicroseconds(1000, () => {
			now += 200;
			const step = stepDetector(state, {type: 'tick', now, members}, defaultDetectorSettings, Math.random);
			state = step.state;
			for (const effect of step.effects) {
				if (effect.type === 'ping') {
					({state} = stepDetector(state, {type: 'ack', from: effect.target, sequenceNumber: effect.sequenceNumber}, defaultDetectorSettings, Math.random));
				}
			}
		})]);
		orderPoints.push([size, measureMedianMicroseconds(200, () => sortMembers(members))]);
	}

	return [
		createSlope('one step of the failure detector', 'member', 'microseconds', tickPoints),
		createSlope('computing the tree\'s order', 'member', 'microseconds', orderPoints),
	];
}

/** Returns the processor time of all nodes since the previous call. */
async function sumCpuMicroseconds(nodes: readonly PeerNode[]): Promise<number> {
	const reports = await Promise.all(nodes.map(async node => node.fetchReport()));
	let total = 0;
	for (const {cpuMicroseconds} of reports) {
		total += cpuMicroseconds;
	}

	return total;
}

type PushKind = {readonly name: string; readonly send: (client: PeerClient, node: PeerNode) => Promise<unknown>};

async function measurePush(push: PushKind, nodes: readonly PeerNode[]): Promise<readonly Slope[]> {
	const meter = createByteMeter();
	const peers = createPeers(meter, createSystemNetwork());
	const bytePoints: Array<[number, number]> = [];
	const sendPoints: Array<[number, number]> = [];
	const receivePoints: Array<[number, number]> = [];
	const pushToAll = async (): Promise<unknown> => Promise.all(nodes.map(async node => push.send(peers.getClient(node.controlAddress), node)));
	await pushToAll();
	for (const rounds of pushRoundCounts) {
		const before = meter.getCounts();
		await sumCpuMicroseconds(nodes);
		const cpu = process.cpuUsage();
		for (let round = 0; round < rounds; round++) {
			await pushToAll();
		}

		const used = process.cpuUsage(cpu);
		const after = meter.getCounts();
		const messages = rounds * nodes.length;
		bytePoints.push([messages, after.sent + after.received - before.sent - before.received]);
		sendPoints.push([messages, used.user + used.system]);
		receivePoints.push([messages, await sumCpuMicroseconds(nodes)]);
	}

	peers.dispose();
	return [
		createSlope(`${push.name}, bytes`, 'message', 'bytes', bytePoints),
		createSlope(`${push.name}, processor of the sender`, 'message', 'microseconds', sendPoints),
		createSlope(`${push.name}, processor of the receiver`, 'message', 'microseconds', receivePoints),
	];
}

/** Measures the bytes of a message and the processor time of its sender and receiver, when a parent pushes to its children. */
export async function measureMessages(): Promise<readonly Slope[]> {
	const nodes = await startPeerNodes(childCount);
	const delta = encodeDelta(createSampleDelta(createSizedConfiguration(600), 3));
	const record = encodeRecord(createSampleRecord(3));
	const slopes = [
		...await measurePush({
			name: 'pushing one change',
			send: async (client, {controlAddress}) => client.pushDeltas({
				from: 'bench', deltas: [delta], version: 0, controlAddress,
			}, {timeoutMs: peerTimeoutMs}),
		}, nodes),
		...await measurePush({
			name: 'pushing one record',
			send: async client => client.pushRecords({from: 'bench', records: [record]}, {timeoutMs: peerTimeoutMs}),
		}, nodes),
	];
	await Promise.all(nodes.map(async node => node.dispose()));
	return slopes;
}

/** Measures the mean size of the head record, which every relay receives with every change. */
export function measureHeadRecord(): readonly Slope[] {
	let configuration = createSizedConfiguration(600);
	let record: HeadRecord | undefined;
	let total = 0;
	const points: Array<[number, number]> = [];
	for (let revision = 1; revision <= 400; revision++) {
		const {delta, next} = prepareDelta(configuration, [{type: 'put', item: createRevisedPool(revision % 100, revision)}], [toSubmissionId(`submission-${revision}-0123456789abcdef`)]);
		record = planHeadRecord(record, delta, defaultHeadLimits).record;
		configuration = next;
		total += JSON.stringify(record).length;
		if (revision % 100 === 0) {
			points.push([revision, total]);
		}
	}

	return [createSlope('head record that a watch answers', 'change', 'bytes', points)];
}

/** Measures the change of one entry in a digest tree of 256 buckets: the part of a change that does not depend on the kind of item. */
export function measureDigestTree(): readonly Slope[] {
	const points = itemCounts.map((size): [number, number] => {
		const {tree} = createSizedConfiguration(size);
		let round = 0;
		return [size, measureMedianMicroseconds(400, () => {
			round++;
			applyTreeChanges(tree, [{key: `pool/service-${round % 100}`, entry: undefined}]);
		})];
	});
	return [createSlope('changing one entry of the digest tree', 'item held', 'microseconds', points)];
}
