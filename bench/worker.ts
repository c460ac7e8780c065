/**
 * Worker process that hosts some nodes of a fleet: mesh nodes, or the nodes of
 * a baseline, which watch or poll the store themselves.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createBudgetedStore, createConfiguration, createHttpStore, createNode,
	type BudgetedStore, type DisposableStore, type Node, type Settings, type TimelineEvent,
} from '../src/index.js';
import {headKey} from '../src/lib/distribution/head-record.js';
import {applyHead, readHead} from '../src/lib/distribution/read-head.js';
import {type FromWorker, type ToWorker, type Usage} from './fleet.js';

type HostedNode = {
	readonly getBytes: () => number;
	readonly getStoreCalls: () => number;
	readonly isRelay: () => boolean;
	readonly stop: () => Promise<void>;
};

const hostedNodes = new Map<string, HostedNode>();
const settingsByNode = new Map<string, Settings>();
let lastCpuUsage = process.cpuUsage();
let lastCounts = {bytes: 0, storeCalls: 0};
let stoppedNodeBytes = 0;
let stoppedNodeStoreCalls = 0;

function sendToBench(message: FromWorker): void {
	process.send?.(message);
}

function sendApplied(node: string, version: number): void {
	sendToBench({type: 'applied', applied: {node, version, at: Date.now()}});
}

function countStoreCalls(store: BudgetedStore): number {
	const {reads, writes, watches} = store.getCounts();
	return reads + writes + watches;
}

async function startMeshNode(settings: Settings): Promise<HostedNode> {
	const store = createHttpStore(settings.store);
	const node: Node = createNode(settings, {
		store,
		random: Math.random,
		handleEvent(event: TimelineEvent) {
			if (event.kind === 'configuration-applied') {
				sendApplied(settings.node, event.version);
			} else if (event.kind === 'node-ready') {
				sendToBench({type: 'ready', node: settings.node});
			}
		},
	});
	const started = await node.start();
	if (started.isErr()) {
		throw new Error(JSON.stringify(started.error));
	}

	return {
		getBytes() {
			const {sent, received} = node.getStatus().controlBytes;
			return sent + received;
		},
		getStoreCalls() {
			const {reads, writes, watches} = node.getStatus().store;
			return reads + writes + watches;
		},
		isRelay: () => node.getStatus().isRelay,
		async stop() {
			await node.dispose();
			await store.dispose();
		},
	};
}

function startBaseline(settings: Settings, run: (store: BudgetedStore, inner: DisposableStore, isStopped: () => boolean) => Promise<void>): HostedNode {
	const inner = createHttpStore(settings.store);
	const store = createBudgetedStore(inner, {perSecond: 10_000, burst: 10_000});
	let isStopped = false;
	void run(store, inner, () => isStopped);
	sendToBench({type: 'ready', node: settings.node});
	return {
		// The bench counts the bytes of a baseline at the store.
		getBytes: () => 0,
		getStoreCalls: () => countStoreCalls(store),
		isRelay: () => false,
		async stop() {
			isStopped = true;
			await inner.dispose();
		},
	};
}

/** Starts a node of the baseline in which every node watches the head record in the store. */
function startWatcher(settings: Settings): HostedNode {
	return startBaseline(settings, async (store, _inner, isStopped) => {
		let configuration = createConfiguration();
		let revision = 0;
		while (!isStopped()) {
			const seen = await store.watch({key: headKey, knownRevision: revision, timeoutMs: 25_000});
			if (seen.isErr() || seen.value === undefined) {
				await sleep(seen.isErr() ? 200 : 0);
				continue;
			}

			const head = await applyHead(store, configuration, seen.value);
			if (head.isOk()) {
				({configuration, revision} = head.value);
				sendApplied(settings.node, configuration.version);
			}
		}
	});
}

/** Starts a node of the baseline in which every node polls the head record in the store. */
function startPoller(settings: Settings, pollMs: number): HostedNode {
	return startBaseline(settings, async (store, _inner, isStopped) => {
		let configuration = createConfiguration();
		await sleep(Math.random() * pollMs);
		while (!isStopped()) {
			const head = await readHead(store, configuration);
			if (head.isOk() && head.value.configuration.version > configuration.version) {
				configuration = head.value.configuration;
				sendApplied(settings.node, configuration.version);
			}

			await sleep(pollMs);
		}
	});
}

async function startHostedNode(settings: Settings, message: Extract<ToWorker, {readonly type: 'start'}>): Promise<void> {
	settingsByNode.set(settings.node, settings);
	switch (message.mode) {
		case 'mesh': {
			hostedNodes.set(settings.node, await startMeshNode(settings));
			return;
		}

		case 'watch': {
			hostedNodes.set(settings.node, startWatcher(settings));
			return;
		}

		case 'poll': {
			hostedNodes.set(settings.node, startPoller(settings, message.pollMs));
		}
	}
}

async function stopHostedNode(node: string): Promise<void> {
	const found = hostedNodes.get(node);
	if (found !== undefined) {
		stoppedNodeBytes += found.getBytes();
		stoppedNodeStoreCalls += found.getStoreCalls();
		hostedNodes.delete(node);
		await found.stop();
	}
}

function measureUsage(): Usage {
	const used = process.cpuUsage(lastCpuUsage);
	globalThis.gc?.();
	// Excludes the forced garbage collection from the next measurement.
	lastCpuUsage = process.cpuUsage();
	const bytes = stoppedNodeBytes + [...hostedNodes.values()].reduce((total, node) => total + node.getBytes(), 0);
	const storeCalls = stoppedNodeStoreCalls + [...hostedNodes.values()].reduce((total, node) => total + node.getStoreCalls(), 0);
	const usage: Usage = {
		nodes: hostedNodes.size,
		cpuMicroseconds: used.user + used.system,
		controlBytes: bytes - lastCounts.bytes,
		storeCalls: storeCalls - lastCounts.storeCalls,
		heapBytes: process.memoryUsage().heapUsed,
		residentBytes: process.memoryUsage().rss,
		relays: [...hostedNodes.values()].filter(node => node.isRelay()).length,
	};
	lastCounts = {bytes, storeCalls};
	return usage;
}

async function handleMessage(message: ToWorker): Promise<void> {
	switch (message.type) {
		case 'start': {
			for (const settings of message.settings) {
				await startHostedNode(settings, message);
			}

			return;
		}

		case 'stop': {
			await stopHostedNode(message.node);
			return;
		}

		case 'restart': {
			const settings = settingsByNode.get(message.node);
			await stopHostedNode(message.node);
			if (settings !== undefined) {
				hostedNodes.set(message.node, await startMeshNode(settings));
			}

			return;
		}

		case 'usage': {
			sendToBench({type: 'usage', usage: measureUsage()});
		}
	}
}

process.on('message', (message: ToWorker) => {
	void handleMessage(message);
});
process.on('disconnect', () => {
	process.exit(0);
});
