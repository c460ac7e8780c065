/**
 * How often the quarantine suspects an innocent request, and how soon it finds
 * a guilty one, by the rate of crashes that have another cause. A model of one
 * service in steps of ten milliseconds; the ledger is the product's own, and
 * one for all nodes, as if words took no time.
 *
 * @module
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {randomLcg, randomPoisson} from 'd3-random';
import {scaleLinear} from 'd3-scale';
import {line} from 'd3-shape';
import {mean} from 'simple-statistics';
import {toBackendServerId} from '../../src/lib/common/ids.js';
import {computeFingerprint, type Fingerprint} from '../../src/lib/quarantine/fingerprint.js';
import {createSuspectTable, type SuspectTable} from '../../src/lib/quarantine/suspect-table.js';
import {createRecentResponses, type RecentResponses} from '../../src/lib/quarantine/recent-responses.js';
import {computeCrashKey} from '../../src/lib/quarantine/suspect-record.js';

/** @internal */
export type QuarantineCurveOptions = {
	readonly seeds: number;
	/** File for the plot. */
	readonly svg: string | undefined;
};

/** What is played. */
type Case = {
	/** Crashes of other causes a second. */
	readonly crashRate: number;
	/** Guilty pages, each asked for five times a second. */
	readonly culprits: number;
};

/** What one play showed. */
type Tally = {
	asked: number;
	/** Innocent requests that were refused, or kept waiting by one on trial. */
	held: number;
	/** Servers that ended under each guilty page. */
	ended: number[];
};

/** One service of the users' first deployment, and its load. */
const service = {
	servers: 6, slots: 13, requestsPerSecond: 330, popularPages: 50, workMs: 120, crashAfterMs: 70, downMs: 3000,
} as const;

const culpritsPerSecond = 5;
const stepMs = 10;
const playMs = 60_000;

type Work = {readonly page: string; readonly isGuilty: boolean; readonly endsAt: number};

type Server = {downUntil: number; starts: number; work: Work[]};

const fingerprints = new Map<string, Fingerprint>();

function getFingerprint(page: string): Fingerprint {
	const known = fingerprints.get(page);
	if (known !== undefined) {
		return known;
	}

	const fingerprint = computeFingerprint({
		method: 'GET', host: 'mesh.example', target: page, body: undefined,
	});
	fingerprints.set(page, fingerprint);
	return fingerprint;
}

type World = {
	readonly ledger: SuspectTable;
	readonly answers: RecentResponses;
	readonly servers: Server[];
	readonly random: () => number;
	readonly tally: Tally;
};

function endServer({ledger, answers, servers, tally}: World, server: Server, now: number): void {
	const accused = server.work.filter(({page}) => !answers.has(page, now));
	const key = computeCrashKey({id: toBackendServerId(`i-${servers.indexOf(server)}`), startedAt: server.starts});
	ledger.recordCrash(accused.map(({page}) => getFingerprint(page)), key, now);
	for (const {page, isGuilty} of server.work) {
		if (isGuilty) {
			tally.ended[Number(page.split('-')[1])]!++;
		}
	}

	server.work = [];
	server.starts++;
	server.downUntil = now + service.downMs;
}

function finishWork(world: World, now: number): void {
	for (const server of world.servers) {
		if (server.work.some(({isGuilty, endsAt}) => isGuilty && endsAt <= now)) {
			endServer(world, server, now);
		}

		for (const {page} of server.work.filter(({endsAt}) => endsAt <= now)) {
			world.answers.record(page, now);
			world.ledger.clear(getFingerprint(page), now);
		}

		server.work = server.work.filter(({endsAt}) => endsAt > now);
	}
}

function ask(world: World, page: string, isGuilty: boolean, now: number): void {
	const {ledger, servers, random, tally} = world;
	const judgement = ledger.check(getFingerprint(page), now);
	const isBusy = judgement.type === 'trial' && servers.some(({work}) => work.some(one => one.page === page));
	tally.asked += isGuilty ? 0 : 1;
	if (judgement.type === 'refused' || isBusy) {
		tally.held += isGuilty ? 0 : 1;
		return;
	}

	const free = servers.filter(({downUntil, work}) => downUntil <= now && work.length < service.slots);
	const server = free[Math.floor(random() * free.length)];
	server?.work.push({page, isGuilty, endsAt: now + (isGuilty ? service.crashAfterMs : service.workMs)});
}

