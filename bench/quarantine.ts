/**
 * `npm run bench -- quarantine`: measures the quarantine on complete nodes in one
 * process, with requests that crash every server that runs them, and with crashes
 * of other causes. Counts the servers that crash, the fatal requests that start
 * after the quarantine must have stopped them, and the other requests served.
 *
 * @module
 */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {randomLcg, randomUniform} from 'd3-random';
import {median} from 'simple-statistics';
import {createCrashingServers} from '../platform/crashing-servers.js';
import {
	createTestConfig, startTestMesh, type CallerResponse, type TestMesh, type TestNode,
} from '../platform/test-mesh.js';

/** @internal */
export type QuarantineOptions = {
	readonly firstSeed: number;
	readonly seeds: number;
	readonly nodes: number;
	/** Seconds of each run. */
	readonly seconds: number;
};

/** Random parameters of one run. */
type RunPlan = {
	/** Requests a second for each fatal page. */
	readonly fatalRequestsPerSecond: number;
	readonly fatalPageCount: number;
	readonly restartDelayMs: number;
	readonly workMs: number;
	/** Share of the requests that servers fail with an error before a fatal request can crash them. */
	readonly failureShare: number;
	/** Nodes that are killed and restarted during the run. */
	readonly nodeRestartCount: number;
	readonly random: () => number;
};

type FatalRunResult = {
	/** Servers that one fatal page crashed; the maximum over the pages. */
	readonly crashCount: number;
	/** Crashes whose request started more than `propagationLimitMs` after the third crash; the maximum over the pages. */
	readonly lateRunCount: number;
	/** Share of the other requests that were served, from `recoveryMs` after the third crash on; 1 if there were none. */
	readonly servedShare: number;
};

/** Time after the third crash within which all connected nodes must know the suspect. */
const propagationLimitMs = 3000;

/** Time after the third crash from which on the other requests count. */
const recoveryMs = 1000;

const otherRequestsPerSecond = 60;

const routes = [{prefix: '/logs/', service: 'logview', attempts: 3}] as const;

/** Requests of a server for which the result is drawn in advance: more than a server gets in one run. */
const plannedRunCount = 2000;

/** Lists the service beside each node. Every third node has another service, so that requests also enter at nodes without a server for them. */
const listServices = (nodes: number): readonly string[] => Array.from({length: nodes}, (_, index) => index % 3 === 2 ? `caller-${index % 4}` : 'logview');

const isFatal = (target: string): boolean => target.startsWith('/logs/fatal');

function pickRunPlan(seed: number): RunPlan {
	const random = randomLcg(seed);
	const pickBetween = (minimum: number, maximum: number): number => randomUniform.source(random)(minimum, maximum)();
	return {
		fatalRequestsPerSecond: pickBetween(1, 20), fatalPageCount: random() < 0.3 ? 2 : 1, restartDelayMs: pickBetween(300, 2000), workMs: pickBetween(5, 80), failureShare: random() < 0.5 ? 0 : pickBetween(0.05, 0.5),
		nodeRestartCount: Math.floor(pickBetween(0, 4)), random,
	};
}

const pickNode = ({nodes}: TestMesh, random: () => number): TestNode => nodes[Math.floor(random() * nodes.length)]!;

type SentRequest = {readonly at: number; readonly answer: CallerResponse};

/** Sends requests to random nodes at a fixed rate until `endsAt`. */
async function sendAtRate(mesh: TestMesh, requestsPerSecond: number, endsAt: number, random: () => number, chooseTarget: () => string): Promise<readonly SentRequest[]> {
	const pending: Array<Promise<SentRequest>> = [];
	const sendOne = async (): Promise<SentRequest> => ({at: Date.now(), answer: await pickNode(mesh, random).call(chooseTarget())});
	while (Date.now() < endsAt) {
		pending.push(sendOne());
		await sleep(1000 / requestsPerSecond);
	}

	return Promise.all(pending);
}

/** Kills and restarts random nodes at random times. */
async function restartNodes(mesh: TestMesh, {nodeRestartCount, random}: RunPlan, endsAt: number): Promise<void> {
	for (let index = 0; index < nodeRestartCount; index++) {
		await sleep(random() * (endsAt - Date.now()) / (nodeRestartCount - index));
		const node = pickNode(mesh, random);
		await node.restart();
		await node.announce();
	}
}

