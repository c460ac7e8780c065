/**
 * The environment of a scenario: nodes in this process on loopback addresses,
 * a stand-in for the store, stand-ins for backend servers, and callers.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {err, errAsync, ok} from 'neverthrow';
import {Agent, request as sendRequest} from 'undici';
import {
	createNode, settingsSchema, toBackendServerId,
	type ItemChange, type Node, type Settings, type Store, type StoreReadError, type SubmissionOutcome, type TimelineEvent,
} from '../src/index.js';
import {startBackendServer, type BackendServerSettings, type BackendServerStandIn} from '../stand-ins/backend-server/backend-server.js';
import {createMemoryStore, type MemoryStore} from '../stand-ins/store/memory-store.js';
import {createListenAddresses} from '../stand-ins/loopback-addresses.js';
import {waitUntil} from '../stand-ins/wait-until.js';
import {createPartitionableNetwork, type PartitionableNetwork} from './partitionable-network.js';

/** A node of the scenario, with the events of all its runs. */
export type WorldNode = {
	readonly name: string;
	readonly host: string;
	readonly settings: Settings;
	/** The current or last run. */
	node: Node;
	isRunning: boolean;
	/** The versions that it applied, in order. */
	readonly applied: number[];
	/** The version in force when each run became ready. */
	readonly readyAt: number[];
	readonly events: TimelineEvent[];
};

/** The outcome of a call, as its caller saw it. */
export type CallerAnswer = {
	readonly status: number;
	readonly verdict: string;
	readonly body: string;
	readonly retryAfter: string | undefined;
	/** Whether the connection failed before the complete response. `status` is 0 then. */
	readonly isTruncated: boolean;
	/** How long the call took. */
	readonly milliseconds: number;
};

