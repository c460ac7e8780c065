/**
 * Measures the latency that the mesh itself adds to a call. Caller, two nodes and
 * a backend server run in one process and the calls run one after another, which
 * excludes context switches between processes.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {tmpdir} from 'node:os';
import {Agent} from 'undici';
import {createNode, settingsSchema, type Node} from '../../src/index.js';
import {startBackendServer} from '../../stand-ins/backend-server/backend-server.js';
import {createMemoryStore, type MemoryStore} from '../../stand-ins/store/memory-store.js';
import {getPercentile} from '../statistics.js';
import {submitItems} from '../submitter.js';
import {createListenAddresses} from '../../stand-ins/loopback-addresses.js';
import {createCallItems} from './call-fleet.js';
import {createSender} from './load.js';

/** Latency of a call on one path. */
export type PathLatency = {
	readonly path: 'direct' | 'through the node beside the server' | 'through another node';
	readonly p50Ms: number;
	readonly p99Ms: number;
};

const warmUpCallCount = 500;
const measuredCallCount = 3000;

async function startNode(index: number, store: MemoryStore): Promise<Node> {
	const host = `127.6.0.${index}`;
	const node = createNode(settingsSchema.parse({
		node: `node-${index}`,
		failureDomain: 'one',
		listen: createListenAddresses(host),
		store: {address: '127.0.0.1:9'},
		seeds: ['127.6.0.1:7003'],
	}), {store, random: Math.random});
	await node.start();
	return node;
}

async function measurePath(path: PathLatency['path'], address: string): Promise<PathLatency> {
	const agent = new Agent({connections: 4, pipelining: 1});
	const send = createSender(agent);
	const latenciesMs: number[] = [];
	for (let call = 0; call < warmUpCallCount + measuredCallCount; call++) {
		const {latencyMs} = await send(address, `/logs/${call}`);
		if (call >= warmUpCallCount) {
			latenciesMs.push(latencyMs);
		}
	}

	await agent.destroy();
	return {path, p50Ms: getPercentile(latenciesMs, 0.5), p99Ms: getPercentile(latenciesMs, 0.99)};
}

/** Measures the three paths, one after another. */
export async function measureInProcessCalls(): Promise<readonly PathLatency[]> {
	const store = createMemoryStore();
	const nodes = [await startNode(1, store), await startNode(2, store)];
	const server = await startBackendServer({
		id: 'server-1', service: 'pages', host: '127.0.0.1', port: 0, slots: 12, connections: 130, announcements: '127.6.0.1:7006', bundleDirectory: tmpdir(),
	});
	server.setBehaviour({workMs: 0});
	await submitItems('127.6.0.1:7005', createCallItems(), 0);
	await sleep(3000);
	const rows = [
		await measurePath('direct', server.address),
		await measurePath('through the node beside the server', '127.6.0.1:7001'),
		await measurePath('through another node', '127.6.0.2:7001'),
	];
	await server.kill();
	await Promise.all(nodes.map(async node => node.dispose()));
	return rows;
}
