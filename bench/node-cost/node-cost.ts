/**
 * `npm run bench -- node-cost`: measures the cost of one node in meshes of
 * different sizes. The node is the real program in its own process. The other
 * nodes, the store and the backend server are simulated, with the same load at
 * each size.
 *
 * @module
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {Agent} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {toAddress} from '../../src/lib/common/ids.js';
import {announceTestServer, createTestConfig, sendCall} from '../../platform/test-mesh.js';
import {createListenAddresses} from '../../stand-ins/loopback-addresses.js';
import {startPlatformStore, type PlatformStore} from '../../stand-ins/platform-store/platform-store.js';
import {startPlatformServer} from '../../stand-ins/platform-server/platform-server.js';
import {formatMarkdown} from '../statistics.js';
import {createSimulatedPeer, type SimulatedPeer} from './simulated-peer.js';

export type NodeCostOptions = {
	/** Sizes of the mesh to measure: numbers of nodes, including the measured node. */
	readonly sizes: readonly number[];
	/** Duration of each phase in seconds. */
	readonly seconds: number;
	/** Requests a second that the measured node receives from callers. Its gate receives the same number from other nodes. */
	readonly rate: number;
	/** Milliseconds that requests take at backend servers. */
	readonly workMs: number;
	/** Number of routes of the configuration. */
	readonly routes: number;
	/** Maximum difference between the clocks of the other nodes, in milliseconds. A heartbeat period means unsynchronized clocks. */
	readonly clocksApartMs: number;
	/** Share of the other nodes whose backend server has just been replaced, so that their reports contain its departure. */
	readonly departing: number;
	/** Whether to measure calls too, and not only the start and the idle node. */
	readonly load: boolean;
	/** Path of the bundle that the deploy file builds. */
	readonly program: string;
	/** Node.js flags of the program. */
	readonly flags: readonly string[];
	/** Folder for CPU profiles. */
	readonly profile: string | undefined;
};

/** Measurements of the node in one phase, at one size of the mesh. */
type Phase = {
	readonly cpuMsPerSecond: number;
	/** Voluntary context switches a second: how often the process slept and woke up. */
	readonly wakeUpsPerSecond: number;
	readonly peakMegabytes: number;
	readonly callCount: number;
	readonly failedCount: number;
};

const domainCount = 5;
/** Simulated nodes of each failure domain that watch the store: enough that the measured node does not watch it. */
const watchersPerDomain = 4;
const services = ['reader', 'writer', 'storage'] as const;
const settleMs = 4000;
/** Depends on the process id, so that two runs can execute side by side, under the same other load of the machine. */
const addressOffset = process.pid % 120;
const host = `127.${addressOffset}.79.1`;

/** Clock ticks of `/proc` are hundredths of a second on Linux. */
const clockTickMs = 10;

function readCpuMs(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * clockTickMs;
}

function readPeakMegabytes(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
}

function readWakeUps(pid: number): number {
	return Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0);
}

function writeSettings(folder: string, store: PlatformStore): string {
	const {callers, gate, gossip, announcements} = createListenAddresses(host);
	const file = join(folder, 'settings.yaml');
	writeFileSync(file, JSON.stringify({
		node: 'measured', failureDomain: 'd0', service: services[0],
		listen: {
			callers, gate, gossip, announcements, readiness: `${host}:7007`, metrics: `${host}:7008`,
		},
		storeAddress: store.address, linkMbps: 10, seeds: [], retries: {ratio: 0.2, slack: 400, window: '10s'}, shutdown: '6s',
	}));
	return file;
}

function createPeers(nodes: number, {clocksApartMs, workMs, departing}: NodeCostOptions): readonly SimulatedPeer[] {
	const nodesOfDomain = Math.ceil(nodes / domainCount);
	return Array.from({length: nodes - 1}, (_, index) => {
		const address = `127.${addressOffset + 120}.${Math.floor((index + 1) / 250)}.${((index + 1) % 250) + 1}`;
		return createSimulatedPeer({
			name: `p${index + 1}`, failureDomain: `d${(index + 1) % domainCount}`, service: services[(index + 1) % 9 < 5 ? 0 : ((index + 1) % 9 < 8 ? 1 : 2)],
			gate: toAddress(`${address}:7002`), gossip: toAddress(`${address}:7004`), nodesOfDomain, nodes, workMs, clockOffsetMs: Math.floor(Math.random() * clocksApartMs), isFollowing: index + 1 <= domainCount * watchersPerDomain, version: 1, isDeparting: index < departing * (nodes - 1),
		});
	});
}

/** Sends calls at a fixed rate. Returns the number of calls and of failed calls. */
async function sendAtRate(callsPerSecond: number, seconds: number, call: () => Promise<boolean>): Promise<{readonly calls: number; readonly failed: number}> {
	const pending: Array<Promise<boolean>> = [];
	const startedAt = performance.now();
	for (let count = 0; count < callsPerSecond * seconds; count++) {
		await sleep(Math.max(0, startedAt + (count * 1000 / callsPerSecond) - performance.now()));
		pending.push(call());
	}

	const results = await Promise.all(pending);
	return {calls: results.length, failed: results.filter(isAnswered => !isAnswered).length};
}

async function measurePhase(pid: number, seconds: number, run: () => Promise<{readonly calls: number; readonly failed: number}>): Promise<Phase> {
	const before = readCpuMs(pid);
	const wakeUpsBefore = readWakeUps(pid);
	const startedAt = performance.now();
	const {calls, failed} = await run();
	await sleep(Math.max(0, (seconds * 1000) - (performance.now() - startedAt)));
	const tookMs = performance.now() - startedAt;
	return {
		cpuMsPerSecond: (readCpuMs(pid) - before) * 1000 / tookMs, wakeUpsPerSecond: (readWakeUps(pid) - wakeUpsBefore) * 1000 / tookMs, peakMegabytes: readPeakMegabytes(pid), callCount: calls, failedCount: failed,
	};
}

