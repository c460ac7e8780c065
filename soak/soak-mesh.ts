/**
 * The mesh of a soak: the store, the nodes as processes with their links, and
 * the backend servers beside them.
 *
 * @module
 */
import process from 'node:process';
import {startPlatformStore, type PlatformStore} from '../stand-ins/platform-store/platform-store.js';
import {startLinkProxy, type LinkProxy} from './link-proxy.js';
import {services, type Service} from './soak-config.js';
import {startSoakNode, type SoakNode} from './soak-node.js';
import {startSoakServer, type SoakServer} from './soak-server.js';

/** One VM: a node, its server and its link to the store. */
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

/** A node has to be gone so long after SIGTERM. Milliseconds. */
const graceMs = 6000;

const retrySlack = 62;

/** Soaks that run beside one another have loopback IP numbers of their own. */
const createHost = (index: number): string => `127.${128 + (Math.floor(process.pid / 250) % 100)}.${process.pid % 250}.${index + 1}`;

async function startVm(store: PlatformStore, index: number, folder: string): Promise<SoakVm> {
	const host = createHost(index);
	const service = services[index % services.length]!;
	const storeAddress = `${host}:7010`;
	const storeLink = await startLinkProxy(storeAddress, store.address);
	const node = startSoakNode({
		name: `n${index}`, failureDomain: failureDomains[Math.floor(index / services.length) % failureDomains.length]!, service, host, storeAddress, graceMs, retrySlack,
	}, folder);
	const server = await startSoakServer(node, service);
	return {
		node, service, server, storeLink,
	};
}

/**
 * Starts a mesh and waits until its nodes are ready.
 *
 * @param nodes - How many.
 * @param folder - Where settings and logs go.
 * @param firstConfig - What the store holds before the nodes start.
 * @returns The mesh.
 */
export async function startSoakMesh(nodes: number, folder: string, firstConfig: unknown): Promise<SoakMesh> {
	const store = await startPlatformStore();
	store.putConfig(firstConfig);
	const vms = await Promise.all(Array.from({length: nodes}, async (_, index) => startVm(store, index, folder)));
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
