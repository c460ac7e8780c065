/**
 * `npm run bench -- distribution`: measures the time until a change is in force
 * and its cost, in comparison with two baselines in which every node watches or
 * polls the store.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createHttpStore, createNode, settingsSchema} from '../src/index.js';
import {startStoreServer, type StoreServer} from '../stand-ins/store/store-server.js';
import {createListenAddresses} from '../stand-ins/loopback-addresses.js';
import {waitUntil} from '../stand-ins/wait-until.js';
import {startFleet, type Fleet, type FleetMode} from './fleet.js';
import {createItems, createRevisedPool} from './sample-configuration.js';
import {formatMarkdown, getPercentile} from './statistics.js';
import {
	measureConvergence, submitItems, type SubmittedVersion,
} from './submitter.js';

export type DistributionOptions = {
	readonly sizes: readonly number[];
	readonly seconds: number;
	readonly domains: number;
	readonly workers: number;
	readonly batchWindowMs: number;
	readonly periodMs: number;
	readonly faults: boolean;
	readonly baselines: boolean;
};

/** One row of the table. `convergenceMs` has a value for each node and submission. */
type Row = {
	readonly mode: FleetMode;
	readonly nodes: number;
	readonly phase: string;
	readonly convergenceMs: readonly number[];
	readonly bytesPerNodeSecond: number;
	readonly storeCallsPerSecond: number;
	readonly cpuPercent: number;
	readonly heapBytesPerNode: number;
};

const serviceCount = 100;
const readyTimeoutMs = 60_000;
const settleMs = 3000;
const normalChangesPerSecond = 0.75;
const burstChangesPerSecond = 20;

type DistributionBench = {
	readonly fleet: Fleet;
	readonly store: StoreServer;
	readonly acceptorAddress: string;
	readonly mode: FleetMode;
	readonly dispose: (() => Promise<void>) | undefined;
	revision: number;
	version: number;
};

type Acceptor = {readonly address: string; readonly dispose: () => Promise<void>};

/** Starts a mesh node outside the fleet that accepts the submissions for a baseline. */
async function startAcceptor(storeAddress: string): Promise<Acceptor> {
	const host = '127.2.0.1';
	const settings = settingsSchema.parse({
		node: 'acceptor',
		failureDomain: 'acceptor',
		listen: createListenAddresses(host),
		store: {address: storeAddress, callsPerSecond: 1000, burst: 1000},
	});
	const store = createHttpStore(settings.store);
	const node = createNode(settings, {store, random: Math.random});
	await node.start();
	return {
		address: settings.listen.operators,
		async dispose() {
			await node.dispose();
			await store.dispose();
		},
	};
}

async function startBench(mode: FleetMode, nodes: number, options: DistributionOptions): Promise<DistributionBench> {
	const store = await startStoreServer('127.0.0.1', 0);
	store.store.setFaults({readsPerSecond: 100_000, writesPerSecond: 100_000});
	const acceptor = mode === 'mesh' ? undefined : await startAcceptor(store.address);
	const fleet = startFleet({
		nodes, mode, storeAddress: store.address, workers: options.workers, domains: options.domains, batchWindowMs: options.batchWindowMs, periodMs: options.periodMs,
	});
	const first = fleet.settings[0];
	const isReady = await waitUntil(() => fleet.countReady() >= nodes, readyTimeoutMs);
	if (!isReady || first === undefined) {
		throw new Error(`only ${fleet.countReady()} of ${nodes} nodes became ready before the timeout`);
	}

	await sleep(settleMs);
	return {
		fleet, store, mode, acceptorAddress: acceptor?.address ?? first.listen.operators, revision: 0, version: 0, dispose: acceptor?.dispose,
	};
}

async function submitChange(bench: DistributionBench): Promise<SubmittedVersion | undefined> {
	bench.revision++;
	const sentAt = Date.now();
	const outcome = await submitItems(bench.acceptorAddress, [createRevisedPool(bench.revision % serviceCount, bench.revision)], bench.version);
	if (outcome.type !== 'accepted') {
		return undefined;
	}

	bench.version = outcome.version;
	return {version: outcome.version, sentAt};
}

async function submitAtRate(bench: DistributionBench, changesPerSecond: number, seconds: number): Promise<readonly SubmittedVersion[]> {
	const pending: Array<Promise<SubmittedVersion | undefined>> = [];
	const endsAt = Date.now() + (seconds * 1000);
	while (Date.now() < endsAt) {
		pending.push(submitChange(bench));
		await sleep(1000 / changesPerSecond);
	}

	const submitted = await Promise.all(pending);
	return submitted.flatMap(entry => entry ?? []);
}

type Phase = {
	readonly name: string;
	readonly run: (bench: DistributionBench) => Promise<readonly SubmittedVersion[]>;
	/** Lists the nodes that are expected to apply the changes; by default all nodes. */
	readonly listExpectedNodes?: (bench: DistributionBench) => readonly string[];
};

async function measurePhase(bench: DistributionBench, nodes: number, phase: Phase): Promise<Row> {
	await bench.fleet.getUsage();
	const before = bench.store.store.getCallCounts();
	const startedAt = Date.now();
	const submitted = await phase.run(bench);
	const names = phase.listExpectedNodes?.(bench) ?? bench.fleet.settings.map(settings => settings.node);
	await waitUntil(() => measureConvergence(bench.fleet, names, submitted.slice(-1)).every(ms => Number.isFinite(ms)), 20_000);
	const seconds = (Date.now() - startedAt) / 1000;
	const usage = await bench.fleet.getUsage();
	const after = bench.store.store.getCallCounts();
	const storeCalls = after.reads + after.writes + after.watches - before.reads - before.writes - before.watches;
	const storeBytes = after.bytesIn + after.bytesOut - before.bytesIn - before.bytesOut;
	const controlBytes = bench.mode === 'mesh' ? usage.controlBytes + storeBytes : storeBytes;
	return {
		mode: bench.mode,
		nodes,
		phase: phase.name,
		convergenceMs: measureConvergence(bench.fleet, names, submitted),
		bytesPerNodeSecond: controlBytes / nodes / seconds,
		storeCallsPerSecond: storeCalls / seconds,
		cpuPercent: usage.cpuMicroseconds / nodes / seconds / 10_000,
		heapBytesPerNode: usage.heapBytes / nodes,
	};
}