type SizeMeasurement = {
	readonly start: Phase;
	readonly idle: Phase;
	readonly load: Phase;
	readonly warmLoad: Phase;
	/** Datagrams a second that the node sent in the idle phase. */
	readonly sentPerSecond: number;
};

async function stopProcess(child: ChildProcess): Promise<void> {
	if (child.exitCode !== null) {
		throw new Error(`the measured node exited early with code ${child.exitCode}; another run may use the same addresses`);
	}

	const ended = new Promise(resolve => {
		child.once('exit', resolve);
	});
	child.kill('SIGTERM');
	await ended;
}

async function measureSize(nodes: number, options: NodeCostOptions): Promise<SizeMeasurement> {
	const {seconds, rate} = options;
	const folder = mkdtempSync(join(tmpdir(), 'stonemoor-node-'));
	const store = await startPlatformStore();
	const routes = Array.from({length: options.routes}, (_, index) => ({prefix: `/r${index}/`, service: services[index % 3]!}));
	store.putConfig(createTestConfig(1, routes));
	const server = await startPlatformServer('i-measured');
	server.setWorkMs(options.workMs);
	const {callers, gate, gossip, announcements} = createListenAddresses(host);
	const peers = createPeers(nodes, options);
	const profile = options.profile === undefined ? [] : ['--cpu-prof', '--cpu-prof-dir', options.profile, '--cpu-prof-name', `node-${nodes}.cpuprofile`];
	const child = spawn(process.execPath, [...options.flags, ...profile, options.program, writeSettings(folder, store)], {stdio: ['ignore', 'ignore', 'inherit']});
	const pid = child.pid!;
	const agent = new Agent({keepAlive: true});
	try {
		const start = await measurePhase(pid, settleMs / 1000, async () => {
			await sleep(1000);
			await announceTestServer(announcements, {
				id: server.id, address: server.address, service: services[0], failureDomain: 'd0', slots: 8, sequence: 1, born: Date.now(),
			});
			await Promise.all(peers.map(async (peer, index) => peer.start(toAddress(gossip), (index + 1) % domainCount === 0)));
			return {calls: 0, failed: 0};
		});
		const countReceived = (): number => peers.reduce((sum, peer) => sum + peer.countReceived(), 0);
		const receivedBefore = countReceived();
		const idle = await measurePhase(pid, seconds, async () => ({calls: 0, failed: 0}));
		const sentPerSecond = (countReceived() - receivedBefore) / seconds;
		if (!options.load) {
			return {
				start, idle, load: idle, warmLoad: idle, sentPerSecond,
			};
		}

		const callEntry = async (): Promise<boolean> => {
			const {status, body} = await sendCall(callers, `/r${Math.floor(Math.random() * 3)}/x`, {agent, timeLeftMs: 5000});
			if (status !== 200) {
				console.error(`a call at the entry failed with status ${status}: ${body}`);
			}

			return status === 200;
		};

		const callGate = async (): Promise<boolean> => {
			const peer = peers[Math.floor(Math.random() * peers.length)]!;
			return peer.call(toAddress(gate), server.id, '/r0/x');
		};

		const runLoad = async (): Promise<{readonly calls: number; readonly failed: number}> => {
			const [entry, own] = await Promise.all([sendAtRate(rate, seconds, callEntry), sendAtRate(rate, seconds, callGate)]);
			return {calls: entry.calls + own.calls, failed: entry.failed + own.failed};
		};

		const load = await measurePhase(pid, seconds, runLoad);
		const warmLoad = await measurePhase(pid, seconds, runLoad);
		return {
			start, idle, load, warmLoad, sentPerSecond,
		};
	} finally {
		agent.destroy();
		await stopProcess(child);
		await Promise.all(peers.map(async peer => peer.close()));
		await server.close();
		await store.close();
		rmSync(folder, {recursive: true});
	}
}

/** Computes the processor time of one call in milliseconds, without the time of an idle node. */
const computeCallMs = (phase: Phase, idle: Phase, seconds: number): number => (phase.cpuMsPerSecond - idle.cpuMsPerSecond) * seconds / phase.callCount;

/**
 * Measures and prints a row for each size.
 *
 * @param options - Sizes and load.
 */
export async function runNodeCost(options: NodeCostOptions): Promise<void> {
	const rows: string[][] = [];
	for (const nodes of options.sizes) {
		const {start, idle, load, warmLoad, sentPerSecond} = await measureSize(nodes, options);
		const cells = [
			(start.cpuMsPerSecond * settleMs / 1000).toFixed(0),
			idle.cpuMsPerSecond.toFixed(1),
			idle.wakeUpsPerSecond.toFixed(0),
			sentPerSecond.toFixed(0),
			options.load ? computeCallMs(load, idle, options.seconds).toFixed(2) : '-',
			options.load ? computeCallMs(warmLoad, idle, options.seconds).toFixed(2) : '-',
			options.load ? ((warmLoad.wakeUpsPerSecond - idle.wakeUpsPerSecond) * options.seconds / warmLoad.callCount).toFixed(1) : '-',
			String(load.failedCount + warmLoad.failedCount),
			warmLoad.peakMegabytes.toFixed(0),
		];
		rows.push([String(nodes), ...cells]);
	}

	const header = ['nodes', 'start, ms', 'idle, ms a second', 'wake-ups a second, idle', 'datagrams sent a second', 'first calls, ms each', 'later calls, ms each', 'wake-ups, each', 'failed', 'peak, MB'];
	console.log(formatMarkdown(header, rows));
}
