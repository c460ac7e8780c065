/**
 * Hosts some of a fleet's nodes in one process: of the mesh itself, or of one
 * of the baselines that a user would try first.
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

type Hosted = {
	readonly getBytes: () => number;
	readonly getStoreCalls: () => number;
	readonly isRelay: () => boolean;
	readonly stop: () => Promise<void>;
};

const hosted = new Map<string, Hosted>();
const allSettings = new Map<string, Settings>();
let cpu = process.cpuUsage();
let counted = {bytes: 0, storeCalls: 0};
let stoppedBytes = 0;
let stoppedCalls = 0;

function tell(message: FromWorker): void {
	process.send?.(message);
}

function tellApplied(node: string, version: number): void {
	tell({type: 'applied', applied: {node, version, at: Date.now()}});
}

function sumCalls(store: BudgetedStore): number {
	const {reads, writes, watches} = store.getCounts();
	return reads + writes + watches;
}

async function startMeshNode(settings: Settings): Promise<Hosted> {
	const store = createHttpStore(settings.store);
	const node: Node = createNode(settings, {
		store,
		random: Math.random,
		handleEvent(event: TimelineEvent) {
			if (event.kind === 'configuration-applied') {
				tellApplied(settings.node, event.version);
			} else if (event.kind === 'node-ready') {
				tell({type: 'ready', node: settings.node});
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

function startBaseline(settings: Settings, run: (store: BudgetedStore, inner: DisposableStore, isStopped: () => boolean) => Promise<void>): Hosted {
	const inner = createHttpStore(settings.store);
	const store = createBudgetedStore(inner, {perSecond: 10_000, burst: 10_000});
	let isStopped = false;
	void run(store, inner, () => isStopped);
	tell({type: 'ready', node: settings.node});
	return {
		// What a baseline costs in bytes is counted at the store.
		getBytes: () => 0,
		getStoreCalls: () => sumCalls(store),
		isRelay: () => false,
		async stop() {
			isStopped = true;
			await inner.dispose();
		},
	};
}

/** Baseline: every node watches the store's head. */
function startWatcher(settings: Settings): Hosted {
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
				tellApplied(settings.node, configuration.version);
			}
		}
	});
}

/** Baseline: every node polls the store's head. */
function startPoller(settings: Settings, pollMs: number): Hosted {
	return startBaseline(settings, async (store, _inner, isStopped) => {
		let configuration = createConfiguration();
		await sleep(Math.random() * pollMs);
		while (!isStopped()) {
			const head = await readHead(store, configuration);
			if (head.isOk() && head.value.configuration.version > configuration.version) {
				configuration = head.value.configuration;
				tellApplied(settings.node, configuration.version);
			}

			await sleep(pollMs);
		}
	});
}

async function startOne(settings: Settings, message: Extract<ToWorker, {readonly type: 'start'}>): Promise<void> {
	allSettings.set(settings.node, settings);
	switch (message.mode) {
		case 'mesh': {
			hosted.set(settings.node, await startMeshNode(settings));
			return;
		}

		case 'watch': {
			hosted.set(settings.node, startWatcher(settings));
			return;
		}

		case 'poll': {
			hosted.set(settings.node, startPoller(settings, message.pollMs));
		}
	}
}

async function stopOne(node: string): Promise<void> {
	const found = hosted.get(node);
	if (found !== undefined) {
		stoppedBytes += found.getBytes();
		stoppedCalls += found.getStoreCalls();
		hosted.delete(node);
		await found.stop();
	}
}

function measureUsage(): Usage {
	const used = process.cpuUsage(cpu);
	globalThis.gc?.();
	// The collection was the bench's own wish, so it counts for nobody.
	cpu = process.cpuUsage();
	const bytes = stoppedBytes + [...hosted.values()].reduce((total, node) => total + node.getBytes(), 0);
	const storeCalls = stoppedCalls + [...hosted.values()].reduce((total, node) => total + node.getStoreCalls(), 0);
	const usage: Usage = {
		nodes: hosted.size,
		cpuMicroseconds: used.user + used.system,
		controlBytes: bytes - counted.bytes,
		storeCalls: storeCalls - counted.storeCalls,
		heapBytes: process.memoryUsage().heapUsed,
		residentBytes: process.memoryUsage().rss,
		relays: [...hosted.values()].filter(node => node.isRelay()).length,
	};
	counted = {bytes, storeCalls};
	return usage;
}

async function handleMessage(message: ToWorker): Promise<void> {
	switch (message.type) {
		case 'start': {
			for (const settings of message.settings) {
				await startOne(settings, message);
			}

			return;
		}

		case 'stop': {
			await stopOne(message.node);
			return;
		}

		case 'restart': {
			const settings = allSettings.get(message.node);
			await stopOne(message.node);
			if (settings !== undefined) {
				hosted.set(message.node, await startMeshNode(settings));
			}

			return;
		}

		case 'usage': {
			tell({type: 'usage', usage: measureUsage()});
		}
	}
}

process.on('message', (message: ToWorker) => {
	void handleMessage(message);
});
process.on('disconnect', () => {
	process.exit(0);
});