function runOnce({crashRate, culprits}: Case, seed: number): Tally {
	const random = randomLcg(seed);
	const tally: Tally = {asked: 0, held: 0, ended: Array.from({length: culprits}, () => 0)};
	const world: World = {
		ledger: createSuspectTable(), answers: createRecentResponses(), random, tally,
		servers: Array.from({length: service.servers}, () => ({downUntil: 0, starts: 1, work: []})),
	};
	const pickCount = (perSecond: number): number => randomPoisson.source(random)(perSecond * stepMs / 1000)();
	let rare = 0;
	for (let now = 0; now < playMs; now += stepMs) {
		finishWork(world, now);
		for (let count = pickCount(crashRate); count > 0; count--) {
			const up = world.servers.filter(({downUntil}) => downUntil <= now);
			if (up.length > 0) {
				endServer(world, up[Math.floor(random() * up.length)]!, now);
			}
		}

		for (let count = pickCount(service.requestsPerSecond); count > 0; count--) {
			ask(world, random() < 0.5 ? `/popular-${Math.floor(random() * service.popularPages)}` : `/rare-${rare++}`, false, now);
		}

		for (let culprit = 0; culprit < culprits; culprit++) {
			for (let count = pickCount(culpritsPerSecond); count > 0; count--) {
				ask(world, `/fatal-${culprit}`, true, now);
			}
		}
	}

	return tally;
}

const crashRates = [0, 0.1, 0.2, 0.5, 1] as const;
const culpritCounts = [0, 1, 3] as const;

type Point = Case & {readonly heldShare: number; readonly ended: number; readonly worst: number};

/** Draws a curve for each number of guilty pages: the share of innocent requests held back, by the rate of other crashes. */
function renderCurve(points: readonly Point[]): string {
	const x = scaleLinear([0, 1], [80, 580]);
	const y = scaleLinear([0, Math.max(0.0001, ...points.map(({heldShare}) => heldShare))], [300, 40]);
	const colours = ['#2a7f4f', '#3f6fa8', '#b3392f'] as const;
	const curves = culpritCounts.map((count, place) => {
		const own = points.filter(({culprits}) => culprits === count);
		const path = line<Point>(({crashRate}) => x(crashRate), ({heldShare}) => y(heldShare))(own) ?? '';
		return `<path d="${path}" fill="none" stroke="${colours[place]}" stroke-width="2"/><text x="90" y="${20 + (place * 14)}" fill="${colours[place]}">${count} guilty pages</text>`;
	});
	const marks = [...x.ticks(5).map(tick => `<text x="${x(tick)}" y="318" text-anchor="middle">${tick}</text>`), ...y.ticks(4).map(tick => `<text x="74" y="${y(tick)}" text-anchor="end">${tick}</text>`)];
	return [
		'<svg xmlns="http://www.w3.org/2000/svg" width="640" height="350" font-family="sans-serif" font-size="11">',
		'<rect width="100%" height="100%" fill="white"/>',
		...curves,
		...marks,
		'<text x="330" y="338" text-anchor="middle">crashes of other causes a second</text>',
		'<text x="250" y="20">share of innocent requests held back</text>',
		'</svg>',
		'',
	].join('\n');
}

/** Plays all cases and prints the table. */
export function runQuarantineCurve({seeds, svg}: QuarantineCurveOptions): void {
	process.stdout.write(`One service: ${service.servers} servers with ${service.slots} slots, ${service.requestsPerSecond} requests a second, ${playMs / 1000} s, seeds 1 to ${seeds}\n\n`);
	process.stdout.write('| other crashes a second | guilty pages | innocent requests held back, of a million | servers ended under a guilty page, mean | worst |\n| --- | --- | --- | --- | --- |\n');
	const points: Point[] = [];
	for (const culprits of culpritCounts) {
		for (const crashRate of crashRates) {
			const tallies = Array.from({length: seeds}, (_, seed) => runOnce({crashRate, culprits}, seed + 1));
			const ended = tallies.flatMap(tally => tally.ended);
			const point: Point = {
				crashRate, culprits, heldShare: mean(tallies.map(({held, asked}) => held / asked)), ended: ended.length === 0 ? 0 : mean(ended), worst: Math.max(0, ...ended),
			};
			points.push(point);
			process.stdout.write(`| ${crashRate} | ${culprits} | ${(point.heldShare * 1e6).toFixed(0)} | ${point.ended.toFixed(2)} | ${point.worst} |\n`);
		}
	}

	if (svg !== undefined) {
		writeFileSync(svg, renderCurve(points));
	}
}
