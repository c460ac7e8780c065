/**
 * A mesh of real node processes on this machine, with stand-ins for the store and
 * the backend servers in this process.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {findProgram} from '../../demo/processes.js';
import {announceTestServer, createTestConfig, sendCall} from '../../platform/test-mesh.js';
import {createListenAddresses} from '../../stand-ins/loopback-addresses.js';
import {startPlatformStore} from '../../stand-ins/platform-store/platform-store.js';
import {expectSoon} from '../../stand-ins/wait-until.js';
import {startCallingServer, type CallingServer} from '../../stand-ins/platform-server/calling-server.js';
import {loadServices, requestKinds} from './load-pattern.js';

/** A node process and the backend server beside it. */
export type MeshProcess = {
	readonly service: string;
	/** `IP:PORT` at which the node accepts calls. */
	readonly callers: string;
	readonly readCpuMs: () => number;
	/** When the process was started, in milliseconds of this process's clock. */
	readonly startedAt: number;
	/** Path of the CPU profile that the node writes at its end; `undefined` for none. */
	readonly profile: string | undefined;
};

export type MeshProcessesOptions = {
	/** Path of the bundled node. */
	readonly program: string;
	/** Node.js flags of the nodes. */
	readonly flags: readonly string[];
	/** First two numbers of the nodes' loopback addresses, such as `127.80`. */
	readonly network: string;
	/** Slots of each backend server. */
	readonly slots: number;
	readonly random: () => number;
};

export type MeshProcesses = {
	readonly nodes: readonly MeshProcess[];
	/** The bare server, with the nodes' flags. */
	readonly bare: {readonly address: string; readonly readCpuMs: () => number};
	/** Stops the nodes, so that they write their profiles. */
	readonly stop: () => Promise<void>;
	/** Removes the files of the nodes. */
	readonly dispose: () => void;
};

/** Clock ticks of `/proc` are hundredths of a second on Linux. */
const clockTickMs = 10;

/** Backend servers repeat their announcements at this interval. */
const announcementIntervalMs = 1500;

const barePort = 7021;

const failureDomains = ['a', 'b', 'c', 'd'] as const;

function readCpuMs(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * clockTickMs;
}

async function stopChild(child: ChildProcess): Promise<void> {
	if (child.exitCode !== null) {
		throw new Error(`a node exited early with code ${child.exitCode}; another run may use the same addresses`);
	}

	const ended = new Promise(resolve => {
		child.once('exit', resolve);
	});
	child.kill('SIGTERM');
	await ended;
}

/** Creates a configuration with a route for each kind of request. */
function createLoadConfig(): unknown {
	return createTestConfig(1, requestKinds.map(({name, service, routeType, timeoutMs}) => ({
		prefix: `/${name}/`, service, type: routeType, timeout: `${timeoutMs}ms`, attempts: 3,
	})));
}

/**
 * Starts the mesh and waits until each node knows the servers of each service.
 *
 * @param options - The program and its surroundings.
 * @returns The mesh.
 */
export async function startMeshProcesses({program, flags, network, slots, random}: MeshProcessesOptions): Promise<MeshProcesses> {
	const folder = mkdtempSync(join(tmpdir(), 'stonemoor-mesh-'));
	const store = await startPlatformStore();
	store.putConfig(createLoadConfig());
	const children: ChildProcess[] = [];
	const servers: CallingServer[] = [];
	const nodes: MeshProcess[] = [];
	const announcers: Array<() => Promise<void>> = [];
	const services = loadServices.flatMap(({name, servers: count}) => Array.from({length: count}, (_, index) => ({name, isFirst: index === 0})));
	for (const [index, {name: service, isFirst}] of services.entries()) {
		const host = `${network}.1.${index + 1}`;
		const failureDomain = failureDomains[index % failureDomains.length]!;
		const {callers, gate, gossip, announcements} = createListenAddresses(host);
		const settings = join(folder, `node-${index}.yaml`);
		writeFileSync(settings, JSON.stringify({
			node: `node-${index}`, failureDomain, service, listen: {
				callers, gate, gossip, announcements, readiness: `${host}:7007`, metrics: `${host}:7008`,
			},
			storeAddress: store.address, linkMbps: 1000, seeds: [], retries: {ratio: 0.2, slack: 58, window: '10s'}, shutdown: '1s',
		}));
		const profileName = `node-${index}.cpuprofile`;
		const startedAt = performance.now();
		const child = spawn(process.execPath, [...flags, ...isFirst ? ['--cpu-prof', '--cpu-prof-dir', folder, '--cpu-prof-name', profileName] : [], program, settings], {stdio: ['ignore', 'ignore', 'inherit']});
		children.push(child);
		const server = await startCallingServer({
			id: `server-${index}`, host, port: 7011, slots, callers, random,
		});
		servers.push(server);
		const born = Date.now();
		let sequence = 0;
		announcers.push(async () => {
			sequence++;
			await announceTestServer(announcements, {
				id: server.id, address: server.address, service, failureDomain, slots, sequence, born,
			});
		});
		nodes.push({
			service, callers, startedAt, readCpuMs: () => readCpuMs(child.pid!), profile: isFirst ? join(folder, profileName) : undefined,
		});
	}

	const bareHost = `${network}.2.1`;
	const bareChild = spawn(process.execPath, [...flags, findProgram('bench/request-cost/bare-server.js'), bareHost, String(barePort)], {stdio: ['ignore', 'ignore', 'inherit']});
	const bareAddress = `${bareHost}:${barePort}`;
	await expectSoon('the bare server answers', async () => {
		const {status} = await sendCall(bareAddress, '/');
		return status === 200;
	});

	const announceAll = async (): Promise<void> => {
		await Promise.all(announcers.map(async announce => announce()));
	};

	for (const {callers} of nodes) {
		await expectSoon('the node serves a request of each kind', async () => {
			await announceAll();
			const responses = await Promise.all(requestKinds.map(async ({name, method}) => sendCall(callers, `/${name}/x`, {method, timeLeftMs: 1000})));
			return responses.every(({status}) => status === 200);
		});
	}

	const announcementTimer = setInterval(() => {
		void announceAll();
	}, announcementIntervalMs);
	return {
		nodes,
		bare: {address: bareAddress, readCpuMs: () => readCpuMs(bareChild.pid!)},
		async stop() {
			clearInterval(announcementTimer);
			bareChild.kill();
			await Promise.all(children.map(async child => stopChild(child)));
			await Promise.all(servers.map(async server => server.close()));
			await store.close();
		},
		dispose() {
			rmSync(folder, {recursive: true});
		},
	};
}