function createSteadyPhases(seconds: number): readonly Phase[] {
	return [
		{
			name: 'idle',
			async run() {
				await sleep(seconds * 1000);
				return [];
			},
		},
		{name: `${normalChangesPerSecond} changes/s`, run: async bench => submitAtRate(bench, normalChangesPerSecond, seconds)},
		{name: `burst of ${burstChangesPerSecond}/s`, run: async bench => submitAtRate(bench, burstChangesPerSecond, Math.min(5, seconds))},
	];
}

type NodeStatus = {readonly isRelay: boolean; readonly node: string; readonly children: readonly string[]; readonly failureDomain: string};

async function fetchStatus(operatorAddress: string): Promise<NodeStatus> {
	const reply = await fetch(`http://${operatorAddress}/v1/status`);
	return await reply.json() as NodeStatus;
}

/** Finds a relay, or an inner parent of the tree, other than the node that accepts the submissions. */
async function findNodeToStop(bench: DistributionBench, wantsRelay: boolean): Promise<string> {
	for (const settings of bench.fleet.settings.slice(1)) {
		const status = await fetchStatus(settings.listen.operators);
		if (status.isRelay === wantsRelay && (wantsRelay || status.children.length > 0)) {
			return settings.node;
		}
	}

	return bench.fleet.settings.at(-1)?.node ?? '';
}

function createStopPhase(name: string, wantsRelay: boolean): Phase {
	let stoppedNode = '';
	return {
		name,
		async run(bench) {
			stoppedNode = await findNodeToStop(bench, wantsRelay);
			bench.fleet.sendTo(stoppedNode, {type: 'stop', node: stoppedNode});
			const submitted = await submitAtRate(bench, 2, 8);
			bench.fleet.sendTo(stoppedNode, {type: 'restart', node: stoppedNode});
			return submitted;
		},
		listExpectedNodes: bench => bench.fleet.settings.map(settings => settings.node).filter(node => node !== stoppedNode),
	};
}

const storeOutagePhase: Phase = {
	name: 'store down 30 s, then back',
	async run(bench) {
		bench.store.store.setFaults({isDown: true});
		await sleep(30_000);
		bench.store.store.setFaults({isDown: false});
		const giveUpAt = Date.now() + 15_000;
		while (Date.now() < giveUpAt) {
			const submitted = await submitChange(bench);
			if (submitted !== undefined) {
				return [submitted];
			}

			await sleep(50);
		}

		return [];
	},
};

const massRestartPhase: Phase = {
	name: 'a third restarts at once',
	async run(bench) {
		const restarting = bench.fleet.settings.filter((_, index) => index % 3 === 1);
		for (const {node} of restarting) {
			bench.fleet.sendTo(node, {type: 'restart', node});
		}

		return submitAtRate(bench, 2, 8);
	},
};

const faultPhases: readonly Phase[] = [
	createStopPhase('an inner parent dies', false),
	createStopPhase('a relay dies', true),
	massRestartPhase,
	storeOutagePhase,
];

async function measureFleet(mode: FleetMode, nodes: number, options: DistributionOptions): Promise<readonly Row[]> {
	const bench = await startBench(mode, nodes, options);
	try {
		const outcome = await submitItems(bench.acceptorAddress, createItems(serviceCount), 0);
		bench.version = outcome.type === 'accepted' ? outcome.version : 0;
		await sleep(settleMs);
		const rows: Row[] = [];
		const phases = [...createSteadyPhases(options.seconds), ...mode === 'mesh' && options.faults ? faultPhases : []];
		for (const phase of phases) {
			const row = await measurePhase(bench, nodes, phase);
			process.stdout.write(`${formatRow(row).join('  ')}\n`);
			rows.push(row);
		}

		return rows;
	} finally {
		await bench.fleet.dispose();
		await bench.dispose?.();
		await bench.store.dispose();
	}
}

function formatRow(row: Row): readonly string[] {
	const {convergenceMs} = row;
	const format = (share: number): string => convergenceMs.length === 0 ? '–' : getPercentile(convergenceMs, share).toFixed(0);
	return [
		row.mode,
		String(row.nodes),
		row.phase,
		format(0.5),
		format(0.99),
		format(1),
		row.bytesPerNodeSecond.toFixed(0),
		row.storeCallsPerSecond.toFixed(1),
		row.cpuPercent.toFixed(2),
		(row.heapBytesPerNode / 1e6).toFixed(1),
	];
}

/** Runs the bench and prints one table. */
export async function runDistribution(options: DistributionOptions): Promise<void> {
	const rows: Row[] = [];
	for (const nodes of options.sizes) {
		const modes: readonly FleetMode[] = options.baselines ? ['mesh', 'watch', 'poll'] : ['mesh'];
		for (const mode of modes) {
			rows.push(...await measureFleet(mode, nodes, options));
		}
	}

	const header = ['design', 'nodes', 'phase', 'p50 ms', 'p99 ms', 'max ms', 'bytes/node/s', 'store calls/s', 'CPU %/node', 'heap MB/node'];
	process.stdout.write(`\n${formatMarkdown(header, rows.map(row => formatRow(row)))}\n`);
}
