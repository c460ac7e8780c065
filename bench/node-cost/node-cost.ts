/**
 * `npm run bench -- node-cost`: what one node costs in meshes of different sizes.
 * The node is the real program in a process of its own; the other nodes, the
 * store and the backend server are simulated around it, at the same load each time.
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
	/** Numbers of nodes, this one included. */
	readonly sizes: readonly number[];
	/** Length of each phase. */
	readonly seconds: number;
	/** Requests a second of callers at this node, and as many of other nodes at its gate. */
	readonly rate: number;
	/** Milliseconds that requests take at backend servers. */
	readonly workMs: number;
	/** Routes of the configuration. */
	readonly routes: number;
	/** Milliseconds by which the clocks of the other nodes differ at the most; a period of heartbeats for no agreement at all. */
	readonly clocksApartMs: number;
	/** Also measures calls; without, only a start and an idle node. */
	readonly load: boolean;
	/** The bundle, as the deploy file builds it. */
	readonly program: string;
	/** Flags of Node.js for the program. */
	readonly flags: readonly string[];
	/** Writes a profile of the processor time into this folder. */
	readonly profile: string | undefined;
};

/** One phase of one size. */
type Phase = {
	readonly cpuMsPerSecond: number;
	/** Times that the process went to sleep and was woken again, a second. */
	readonly wakesPerSecond: number;
	readonly peakMb: number;
	readonly calls: number;
	readonly failed: number;
};

const domains = 5;
/** Nodes of each failure domain that watch the store, so that the measured one need not. */
const watchersPerDomain = 4;
const services = ['reader', 'writer', 'storage'] as const;
const settleMs = 4000;
/** Two runs may stand beside one another, so that what else the machine does is the same for both. */
const place = process.pid % 120;
const host = `127.${place}.79.1`;

/** Clock ticks of `/proc` are hundredths of a second on Linux. */
const tickMs = 10;

function readCpuMs(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	return (Number(fields[11]) + Number(fields[12])) * tickMs;
}

function readPeakMb(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
}

