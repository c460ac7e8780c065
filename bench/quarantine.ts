/**
 * Requests that crash whatever runs them, and crashes of other causes, on whole
 * nodes in one process: how many servers end, whether any begins to run such a
 * request late, and what becomes of the other requests.
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
	/** Seconds of each play. */
	readonly seconds: number;
};

/** What is drawn for one play. */
type Plan = {
	/** Requests of each guilty page a second. */
	readonly rate: number;
	readonly culprits: number;
	readonly backAfterMs: number;
	readonly workMs: number;
	/** Share of their runs that servers fail before they come to what crashes them. */
	readonly failShare: number;
	/** Nodes that are killed and start again meanwhile. */
	readonly restarts: number;
	readonly random: () => number;
};

type Play = {
	/** Servers that ended under one page, the most of any page. */
	readonly ended: number;
	/** Runs later than three seconds after the third crash, the most of any page. */
	readonly late: number;
	/** Share of the other requests served from a second after the third crash on; 1 if there was none. */
	readonly served: number;
};

/** Nodes in touch know of it within this time after the third crash. Milliseconds, the users' bound. */
const knownAfterMs = 3000;

/** The others are looked at from so many milliseconds after the third crash on. */
const servedAgainMs = 1000;

/** Other requests a second. */
const otherRate = 60;

const routes = [{prefix: '/logs/', service: 'logview', attempts: 3}] as const;

/** Runs of a server for which it is drawn whether it fails them: more than one has before its play ends. */
const plannedRuns = 2000;

/** Requests come at nodes beside servers of other services as well. */
const listServices = (nodes: number): readonly string[] => Array.from({length: nodes}, (_, place) => place % 3 === 2 ? `caller-${place % 4}` : 'logview');

const isFatal = (target: string): boolean => target.startsWith('/logs/fatal');

function pickPlan(seed: number): Plan {
	const random = randomLcg(seed);
	const pickBetween = (least: number, most: number): number => randomUniform.source(random)(least, most)();
	return {
		rate: pickBetween(1, 20), culprits: random() < 0.3 ? 2 : 1, backAfterMs: pickBetween(300, 2000), workMs: pickBetween(5, 80), failShare: random() < 0.5 ? 0 : pickBetween(0.05, 0.5),
		restarts: Math.floor(pickBetween(0, 4)), random,
	};
}

const pickNode = ({nodes}: TestMesh, random: () => number): TestNode => nodes[Math.floor(random() * nodes.length)]!;

type Asked = {readonly at: number; readonly answer: CallerResponse};

/** Asks at random nodes until a time is over. */
async function askEvery(mesh: TestMesh, rate: number, endsAt: number, random: () => number, chooseTarget: () => string): Promise<readonly Asked[]> {
	const asked: Array<Promise<Asked>> = [];
	const askOnce = async (): Promise<Asked> => ({at: Date.now(), answer: await pickNode(mesh, random).call(chooseTarget())});
	while (Date.now() < endsAt) {
		asked.push(askOnce());
		await sleep(1000 / rate);
	}

	return Promise.all(asked);
}

/** Kills nodes and starts them again at random moments. */
async function renewNodes(mesh: TestMesh, {restarts, random}: Plan, endsAt: number): Promise<void> {
	for (let turn = 0; turn < restarts; turn++) {
		await sleep(random() * (endsAt - Date.now()) / (restarts - turn));
		const node = pickNode(mesh, random);
		await node.restart();
		await node.announce();
	}
}

