/**
 * Starts a few nodes with a backend server beside each. Each node and each server
 * has its own process.
 *
 * @module
 */
import {fork, type ChildProcess} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {itemSchema, settingsSchema, type Item} from '../../src/index.js';
import {startStoreServer, type StoreServer} from '../../stand-ins/store/store-server.js';
import {submitItems} from '../submitter.js';
import {createListenAddresses} from '../../stand-ins/loopback-addresses.js';
import {type FromCallWorker, type ToCallWorker} from './call-worker.js';

export type CallWorker = {
	readonly address: string;
	readonly send: (message: ToCallWorker) => void;
	readonly fetchReport: () => Promise<Extract<FromCallWorker, {readonly type: 'report'}>>;
	readonly dispose: () => Promise<void>;
};

export type CallFleet = {
	readonly nodes: readonly CallWorker[];
	readonly servers: readonly CallWorker[];
	readonly dispose: () => Promise<void>;
};

export type CallFleetOptions = {
	readonly nodeCount: number;
	readonly slotsPerServer: number;
	readonly workMs: number;
};

async function waitForMessage<K extends FromCallWorker['type']>(child: ChildProcess, type: K): Promise<Extract<FromCallWorker, {readonly type: K}>> {
	return new Promise(resolve => {
		const handle = (message: FromCallWorker): void => {
			if (message.type === type) {
				child.off('message', handle);
				resolve(message as Extract<FromCallWorker, {readonly type: K}>);
			}
		};

		child.on('message', handle);
	});
}

/** Starts one node or one backend server in its own process. */
export async function startCallWorker(message: ToCallWorker): Promise<CallWorker> {
	const child = fork(fileURLToPath(new URL('call-worker.js', import.meta.url)));
	const started = waitForMessage(child, 'started');
	child.send(message);
	const {address} = await started;
	return {
		address,
		send(next) {
			child.send(next);
		},
		async fetchReport() {
			const reply = waitForMessage(child, 'report');
			child.send({type: 'report'} satisfies ToCallWorker);
			return reply;
		},
		async dispose() {
			await new Promise<void>(resolve => {
				child.once('exit', () => {
					resolve();
				});
				child.kill('SIGKILL');
			});
		},
	};
}

/** Creates a route, a pool and a policy for pages. */
export function createCallItems(): readonly Item[] {
	return [
		{kind: 'policy', name: 'look-ups', decision: '{"action": "forward", "timeoutMs": 1000, "attempts": 3, "isRepeatable": true}'},
		{
			kind: 'pool', name: 'pages', service: 'pages', slowStartMs: 2000,
		},
		{
			kind: 'route', name: 'pages', path: '/', pool: 'pages', policy: 'look-ups',
		},
	].map(item => itemSchema.parse(item));
}

async function startNodes(store: StoreServer, nodeCount: number): Promise<readonly CallWorker[]> {
	const nodes: CallWorker[] = [];
	for (let index = 0; index < nodeCount; index++) {
		const host = `127.4.0.${index + 1}`;
		const settings = settingsSchema.parse({
			node: `node-${index + 1}`,
			failureDomain: 'one',
			listen: createListenAddresses(host),
			store: {address: store.address},
			seeds: ['127.4.0.1:7003'],
		});
		nodes.push(await startCallWorker({type: 'node', settings}));
	}

	return nodes;
}

/** Starts the fleet and waits long enough for every node to know every server. */
export async function startCallFleet(options: CallFleetOptions): Promise<CallFleet> {
	const store = await startStoreServer('127.0.0.1', 0);
	const nodes = await startNodes(store, options.nodeCount);
	await sleep(1500);
	const servers = await Promise.all(nodes.map(async (_, index) => startCallWorker({
		type: 'server',
		settings: {
			id: `server-${index + 1}`, service: 'pages', host: '127.0.0.1', port: 0, slots: options.slotsPerServer, connections: 130, announcements: `127.4.0.${index + 1}:7006`,
		},
	})));
	for (const server of servers) {
		server.send({type: 'behave', behaviour: {workMs: options.workMs}});
	}

	await submitItems('127.4.0.1:7005', createCallItems(), 0);
	await sleep(3500);
	return {
		nodes,
		servers,
		async dispose() {
			await Promise.all([...nodes, ...servers].map(async worker => worker.dispose()));
			await store.dispose();
		},
	};
}