function readWakes(pid: number): number {
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

function createPeers(nodes: number, {clocksApartMs, workMs}: NodeCostOptions): readonly SimulatedPeer[] {
	const nodesOfDomain = Math.ceil(nodes / domains);
	return Array.from({length: nodes - 1}, (_, index) => {
		const address = `127.${place + 120}.${Math.floor((index + 1) / 250)}.${((index + 1) % 250) + 1}`;
		return createSimulatedPeer({
			name: `p${index + 1}`, failureDomain: `d${(index + 1) % domains}`, service: services[(index + 1) % 9 < 5 ? 0 : ((index + 1) % 9 < 8 ? 1 : 2)],
			gate: toAddress(`${address}:7002`), gossip: toAddress(`${address}:7004`), nodesOfDomain, nodes, workMs, clockMs: Math.floor(Math.random() * clocksApartMs), isFollowing: index + 1 <= domains * watchersPerDomain, version: 1,
		});
	});
}

/** Runs a load at an even pace; yields how many calls there were and how many failed. */
async function applyLoad(rate: number, seconds: number, call: () => Promise<boolean>): Promise<{readonly calls: number; readonly failed: number}> {
	const running: Array<Promise<boolean>> = [];
	const startedAt = performance.now();
	for (let count = 0; count < rate * seconds; count++) {
		await sleep(Math.max(0, startedAt + (count * 1000 / rate) - performance.now()));
		running.push(call());
	}

	const results = await Promise.all(running);
	return {calls: results.length, failed: results.filter(isAnswered => !isAnswered).length};
}

async function measurePhase(pid: number, seconds: number, run: () => Promise<{readonly calls: number; readonly failed: number}>): Promise<Phase> {
	const before = readCpuMs(pid);
	const wakesBefore = readWakes(pid);
	const startedAt = performance.now();
	const {calls, failed} = await run();
	await sleep(Math.max(0, (seconds * 1000) - (performance.now() - startedAt)));
	const tookMs = performance.now() - startedAt;
	return {
		cpuMsPerSecond: (readCpuMs(pid) - before) * 1000 / tookMs, wakesPerSecond: (readWakes(pid) - wakesBefore) * 1000 / tookMs, peakMb: readPeakMb(pid), calls, failed,
	};
}

type Measured = {
	readonly start: Phase;
	readonly idle: Phase;
	readonly load: Phase;
	readonly warm: Phase;
	/** Datagrams that the node sent in the idle phase, a second. */
	readonly sentPerSecond: number;
};

async function endProcess(child: ChildProcess): Promise<void> {
	if (child.exitCode !== null) {
		throw new Error(`the node ended by itself with code ${child.exitCode}: is another run under way at the same addresses?`);
	}

	const ended = new Promise(resolve => {
		child.once('exit', resolve);
	});
	child.kill('SIGTERM');
	await ended;
}

async function measureSize(nodes: number, options: NodeCostOptions): Promise<Measured> {
	const {seconds, rate} = options;
	const folder = mkdtempSync(join(tmpdir(), 'stonemoor-node-'));
	const store = await startPlatformStore();
	const routes = Array.from({length: options.routes}, (_, index) => ({prefix: `/r${index}/`, service: services[index % 3]!}));
	store.putConfig(createTestConfig(1, routes));
	const worker = await startPlatformServer('i-measured');
	worker.setWorkMs(options.workMs);
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
				id: worker.id, address: worker.address, service: services[0], failureDomain: 'd0', slots: 8, sequence: 1, born: Date.now(),
			});
			await Promise.all(peers.map(async (peer, index) => peer.start(toAddress(gossip), (index + 1) % domains === 0)));
			return {calls: 0, failed: 0};
		});
		const countHeard = (): number => peers.reduce((sum, peer) => sum + peer.countHeard(), 0);
		const heardBefore = countHeard();
		const idle = await measurePhase(pid, seconds, async () => ({calls: 0, failed: 0}));
		const sentPerSecond = (countHeard() - heardBefore) / seconds;
		if (!options.load) {
			return {
				start, idle, load: idle, warm: idle, sentPerSecond,
			};
		}

		const callEntry = async (): Promise<boolean> => {
			const {status, body} = await sendCall(callers, `/r${Math.floor(Math.random() * 3)}/x`, {agent, timeLeftMs: 5000});
			if (status !== 200) {
				console.error(`a caller was answered ${status}: ${body}`);
			}

			return status === 200;
		};

		const callGate = async (): Promise<boolean> => {
			const peer = peers[Math.floor(Math.random() * peers.length)]!;
			return peer.call(toAddress(gate), worker.id, '/r0/x');
		};

		const runLoad = async (): Promise<{readonly calls: number; readonly failed: number}> => {
			const [entry, own] = await Promise.all([applyLoad(rate, seconds, callEntry), applyLoad(rate, seconds, callGate)]);
			return {calls: entry.calls + own.calls, failed: entry.failed + own.failed};
		};

		const load = await measurePhase(pid, seconds, runLoad);
		const warm = await measurePhase(pid, seconds, runLoad);
		return {
			start, idle, load, warm, sentPerSecond,
		};
	} finally {
		agent.destroy();
		await endProcess(child);
		await Promise.all(peers.map(async peer => peer.close()));
		await worker.close();
		await store.close();
		rmSync(folder, {recursive: true});
	}
}

/** Milliseconds of processor time for one call, beside those of being there. */
const computeCallMs = (phase: Phase, idle: Phase, seconds: number): number => (phase.cpuMsPerSecond - idle.cpuMsPerSecond) * seconds / phase.calls;

/**
 * Measures and prints a row for each size.
 *
 * @param options - Sizes and load.
 */
export async function runNodeCost(options: NodeCostOptions): Promise<void> {
	const rows: string[][] = [];
	for (const nodes of options.sizes) {
		const {start, idle, load, warm, sentPerSecond} = await measureSize(nodes, options);
		const cells = [
			(start.cpuMsPerSecond * settleMs / 1000).toFixed(0),
			idle.cpuMsPerSecond.toFixed(1),
			idle.wakesPerSecond.toFixed(0),
			sentPerSecond.toFixed(0),
			options.load ? computeCallMs(load, idle, options.seconds).toFixed(2) : '-',
			options.load ? computeCallMs(warm, idle, options.seconds).toFixed(2) : '-',
			options.load ? ((warm.wakesPerSecond - idle.wakesPerSecond) * options.seconds / warm.calls).toFixed(1) : '-',
			String(load.failed + warm.failed),
			warm.peakMb.toFixed(0),
		];
		rows.push([String(nodes), ...cells]);
	}

	const header = ['nodes', 'start, ms', 'idle, ms a second', 'wake-ups a second, idle', 'datagrams sent a second', 'first calls, ms each', 'later calls, ms each', 'wake-ups, each', 'failed', 'peak, MB'];
	console.log(formatMarkdown(header, rows));
}