/** Runs fatal requests for each fatal page beside other requests, while some nodes restart. */
async function runFatalRequests(nodes: number, seconds: number, seed: number): Promise<FatalRunResult> {
	const plan = pickRunPlan(seed);
	const mesh = await startTestMesh(listServices(nodes), createTestConfig(7, routes));
	const {crashes, stop} = createCrashingServers(mesh, isFatal, plan.restartDelayMs, server => {
		server.setWorkMs(plan.workMs);
		server.planBehaviours(...Array.from({length: plannedRunCount}, () => plan.random() < plan.failureShare ? 'fail' as const : 'answer' as const));
	});
	const endsAt = Date.now() + (seconds * 1000);
	let page = 0;
	const [others] = await Promise.all([
		sendAtRate(mesh, otherRequestsPerSecond, endsAt, plan.random, () => `/logs/page-${page++}`),
		...Array.from({length: plan.fatalPageCount}, async (_, fatalPage) => sendAtRate(mesh, plan.fatalRequestsPerSecond, endsAt, plan.random, () => `/logs/fatal-${fatalPage}`)),
		restartNodes(mesh, plan, endsAt),
	]);
	stop();
	await sleep(plan.restartDelayMs);
	await mesh.dispose();

	const crashesByPage = Array.from({length: plan.fatalPageCount}, (_, fatalPage) => crashes.filter(({target}) => target === `/logs/fatal-${fatalPage}`));
	const thirdCrashTimes = crashesByPage.map(pageCrashes => pageCrashes[2]?.endedAt ?? Number.POSITIVE_INFINITY);
	const afterRecovery = others.filter(({at}) => at > Math.max(...thirdCrashTimes) + recoveryMs);
	return {
		crashCount: Math.max(...crashesByPage.map(pageCrashes => pageCrashes.length)),
		lateRunCount: Math.max(...crashesByPage.map((pageCrashes, index) => pageCrashes.filter(({ranAt}) => ranAt > thirdCrashTimes[index]! + propagationLimitMs).length)),
		servedShare: afterRecovery.length === 0 ? 1 : afterRecovery.filter(({answer: {status, body}}) => status === 200 || body === 'failed').length / afterRecovery.length,
	};
}

/**
 * Stops one server, or about half of them at the same time, for reasons that no request causes, while a few popular pages are in
 * flight on all servers. Returns the number of requests that the quarantine refused although they were innocent.
 */
async function runUnrelatedCrashes(nodes: number, seconds: number, seed: number): Promise<number> {
	const {random, restartDelayMs, workMs} = pickRunPlan(seed);
	const mesh = await startTestMesh(listServices(nodes), createTestConfig(7, routes));
	for (const {server} of mesh.nodes) {
		server.setWorkMs(workMs);
	}

	const endsAt = Date.now() + (seconds * 1000);
	const restartServer = async (node: TestNode): Promise<void> => {
		await node.server.close();
		await sleep(restartDelayMs);
		const server = await node.restartServer();
		server.setWorkMs(workMs);
		await node.announce();
	};

	const restartRandomServers = async (): Promise<void> => {
		while (Date.now() < endsAt - restartDelayMs) {
			const share = random() < 0.2 ? 0.5 : 0;
			const restarting = new Set([pickNode(mesh, random), ...mesh.nodes.filter(() => random() < share)]);
			await Promise.all([...restarting].map(async node => restartServer(node)));
			await sleep(random() * 1500);
		}
	};

	let page = 0;
	const [popular, rare] = await Promise.all([
		sendAtRate(mesh, otherRequestsPerSecond, endsAt, random, () => `/logs/popular-${Math.floor(random() * 4)}`),
		sendAtRate(mesh, otherRequestsPerSecond / 4, endsAt, random, () => `/logs/rare-${page++}`),
		restartRandomServers(),
	]);
	await mesh.dispose();
	return [...popular, ...rare].filter(({answer: {body}}) => body.includes('quarantined')).length;
}

/** Measures and prints the tables. */
export async function runQuarantine({firstSeed, seeds, nodes, seconds}: QuarantineOptions): Promise<void> {
	process.stdout.write('| seed | servers ended under a page | runs late | others served | innocent requests refused |\n| --- | --- | --- | --- | --- |\n');
	const results: FatalRunResult[] = [];
	for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
		const result = await runFatalRequests(nodes, seconds, seed);
		const refused = await runUnrelatedCrashes(nodes, seconds / 2, seed);
		results.push(result);
		process.stdout.write(`| ${seed} | ${result.crashCount} | ${result.lateRunCount} | ${result.servedShare.toFixed(3)} | ${refused} |\n`);
	}

	const crashCounts = results.map(result => result.crashCount);
	process.stdout.write(`\nEnded: ${median(crashCounts)} at the median, ${Math.max(...crashCounts)} at the worst; late: ${Math.max(...results.map(({lateRunCount}) => lateRunCount))} at the most; others served: ${Math.min(...results.map(({servedShare}) => servedShare)).toFixed(3)} at the least.\n`);
}
