/**
 * Two sidecar nodes as processes of their own, with limits that a small crowd reaches: an entry, and the node beside the
 * backend server that the entry's callers need.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {openSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {type TestContext} from 'node:test';
import {findProgram} from '../demo/processes.js';
import {createCrowdConfig} from '../platform/crowd-requests.js';
import {announceTestServer, createTestSettings, sendCall} from '../platform/test-mesh.js';
import {type SidecarSettings} from '../src/lib/sidecar/sidecar-settings.js';
import {startPlatformStore, type PlatformStore} from '../stand-ins/platform-store/platform-store.js';
import {readProgramOptions} from '../stand-ins/settings-template.js';
import {expectSoon} from '../stand-ins/wait-until.js';
import {startLongAnswerServer, type LongAnswerServer} from './long-answer-server.js';
import {countDescriptors, readPeakMemory} from './process-usage.js';

/** Limits of the machine and of the heap that a node runs with. */
export type CrowdLimits = {
	readonly memoryMb: number;
	readonly heapMb: number;
	readonly maxFds: number;
};

/** Limits that a small crowd reaches. */
export const loweredLimits: CrowdLimits = {memoryMb: 200, heapMb: 64, maxFds: 400};

/** The limits of the users' smallest machines, with the heap of the deployed program. */
export const sheetLimits: CrowdLimits = {memoryMb: 350, heapMb: 128, maxFds: 4100};

/** Unit of the memory in the settings. */
const megabyte = 1_000_000;

export type CrowdNode = {
	readonly settings: SidecarSettings;
	readonly child: ChildProcess;
	/** Asserts that the process runs and has stayed within its limits. */
	readonly expectWithinLimits: () => void;
	readonly readMetric: (name: string) => Promise<number>;
	readonly waitForExit: () => Promise<number | string>;
	readonly readLog: () => Promise<string>;
};

export type CrowdMesh = {
	readonly entry: CrowdNode;
	/** The node beside the backend server. */
	readonly beside: CrowdNode;
	readonly server: LongAnswerServer;
	/** Asserts that both processes run within their limits and that an ordinary request is answered. */
	readonly expectServing: () => Promise<void>;
};

/** Requests that the backend server takes at the same time. */
const slots = 100;

const descriptorPollMs = 20;

async function startNode(context: TestContext, store: PlatformStore, name: string, service: string, limits: CrowdLimits): Promise<CrowdNode> {
	const settings = createTestSettings(store, name, service, 'a');
	const {retries: {windowMs, ...retries}, shutdownMs, ...rest} = settings;
	const folder = await mkdtemp(join(tmpdir(), 'stonemoor-crowd-'));
	const file = join(folder, 'settings.yaml');
	const logFile = join(folder, 'log');
	await writeFile(file, JSON.stringify({
		...rest, retries: {...retries, window: `${windowMs}ms`}, shutdown: `${shutdownMs}ms`, memoryMb: limits.memoryMb, maxFds: limits.maxFds,
	}));
	const options = readProgramOptions().map(option => option.startsWith('--max-old-space-size=') ? `--max-old-space-size=${limits.heapMb}` : option);
	const log = openSync(logFile, 'a');
	const child = spawn(process.execPath, [...options, findProgram('apps/sidecar/main.js'), file], {stdio: ['ignore', log, log]});
	const exited = new Promise<number | string>(resolve => {
		child.once('exit', (code, signal) => {
			resolve(code ?? signal ?? 'unknown');
		});
	});
	let mostDescriptors = 0;
	const timer = setInterval(() => {
		if (child.exitCode === null && child.signalCode === null) {
			mostDescriptors = Math.max(mostDescriptors, countDescriptors(child.pid!));
		}
	}, descriptorPollMs);
	context.after(async () => {
		clearInterval(timer);
		child.kill('SIGKILL');
		await exited;
		await rm(folder, {recursive: true});
	});
	return {
		settings,
		child,
		expectWithinLimits() {
			assert.deepEqual([child.exitCode, child.signalCode], [null, null], `the process ${name} has ended`);
			const peak = readPeakMemory(child.pid!);
			assert.ok(peak <= limits.memoryMb * megabyte, `${name} took ${Math.round(peak / megabyte)} MB of ${limits.memoryMb}`);
			assert.ok(mostDescriptors <= limits.maxFds, `${name} had ${mostDescriptors} descriptors of ${limits.maxFds}`);
		},
		async readMetric(metric) {
			const {body} = await sendCall(settings.listen.metrics, '/metrics');
			const line = body.split('\n').find(metricLine => metricLine.startsWith(`${metric} `));
			return Number(line?.slice(metric.length + 1) ?? 0);
		},
		waitForExit: async () => exited,
		readLog: async () => readFile(logFile, 'utf8'),
	};
}

/**
 * Starts the mesh, which ends with the test.
 *
 * @param context - The test.
 * @param limits - The limits of both nodes.
 * @returns The mesh, once an ordinary request is answered.
 */
export async function startCrowdMesh(context: TestContext, limits: CrowdLimits = loweredLimits): Promise<CrowdMesh> {
	const store = await startPlatformStore();
	context.after(async () => store.close());
	store.putConfig(createCrowdConfig());
	const entry = await startNode(context, store, 'entry', 'hall', limits);
	const beside = await startNode(context, store, 'beside', 'logview', limits);
	const server = await startLongAnswerServer(context, 'i-logview');
	let sequence = 0;
	const announce = async (): Promise<boolean> => {
		sequence++;
		const status = await announceTestServer(beside.settings.listen.announcements, {
			id: server.id, address: server.address, service: 'logview', failureDomain: 'a', slots, sequence,
		});
		return status === 200;
	};

	const expectAnswered = async (): Promise<void> => expectSoon('an ordinary request is answered', async () => {
		const {status, body} = await sendCall(entry.settings.listen.callers, '/logs/100', {timeLeftMs: 10_000});
		return status === 200 && body.length === 100;
	});
	await expectSoon('the server is announced', announce);
	await expectAnswered();
	return {
		entry,
		beside,
		server,
		async expectServing() {
			entry.expectWithinLimits();
			beside.expectWithinLimits();
			await expectAnswered();
			entry.expectWithinLimits();
			beside.expectWithinLimits();
		},
	};
}