export type CallRequest = {
	readonly method?: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

export type World = {
	readonly store: MemoryStore;
	readonly network: PartitionableNetwork;
	readonly nodes: Map<string, WorldNode>;
	readonly servers: Map<string, BackendServerStandIn>;
	readonly startNodes: (count: number, domains: number) => Promise<void>;
	readonly startServer: (name: string, service: string, node: string, slots?: number) => Promise<void>;
	/** Starts a stopped backend server again, with the same address and id. */
	readonly restartServer: (name: string) => Promise<BackendServerStandIn>;
	readonly killNode: (name: string) => Promise<void>;
	readonly restartNode: (name: string) => Promise<void>;
	readonly submit: (node: string, changes: readonly ItemChange[], options?: {readonly id?: string; readonly bases?: Readonly<Record<string, number>>}) => Promise<SubmissionOutcome>;
	readonly call: (node: string, request: CallRequest) => Promise<CallerAnswer>;
	readonly getNode: (name: string) => WorldNode;
	readonly getServer: (name: string) => BackendServerStandIn;
	readonly listRunning: () => readonly WorldNode[];
	readonly dispose: () => Promise<void>;
};

/** Maximum number of loopback IP addresses that one process uses. */
const maximumHosts = 250;

/** The last number of the next loopback IP address. Each node of a process gets another address, so that no port is still in use by an earlier scenario. Test files run concurrently in processes of their own, each with its own range of addresses. */
let nextHost = 1;

/** The host name of the store in network partitions. */
export const storeHost = 'store';

const membership = {
	periodMs: 200, ackTimeoutMs: 80, suspicionMs: 600,
};

function createHost(): string {
	const {pid} = process;
	const host = `127.${32 + (Math.floor(pid / 256) % 8)}.${pid % 256}.${nextHost}`;
	// After the last address, start again at the first: the scenarios that used it have ended.
	nextHost = (nextHost % maximumHosts) + 1;
	return host;
}

function createWorldSettings(name: string, host: string, domain: string, seeds: readonly string[]): Settings {
	return settingsSchema.parse({
		node: name,
		failureDomain: domain,
		listen: createListenAddresses(host),
		store: {address: '127.0.0.1:9', callsPerSecond: 200, burst: 200},
		seeds,
		membership,
		calls: {drainMs: 5000},
	});
}

/** Waits until a condition holds. Throws an error that names the condition if it doesn't within the timeout. */
export async function waitFor(what: string, condition: () => boolean | Promise<boolean>, timeoutMs = 16_000): Promise<void> {
	if (!await waitUntil(condition, timeoutMs)) {
		throw new Error(`condition not met within ${timeoutMs} ms: ${what}`);
	}
}

/** Creates an environment without nodes. */
export async function createWorld(): Promise<World> {
	const store = createMemoryStore({latencyMs: 1});
	const network = createPartitionableNetwork();
	const nodes = new Map<string, WorldNode>();
	const servers = new Map<string, BackendServerStandIn>();
	const serverSettings = new Map<string, BackendServerSettings>();
	const agent = new Agent({connections: 50, pipelining: 1});
	const bundleDirectory = await mkdtemp(join(tmpdir(), 'stonemoor-scenario-'));

	const getNode = (name: string): WorldNode => {
		const found = nodes.get(name);
		if (found === undefined) {
			throw new Error(`the scenario has no node ${name}`);
		}

		return found;
	};

	const getServer = (name: string): BackendServerStandIn => {
		const found = servers.get(name);
		if (found === undefined) {
			throw new Error(`the scenario has no backend server ${name}`);
		}

		return found;
	};

	/** Returns the store as one host sees it: unavailable while a partition separates them. */
	const createStoreView = (host: string): Store => {
		const unavailable: StoreReadError = {type: 'unavailable', reason: 'network partition between the node and the store'};
		const isPartitioned = (): boolean => network.isPartitioned(host, storeHost);
		return {
			read: key => isPartitioned() ? errAsync(unavailable) : store.read(key),
			write: request => isPartitioned() ? errAsync(unavailable) : store.write(request),
			watch: request => isPartitioned() ? errAsync(unavailable) : store.watch(request).andThen(stored => isPartitioned() ? err(unavailable) : ok(stored)),
		};
	};

	const createNodeRun = (settings: Settings, host: string, record: Pick<WorldNode, 'applied' | 'events' | 'readyAt'>): Node => createNode(settings, {
		store: createStoreView(host),
		random: Math.random,
		network: network.createView(host),
		handleEvent(event) {
			record.events.push(event);
			if (event.kind === 'configuration-applied') {
				record.applied.push(event.version);
			} else if (event.kind === 'node-ready') {
				record.readyAt.push(event.version);
			}
		},
	});

	const startWorldNode = async (worldNode: WorldNode): Promise<void> => {
		const started = await worldNode.node.start();
		if (started.isErr()) {
			throw new Error(JSON.stringify(started.error));
		}

		worldNode.isRunning = true;
	};

	const addNode = async (name: string, host: string, domain: string, seeds: readonly string[]): Promise<void> => {
		const settings = createWorldSettings(name, host, domain, seeds);
		const record = {applied: [], events: [], readyAt: []};
		const worldNode: WorldNode = {
			name, host, settings, node: createNodeRun(settings, host, record), isRunning: false, ...record,
		};
		nodes.set(name, worldNode);
		await startWorldNode(worldNode);
	};

	const listRunning = (): readonly WorldNode[] => [...nodes.values()].filter(worldNode => worldNode.isRunning);

	return {
		store,
		network,
		nodes,
		servers,
		getNode,
		getServer,
		listRunning,
		async startNodes(count, domains) {
			const hosts = Array.from({length: count}, () => createHost());
			const seeds = hosts.slice(0, 3).map(host => `${host}:7003`);
			for (const [index, host] of hosts.entries()) {
				await addNode(`node-${index + 1}`, host, `domain-${(index % domains) + 1}`, seeds);
			}

			await waitFor('every node is ready and knows the others', () => listRunning().every(({node}) => node.getStatus().isReady && node.getStatus().knownNodes >= count));
		},
		async startServer(name, service, node, slots = 12) {
			const settings: BackendServerSettings = {
				id: name, service, host: getNode(node).host, port: 0, slots, connections: 130, announcements: getNode(node).settings.listen.announcements, bundleDirectory,
			};
			const server = await startBackendServer(settings);
			serverSettings.set(name, {...settings, port: Number(server.address.split(':')[1])});
			servers.set(name, server);
			await waitFor(`every node knows ${name}`, async () => {
				const lists = await Promise.all(listRunning().map(async ({settings}) => {
					const reply = await sendRequest(`http://${settings.listen.operators}/v1/servers`);
					return await reply.body.json() as ReadonlyArray<{readonly server: {readonly id: string}}>;
				}));
				return lists.every(list => list.some(({server}) => server.id === toBackendServerId(name)));
			});
		},
		async restartServer(name) {
			const server = await startBackendServer(serverSettings.get(name)!);
			servers.set(name, server);
			return server;
		},
		async killNode(name) {
			const worldNode = getNode(name);
			worldNode.isRunning = false;
			await worldNode.node.dispose();
		},
		async restartNode(name) {
			const worldNode = getNode(name);
			if (worldNode.isRunning) {
				await worldNode.node.dispose();
			}

			worldNode.node = createNodeRun(worldNode.settings, worldNode.host, worldNode);
			await startWorldNode(worldNode);
		},
		async submit(node, changes, {id = randomUUID(), bases = {}} = {}) {
			const {settings, node: running} = getNode(node);
			const reply = await sendRequest(`http://${settings.listen.operators}/v1/submissions`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					id, bases, changes, seenVersion: running.getStatus().version,
				}),
			});
			return await reply.body.json() as SubmissionOutcome;
		},
		async call(node, {method = 'GET', path, headers, body}) {
			const startedAt = Date.now();
			try {
				const reply = await sendRequest(`http://${getNode(node).settings.listen.callers}${path}`, {
					method, headers, body, dispatcher: agent,
				});
				return {
					status: reply.statusCode,
					verdict: String(reply.headers['stonemoor-verdict']),
					retryAfter: reply.headers['retry-after'] as string | undefined,
					body: await reply.body.text(),
					isTruncated: false,
					milliseconds: Date.now() - startedAt,
				};
			} catch {
				return {
					status: 0, verdict: 'may-have-run', body: '', retryAfter: undefined, isTruncated: true, milliseconds: Date.now() - startedAt,
				};
			}
		},
		async dispose() {
			await Promise.all([...servers.values()].map(async server => server.kill()));
			await Promise.all(listRunning().map(async ({node}) => node.dispose()));
			await agent.destroy();
			await rm(bundleDirectory, {recursive: true, force: true});
		},
	};
}
