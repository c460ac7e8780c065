/**
 * The mesh of a soak: the store, the nodes as processes, the backend servers
 * beside them, and the link of each node to the store.
 *
 * @module
 */
import process from 'node:process';
import {startPlatformStore, type PlatformStore} from '../stand-ins/platform-store/platform-store.js';
import {type CallRecord} from './record.js';
import {startLinkProxy, type LinkProxy} from './link-proxy.js';
import {services, type Service} from './soak-config.js';
import {startSoakNode, type SoakNode} from './soak-node.js';
import {startSoakServer, type SoakServer} from './soak-server.js';

/** One VM: a node, its backend server and its link to the store. */
export type SoakVm = {
	readonly node: SoakNode;
	readonly service: Service;
	readonly server: SoakServer;
	readonly storeLink: LinkProxy;
};

export type SoakMesh = {
	readonly store: PlatformStore;
	readonly vms: readonly SoakVm[];
	readonly close: () => Promise<void>;
};

const failureDomains = ['a', 'b', 'c'] as const;

/** Time that a node has to end after SIGTERM. */
const graceMs = 6000;

const retrySlack = 62;

/** Returns a loopback IP address. It depends on the process id, so that soaks that run at the same time do not share addresses. */
const createHost = (index: number): string => `127.${128 + (Math.floor(process.pid / 250) % 100)}.${process.pid % 250}.${index + 1}`;

async function startVm(store: PlatformStore, index: number, folder: string, handleNestedCall: (call: CallRecord) => void): Promise<SoakVm> {
	const host = createHost(index);
	const service = services[index % services.length]!;
	const storeAddress = `${host}:7010`;
	const storeLink = await startLinkProxy(storeAddress, store.address);
	const node = startSoakNode({
		name: `n${index}`, failureDomain: failureDomains[Math.floor(index / services.length) % failureDomains.length]!, service, host, storeAddress, graceMs, retrySlack,
	}, folder);
	const server = await startSoakServer(node, service, handleNestedCall);
	return {
		node, service, server, storeLink,
	};
}

/**
 * Starts a mesh and waits until its nodes are ready.
 *
 * @param nodes - The number of nodes.
 * @param folder - The folder for settings and logs.
 * @param firstConfig - The configuration in the store before the nodes start.
 * @param handleNestedCall - Called with each call of a backend server when it has ended.
 * @returns The mesh.
 */
export async function startSoakMesh(nodes: number, folder: string, firstConfig: unknown, handleNestedCall: (call: CallRecord) => void): Promise<SoakMesh> {
	const store = await startPlatformStore();
	store.putConfig(firstConfig);
	const vms = await Promise.all(Array.from({length: nodes}, async (_, index) => startVm(store, index, folder, handleNestedCall)));
	await Promise.all(vms.map(async ({node}) => node.waitUntilReady()));
	return {
		store,
		vms,
		async close() {
			await Promise.all(vms.map(async ({node, server, storeLink}) => {
				await node.close();
				await server.close();
				await storeLink.close();
			}));
			await store.close();
		},
	};
}
