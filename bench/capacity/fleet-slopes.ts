/**
 * Measures slopes on running fleets: by the rate of changes, the number of
 * nodes, the depth of the tree and the rate of calls.
 *
 * @module
 */
import {fork} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {startStoreServer} from '../../stand-ins/store/store-server.js';
import {
	startFleet, type Fleet, type FleetOptions, type FromWorker, type ToWorker, type Usage,
} from '../fleet.js';
import {createItems, createRevisedPool} from '../sample-configuration.js';
import {getPercentile} from '../statistics.js';
import {
	measureConvergence, submitItems, type SubmittedVersion,
} from '../submitter.js';
import {waitUntil} from '../../stand-ins/wait-until.js';
import {createSlope, type Slope} from './slopes.js';

const changeRatesPerSecond = [0, 2, 5, 10] as const;
const nodeCounts = [10, 20, 40, 80] as const;
const fanOuts = [20, 4, 2, 1] as const;
const measureSeconds = 8;
const settleMs = 4000;
const workerCount = 4;

type RunningFleet = {
	readonly fleet: Fleet;
	readonly submit: (revision: number) => Promise<SubmittedVersion | undefined>;
	readonly dispose: () => Promise<void>;
};

async function startRunningFleet(options: Partial<FleetOptions> & Pick<FleetOptions, 'nodes'>): Promise<RunningFleet> {
	const store = await startStoreServer('127.0.0.1', 0);
	const fleet = startFleet({
		mode: 'mesh', storeAddress: store.address, workers: workerCount, domains: 1, ...options,
	});
	await waitUntil(() => fleet.countReady() >= options.nodes, 60_000);
	const operatorAddress = fleet.settings[0]?.listen.operators ?? '';
	await submitItems(operatorAddress, createItems(100), 0);
	await sleep(settleMs);
	let version = 1;
	return {
		fleet,
		async submit(revision) {
			const sentAt = Date.now();
			const outcome = await submitItems(operatorAddress, [createRevisedPool(revision % 100, revision)], version);
			version = outcome.type === 'accepted' ? outcome.version : version;
			return outcome.type === 'accepted' ? {version, sentAt} : undefined;
		},
		async dispose() {
			await fleet.dispose();
			await store.dispose();
		},
	};
}

async function measureUsage(fleet: Fleet, run: () => Promise<void>): Promise<{readonly usage: Usage; readonly seconds: number}> {
	await fleet.getUsage();
	const startedAt = Date.now();
	await run();
	const seconds = (Date.now() - startedAt) / 1000;
	return {usage: await fleet.getUsage(), seconds};
}

async function submitAtRate(running: RunningFleet, changesPerSecond: number): Promise<void> {
	const endsAt = Date.now() + (measureSeconds * 1000);
	while (Date.now() < endsAt) {
		await sleep(changesPerSecond === 0 ? measureSeconds * 1000 : 1000 / changesPerSecond);
		if (changesPerSecond > 0) {
			await running.submit(Date.now());
		}
	}
}

/** Measures the bytes and the processor time of a node by the rate of changes. The intercept is the cost of heartbeats. */
export async function measureChangeRates(): Promise<readonly Slope[]> {
	const running = await startRunningFleet({nodes: 20});
	const bytes: Array<[number, number]> = [];
	const times: Array<[number, number]> = [];
	for (const rate of changeRatesPerSecond) {
		const {usage, seconds} = await measureUsage(running.fleet, async () => submitAtRate(running, rate));
		bytes.push([rate, usage.controlBytes / usage.nodes / seconds]);
		times.push([rate, usage.cpuMicroseconds / usage.nodes / seconds]);
	}

	await running.dispose();
	return [
		createSlope('control bytes of a node a second', 'change a second', 'bytes', bytes),
		createSlope('processor time of a node a second', 'change a second', 'microseconds', times),
	];
}

/**
 * Measures the cost of one more idle node, from the total of all nodes. The mean per node would fall with their number,
 * because more nodes share the fixed cost of their processes.
 */
export async function measureFleetSizes(): Promise<readonly Slope[]> {
	const bytes: Array<[number, number]> = [];
	const times: Array<[number, number]> = [];
	const heap: Array<[number, number]> = [];
	for (const nodes of nodeCounts) {
		const running = await startRunningFleet({nodes});
		const {usage, seconds} = await measureUsage(running.fleet, async () => {
			await sleep(measureSeconds * 1000);
		});
		bytes.push([nodes, usage.controlBytes / seconds]);
		times.push([nodes, usage.cpuMicroseconds / seconds]);
		heap.push([nodes, usage.heapBytes]);
		await running.dispose();
	}

	return [
		createSlope('control bytes of idle nodes a second, together', 'node', 'bytes', bytes),
		createSlope('processor time of idle nodes a second, together', 'node', 'microseconds', times),
		createSlope('heap of the processes that host the nodes', 'node hosted', 'bytes', heap),
	];
}

/** Returns the number of levels of a tree below its root. */
function countLevels(nodes: number, fanOut: number): number {
	let levels = 0;
	let reached = 1;
	let width = 1;
	while (reached < nodes) {
		width *= fanOut;
		reached += width;
		levels++;
	}

	return levels;
}

/** Measures what each level of the tree adds to the time until a change is in force on all nodes. */
export async function measureTreeLevels(): Promise<readonly Slope[]> {
	const nodes = 20;
	const points: Array<[number, number]> = [];
	for (const fanOut of fanOuts) {
		const running = await startRunningFleet({nodes, fanOut, batchWindowMs: 0});
		const submitted: SubmittedVersion[] = [];
		for (let revision = 1; revision <= 20; revision++) {
			const entry = await running.submit(revision);
			submitted.push(...entry === undefined ? [] : [entry]);
			await sleep(150);
		}

		await sleep(1000);
		const names = running.fleet.settings.map(settings => settings.node);
		const slowestNodeMs = submitted.map(entry => Math.max(...measureConvergence(running.fleet, names, [entry])));
		points.push([countLevels(nodes, fanOut), getPercentile(slowestNodeMs, 0.5)]);
		await running.dispose();
	}

	return [createSlope('time until a change is in force everywhere', 'level of the tree', 'milliseconds', points)];
}

/** Measures the memory of a process that has loaded the library and runs no node. */
export async function measureEmptyProcess(): Promise<{readonly heapBytes: number; readonly residentBytes: number}> {
	const worker = fork(fileURLToPath(new URL('../worker.js', import.meta.url)), {execArgv: ['--expose-gc']});
	await sleep(1500);
	const usage = await new Promise<Usage>(resolve => {
		worker.on('message', (message: FromWorker) => {
			if (message.type === 'usage') {
				resolve(message.usage);
			}
		});
		worker.send({type: 'usage'} satisfies ToWorker);
	});
	worker.kill('SIGKILL');
	return {heapBytes: usage.heapBytes, residentBytes: usage.residentBytes};
}
