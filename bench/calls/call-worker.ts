/**
 * Worker process that hosts one node or one backend server of the calls bench.
 *
 * @module
 */
import {tmpdir} from 'node:os';
import process from 'node:process';
import {createHttpStore, createNode, type Settings} from '../../src/index.js';
import {
	startBackendServer, type BackendBehaviour, type BackendServerSettings, type BackendServerStandIn, type RequestCounts,
} from '../../stand-ins/backend-server/backend-server.js';

/** Message from the bench to a worker. */
export type ToCallWorker =
	| {readonly type: 'node'; readonly settings: Settings}
	| {readonly type: 'server'; readonly settings: Omit<BackendServerSettings, 'bundleDirectory'>}
	| {readonly type: 'behave'; readonly behaviour: Partial<BackendBehaviour>}
	| {readonly type: 'kill'}
	| {readonly type: 'report'};

/** Message from a worker to the bench. */
export type FromCallWorker =
	| {readonly type: 'started'; readonly address: string}
	| {readonly type: 'report'; readonly cpuMicroseconds: number; readonly ledger: RequestCounts | undefined; readonly addedMicroseconds: {readonly p50: number; readonly p99: number} | undefined};

let server: BackendServerStandIn | undefined;
let getAddedMicroseconds: (() => {readonly p50: number; readonly p99: number}) | undefined;
let lastCpuUsage = process.cpuUsage();

function sendToBench(message: FromCallWorker): void {
	process.send?.(message);
}

async function startNode(settings: Settings): Promise<void> {
	const node = createNode(settings, {store: createHttpStore(settings.store), random: Math.random});
	await node.start();
	getAddedMicroseconds = () => node.getStatus().addedMicroseconds;
	sendToBench({type: 'started', address: settings.listen.callers});
}

async function handleMessage(message: ToCallWorker): Promise<void> {
	switch (message.type) {
		case 'node': {
			await startNode(message.settings);
			return;
		}

		case 'server': {
			server = await startBackendServer({...message.settings, bundleDirectory: tmpdir()});
			sendToBench({type: 'started', address: server.address});
			return;
		}

		case 'behave': {
			server?.setBehaviour(message.behaviour);
			return;
		}

		case 'kill': {
			await server?.kill();
			return;
		}

		case 'report': {
			const used = process.cpuUsage(lastCpuUsage);
			lastCpuUsage = process.cpuUsage();
			sendToBench({
				type: 'report', cpuMicroseconds: used.user + used.system, ledger: server?.getRequestCounts(), addedMicroseconds: getAddedMicroseconds?.(),
			});
		}
	}
}

process.on('message', (message: ToCallWorker) => {
	void handleMessage(message);
});
process.on('disconnect', () => {
	process.exit(0);
});
