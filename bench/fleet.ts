/**
 * Starts many nodes on one machine. The nodes are spread over a few worker
 * processes, and each has its own loopback address.
 *
 * @module
 */
import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {settingsSchema, type Settings} from '../src/index.js';
import {createListenAddresses} from '../stand-ins/loopback-addresses.js';

/** How the nodes of a fleet receive new versions: through the mesh, or by watching or polling the store. */
export type FleetMode = 'mesh' | 'watch' | 'poll';

/** A version that came into force on a node, and when, in milliseconds since the epoch. */
export type AppliedVersion = {readonly node: string; readonly version: number; readonly at: number};

/** Usage of a worker process, summed over its nodes. Processor time, bytes and store calls count from the previous `usage` message on. */
export type Usage = {
	readonly nodes: number;
	readonly cpuMicroseconds: number;
	readonly controlBytes: number;
	readonly storeCalls: number;
	readonly heapBytes: number;
	readonly residentBytes: number;
	readonly relays: number;
};

/** Message from the bench to a worker. */
export type ToWorker =
	| {readonly type: 'start'; readonly mode: FleetMode; readonly settings: readonly Settings[]; readonly pollMs: number}
	| {readonly type: 'stop'; readonly node: string}
	| {readonly type: 'restart'; readonly node: string}
	| {readonly type: 'usage'};

/** Message from a worker to the bench. */
export type FromWorker =
	| {readonly type: 'ready'; readonly node: string}
	| {readonly type: 'applied'; readonly applied: AppliedVersion}
	| {readonly type: 'usage'; readonly usage: Usage};

export type Fleet = {
	readonly settings: readonly Settings[];
	readonly getApplied: () => readonly AppliedVersion[];
	readonly countReady: () => number;
	readonly sendTo: (node: string, message: ToWorker) => void;
	readonly getUsage: () => Promise<Usage>;
	readonly dispose: () => Promise<void>;
};

export type FleetOptions = {
	readonly nodes: number;
	readonly mode: FleetMode;
	readonly storeAddress: string;
	readonly workers: number;
	readonly domains: number;
	readonly pollMs?: number;
	readonly batchWindowMs?: number;
	readonly periodMs?: number;
	readonly fanOut?: number;
};

const seedCount = 4;

function getHost(index: number): string {
	return `127.1.${Math.floor(index / 250)}.${(index % 250) + 1}`;
}

/** Creates the settings of all nodes of a fleet. */
export function createFleetSettings(options: FleetOptions): readonly Settings[] {
	const seeds = Array.from({length: Math.min(seedCount, options.nodes)}, (_, index) => createListenAddresses(getHost(index)).control);
	return Array.from({length: options.nodes}, (_, index) => {
		const host = getHost(index);
		return settingsSchema.parse({
			node: `node-${index + 1}`,
			failureDomain: `domain-${(index % options.domains) + 1}`,
			listen: createListenAddresses(host),
			store: {address: options.storeAddress},
			seeds,
			distribution: {batchWindowMs: options.batchWindowMs ?? 50, fanOut: options.fanOut ?? 8},
			membership: {periodMs: options.periodMs ?? 1000},
		});
	});
}

const emptyUsage: Usage = {
	nodes: 0, cpuMicroseconds: 0, controlBytes: 0, storeCalls: 0, heapBytes: 0, residentBytes: 0, relays: 0,
};

function addUsage(left: Usage, right: Usage): Usage {
	return {
		nodes: left.nodes + right.nodes,
		cpuMicroseconds: left.cpuMicroseconds + right.cpuMicroseconds,
		controlBytes: left.controlBytes + right.controlBytes,
		storeCalls: left.storeCalls + right.storeCalls,
		heapBytes: left.heapBytes + right.heapBytes,
		residentBytes: left.residentBytes + right.residentBytes,
		relays: left.relays + right.relays,
	};
}

/** Starts a fleet; its nodes become ready in the background. */
export function startFleet(options: FleetOptions): Fleet {
	const settings = createFleetSettings(options);
	const applied: AppliedVersion[] = [];
	const ready = new Set<string>();
	const workers = Array.from({length: options.workers}, () => fork(fileURLToPath(new URL('worker.js', import.meta.url)), {execArgv: ['--expose-gc']}));
	const usageResolvers: Array<(usage: Usage) => void> = [];
	const getWorker = (index: number): ChildProcess | undefined => workers[index % workers.length];

	for (const [index, worker] of workers.entries()) {
		worker.on('message', (message: FromWorker) => {
			if (message.type === 'applied') {
				applied.push(message.applied);
			} else if (message.type === 'ready') {
				ready.add(message.node);
			} else {
				usageResolvers.shift()?.(message.usage);
			}
		});
		worker.send({
			type: 'start', mode: options.mode, pollMs: options.pollMs ?? 1000, settings: settings.filter((_, node) => node % workers.length === index),
		} satisfies ToWorker);
	}

	return {
		settings,
		getApplied: () => applied,
		countReady: () => ready.size,
		sendTo(node, message) {
			const index = settings.findIndex(candidate => candidate.node === node);
			if (message.type === 'stop') {
				ready.delete(node);
			}

			getWorker(index)?.send(message);
		},
		async getUsage() {
			const usages = await Promise.all(workers.map(async worker => new Promise<Usage>(resolve => {
				usageResolvers.push(resolve);
				worker.send({type: 'usage'} satisfies ToWorker);
			})));
			let total = emptyUsage;
			for (const usage of usages) {
				total = addUsage(total, usage);
			}

			return total;
		},
		async dispose() {
			await Promise.all(workers.map(async worker => new Promise<void>(resolve => {
				worker.once('exit', () => {
					resolve();
				});
				worker.kill('SIGKILL');
			})));
		},
	};
}
