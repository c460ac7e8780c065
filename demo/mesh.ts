/**
 * The demo's mesh: settings, nodes and backend servers as processes.
 *
 * @module
 */
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {stringify} from 'yaml';
import {request as sendRequest} from 'undici';
import {createListenAddresses} from '../stand-ins/loopback-addresses.js';
import {waitUntil} from '../stand-ins/wait-until.js';
import {
	findFreePorts, startProcess, type RunningProcess,
} from './processes.js';

export type MeshNode = {
	readonly id: string;
	readonly domain: string;
	readonly callers: string;
	readonly operators: string;
	readonly announcements: string;
	readonly settingsFile: string;
	readonly service: string;
	readonly serverId: string;
	readonly serverAddress: string;
};

export type Mesh = {
	readonly directory: string;
	readonly storeAddress: string;
	readonly nodes: readonly MeshNode[];
};

const domains = ['north-a', 'north-b', 'north-c'] as const;
const services = ['logview', 'releasehall', 'depstore'] as const;
const host = '127.0.0.1';
const nodeCount = 6;

/** Writes the settings of six nodes in three failure domains, with two backend servers for each of three services. */
export async function prepareMesh(): Promise<Mesh> {
	const directory = await mkdtemp(join(tmpdir(), 'stonemoor-demo-'));
	const [storePort = 0, ...serverPorts] = await findFreePorts(nodeCount + 1);
	const storeAddress = `${host}:${storePort}`;
	// Each node has a loopback IP address of its own. On a shared address, a concurrent test could bind a port between the check that it is free and its use, and a port that is free for TCP may be in use for UDP.
	const listens = Array.from({length: nodeCount}, (_, index) => createListenAddresses(`127.83.${process.pid % 250}.${index + 1}`));
	const seeds = listens.slice(0, 3).map(({control}) => control);
	const nodes: MeshNode[] = [];
	for (let index = 0; index < nodeCount; index++) {
		const id = `node-${index + 1}`;
		const domain = domains[index % domains.length] ?? domains[0];
		const service = services[Math.floor(index / 2)] ?? services[0];
		const settingsFile = join(directory, `${id}.yaml`);
		const listen = listens[index]!;
		await writeFile(settingsFile, stringify({
			node: id,
			failureDomain: domain,
			listen,
			store: {address: storeAddress, timeoutMs: 1000},
			seeds,
		}));
		nodes.push({
			id,
			domain,
			service,
			settingsFile,
			serverId: `${service}-${(index % 2) + 1}`,
			callers: listen.callers,
			operators: listen.operators,
			announcements: listen.announcements,
			serverAddress: `${host}:${serverPorts[index] ?? 0}`,
		});
	}

	return {directory, storeAddress, nodes};
}

export function startStore(mesh: Mesh): RunningProcess {
	return startProcess('store', 'stand-ins/store/main.js', ['--port', mesh.storeAddress.split(':')[1] ?? '0']);
}

export function startNode(node: MeshNode): RunningProcess {
	return startProcess(node.id, 'apps/node/main.js', ['--settings', node.settingsFile]);
}

export function startServer(mesh: Mesh, node: MeshNode): RunningProcess {
	return startProcess(node.serverId, 'stand-ins/backend-server/main.js', [
		'--id',
		node.serverId,
		'--service',
		node.service,
		'--port',
		node.serverAddress.split(':')[1] ?? '0',
		'--announcements',
		node.announcements,
		'--bundle-directory',
		mesh.directory,
	]);
}

/** Fetches JSON from a node's operator address or from a stand-in. */
export async function fetchJson<T>(url: string): Promise<T> {
	const reply = await sendRequest(url, {headersTimeout: 5000});
	return await reply.body.json() as T;
}

/** Waits until the store responds. Returns whether it did within 5 seconds. */
export async function waitForStore(mesh: Mesh): Promise<boolean> {
	return waitUntil(async () => {
		await fetchJson(`http://${mesh.storeAddress}/calls`);
		return true;
	}, 5000);
}

/** Waits until a node knows this many backend servers. Returns whether it did within 15 seconds. */
export async function waitForServers(node: MeshNode, count: number): Promise<boolean> {
	return waitUntil(async () => {
		const servers = await fetchJson<readonly unknown[]>(`http://${node.operators}/v1/servers`);
		return servers.length >= count;
	}, 15_000);
}