async function runCulprits(nodes: number, seconds: number, seed: number): Promise<Play> {
	const plan = pickPlan(seed);
	const mesh = await startTestMesh(listServices(nodes), createTestConfig(7, routes));
	const {crashes, stop} = createCrashingServers(mesh, isFatal, plan.backAfterMs, server => {
		server.setWorkMs(plan.workMs);
		server.planBehaviours(...Array.from({length: plannedRuns}, () => plan.random() < plan.failShare ? 'fail' as const : 'answer' as const));
	});
	const endsAt = Date.now() + (seconds * 1000);
	let page = 0;
	const [others] = await Promise.all([
		askEvery(mesh, otherRate, endsAt, plan.random, () => `/logs/page-${page++}`),
		...Array.from({length: plan.culprits}, async (_, culprit) => askEvery(mesh, plan.rate, endsAt, plan.random, () => `/logs/fatal-${culprit}`)),
		renewNodes(mesh, plan, endsAt),
	]);
	stop();
	await sleep(plan.backAfterMs);
	await mesh.dispose();

	const pages = Array.from({length: plan.culprits}, (_, culprit) => crashes.filter(({target}) => target === `/logs/fatal-${culprit}`));
	const thirds = pages.map(page => page[2]?.endedAt ?? Number.POSITIVE_INFINITY);
	const since = others.filter(({at}) => at > Math.max(...thirds) + servedAgainMs);
	return {
		ended: Math.max(...pages.map(page => page.length)),
		late: Math.max(...pages.map((page, place) => page.filter(({ranAt}) => ranAt > thirds[place]! + knownAfterMs).length)),
		served: since.length === 0 ? 1 : since.filter(({answer: {status, body}}) => status === 200 || body === 'failed').length / since.length,
	};
}

/** Crashes of other causes, one server or half of them at once, while a few pages are in work everywhere; yields how many requests were refused as if they caused them. */
async function runInnocents(nodes: number, seconds: number, seed: number): Promise<number> {
	const {random, backAfterMs, workMs} = pickPlan(seed);
	const mesh = await startTestMesh(listServices(nodes), createTestConfig(7, routes));
	for (const {server} of mesh.nodes) {
		server.setWorkMs(workMs);
	}

	const endsAt = Date.now() + (seconds * 1000);
	const endServer = async (node: TestNode): Promise<void> => {
		await node.server.close();
		await sleep(backAfterMs);
		const server = await node.restartServer();
		server.setWorkMs(workMs);
		await node.announce();
	};

	const endSome = async (): Promise<void> => {
		while (Date.now() < endsAt - backAfterMs) {
			const share = random() < 0.2 ? 0.5 : 0;
			const ended = new Set([pickNode(mesh, random), ...mesh.nodes.filter(() => random() < share)]);
			await Promise.all([...ended].map(async node => endServer(node)));
			await sleep(random() * 1500);
		}
	};

	let page = 0;
	const [popular, rare] = await Promise.all([
		askEvery(mesh, otherRate, endsAt, random, () => `/logs/popular-${Math.floor(random() * 4)}`),
		askEvery(mesh, otherRate / 4, endsAt, random, () => `/logs/rare-${page++}`),
		endSome(),
	]);
	await mesh.dispose();
	return [...popular, ...rare].filter(({answer: {body}}) => body.includes('quarantined')).length;
}

/** Measures and prints the tables. */
export async function runQuarantine({firstSeed, seeds, nodes, seconds}: QuarantineOptions): Promise<void> {
	process.stdout.write('| seed | servers ended under a page | runs late | others served | innocent requests refused |\n| --- | --- | --- | --- | --- |\n');
	const plays: Play[] = [];
	for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
		const play = await runCulprits(nodes, seconds, seed);
		const refused = await runInnocents(nodes, seconds / 2, seed);
		plays.push(play);
		process.stdout.write(`| ${seed} | ${play.ended} | ${play.late} | ${play.served.toFixed(3)} | ${refused} |\n`);
	}

	const ended = plays.map(play => play.ended);
	process.stdout.write(`\nEnded: ${median(ended)} at the median, ${Math.max(...ended)} at the worst; late: ${Math.max(...plays.map(({late}) => late))} at the most; others served: ${Math.min(...plays.map(({served}) => served)).toFixed(3)} at the least.\n`);
}
