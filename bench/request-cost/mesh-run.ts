/**
 * The process that plays the load against one mesh. Its parent gets the
 * measurements as a message.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {Agent} from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {randomLcg} from 'd3-random';
import {sendCall} from '../../platform/test-mesh.js';
import {requestKinds, type RequestKind} from './load-pattern.js';
import {startMeshProcesses, type MeshProcess, type MeshProcesses} from './mesh-processes.js';
import {sumStageTimes, type CpuProfile} from './profile-stages.js';

/** What the process is to measure. */
export type MeshRunOptions = {
	readonly program: string;
	readonly flags: readonly string[];
	readonly network: string;
	readonly slots: number;
	/** Requests of callers a second, over all nodes. */
	readonly rate: number;
	readonly seconds: number;
	readonly seed: number;
};

/** How the requests of a kind ended. */
export type KindCounts = {
	readonly kind: string;
	readonly sent: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	readonly failed: number;
};

/** The measurements of a mesh. */
export type MeshMeasurement = {
	/** Processor time of the nodes that are not profiled, in milliseconds for each request of a caller. */
	readonly cpuMsPerRequest: number;
	/** Processor time of a request to the bare server under the same load of the machine, in milliseconds. */
	readonly bareMsPerRequest: number;
	readonly kinds: readonly KindCounts[];
	/** Share of the profiled time by stage. */
	readonly stageShares: ReadonlyArray<readonly [string, number]>;
	/** Share of the profiled time by function, the largest first. */
	readonly functionShares: ReadonlyArray<readonly [string, number]>;
};

const listedFunctionCount = 400;

/** Requests a second to the bare server: about as many as one node of a busy mesh handles. */
const bareRate = 100;

function pickKind(value: number): RequestKind {
	let sum = 0;
	for (const kind of requestKinds) {
		sum += kind.share;
		if (value < sum) {
			return kind;
		}
	}

	return requestKinds[0]!;
}

type MutableCounts = {sent: number; inTime: number; late: number; refused: number; failed: number};

/** Sends the callers' requests at a fixed rate, each to the next node. */
async function sendLoad(nodes: readonly MeshProcess[], {rate, seconds, seed}: MeshRunOptions): Promise<readonly KindCounts[]> {
	const random = randomLcg(seed);
	const agents = nodes.map(() => new Agent({keepAlive: true}));
	const counts = new Map<string, MutableCounts>();
	const pending: Array<Promise<void>> = [];
	const callOnce = async (kind: RequestKind, index: number): Promise<void> => {
		const count = counts.get(kind.name) ?? {
			sent: 0, inTime: 0, late: 0, refused: 0, failed: 0,
		};
		counts.set(kind.name, count);
		count.sent++;
		const sentAt = performance.now();
		const {status} = await sendCall(nodes[index]!.callers, `/${kind.name}/x`, {
			method: kind.method, timeLeftMs: 1200, agent: kind.keepsConnections ? agents[index] : undefined,
			body: kind.requestBytes > 0 ? Buffer.alloc(kind.requestBytes, 'x').toString() : undefined,
		});
		const tookMs = performance.now() - sentAt;
		if (status === 200) {
			count[tookMs <= kind.targetLatencyMs ? 'inTime' : 'late']++;
		} else {
			count[status === 503 ? 'refused' : 'failed']++;
		}
	};

	const startedAt = performance.now();
	for (let sent = 0; sent < rate * seconds; sent++) {
		await sleep(Math.max(0, startedAt + (sent * 1000 / rate) - performance.now()));
		pending.push(callOnce(pickKind(random()), sent % nodes.length));
	}

	await Promise.all(pending);
	for (const agent of agents) {
		agent.destroy();
	}

	return [...counts].map(([kind, count]) => ({kind, ...count}));
}

/** Sends requests to the bare server, each on a new connection. Returns their number. */
async function sendBareLoad(address: string, seconds: number): Promise<number> {
	const pending: Array<Promise<unknown>> = [];
	const startedAt = performance.now();
	for (let sent = 0; sent < bareRate * seconds; sent++) {
		await sleep(Math.max(0, startedAt + (sent * 1000 / bareRate) - performance.now()));
		pending.push(sendCall(address, '/'));
	}

	await Promise.all(pending);
	return pending.length;
}

function sumShares(nodes: readonly MeshProcess[], program: string, measuredFrom: number): Pick<MeshMeasurement, 'stageShares' | 'functionShares'> {
	const bundle = readFileSync(program, 'utf8');
	const byStage = new Map<string, number>();
	const byFunction = new Map<string, number>();
	let total = 0;
	for (const {profile, startedAt} of nodes) {
		if (profile === undefined) {
			continue;
		}

		const times = sumStageTimes(JSON.parse(readFileSync(profile, 'utf8')) as CpuProfile, bundle, program, (measuredFrom - startedAt) * 1000);
		for (const [stage, microseconds] of times.byStage) {
			byStage.set(stage, (byStage.get(stage) ?? 0) + microseconds);
			total += microseconds;
		}

		for (const [name, microseconds] of times.byFunction) {
			byFunction.set(name, (byFunction.get(name) ?? 0) + microseconds);
		}
	}

	const listShares = (times: ReadonlyMap<string, number>): ReadonlyArray<readonly [string, number]> =>
		[...times].sort(([, left], [, right]) => right - left).map(([name, microseconds]) => [name, microseconds / total] as const);
	return {stageShares: listShares(byStage), functionShares: listShares(byFunction).slice(0, listedFunctionCount)};
}

const sumCpuMs = (nodes: readonly MeshProcess[]): number => nodes.filter(({profile}) => profile === undefined).reduce((sum, node) => sum + node.readCpuMs(), 0);

async function measureMesh(mesh: MeshProcesses, options: MeshRunOptions): Promise<MeshMeasurement> {
	const {nodes} = mesh;
	const measuredFrom = performance.now();
	const before = sumCpuMs(nodes);
	const bareBefore = mesh.bare.readCpuMs();
	const [kinds, bareCount] = await Promise.all([sendLoad(nodes, options), sendBareLoad(mesh.bare.address, options.seconds)]);
	const cpuMs = sumCpuMs(nodes) - before;
	const bareMs = mesh.bare.readCpuMs() - bareBefore;
	await mesh.stop();
	const measuredCount = nodes.filter(({profile}) => profile === undefined).length;
	const sent = kinds.reduce((sum, kind) => sum + kind.sent, 0);
	return {
		bareMsPerRequest: bareMs / bareCount, cpuMsPerRequest: cpuMs * nodes.length / measuredCount / sent, kinds, ...sumShares(nodes, options.program, measuredFrom),
	};
}

process.once('message', async (options: MeshRunOptions) => {
	const mesh = await startMeshProcesses({...options, random: randomLcg(options.seed + 1)});
	try {
		process.send!(await measureMesh(mesh, options));
	} finally {
		mesh.dispose();
		process.disconnect();
	}
});
