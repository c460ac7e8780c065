/**
 * `npm run bench -- quarantine-curve`: simulates how often the quarantine suspects
 * an innocent request, and how many servers crash before it detects a fatal page,
 * by the rate of crashes of other causes. The model has one service and a fixed
 * time step. It uses the suspect table of real nodes, shared by all nodes, as if
 * messages took no time.
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
	/** Path of the SVG file for the plot. */
	readonly svg: string | undefined;
};

/** Parameters of a simulation. */
type SimulatedCase = {
	/** Crashes a second that are not caused by a fatal page. */
	readonly crashRate: number;
	/** Number of pages whose requests crash the server. Each is requested `fatalRequestsPerSecond` times a second. */
	readonly fatalPageCount: number;
};

/** Counts of one simulation. */
type QuarantineCounts = {
	innocentRequests: number;
	/** Innocent requests that were refused, or had to wait for a trial of the same page. */
	heldRequests: number;
	/** For each fatal page, the number of its requests that were running on a server when it crashed. */
	crashesByPage: number[];
};

/** The simulated service and its load, as in a production deployment. */
const service = {
	servers: 6, slots: 13, requestsPerSecond: 330, popularPages: 50, workMs: 120, crashAfterMs: 70, downMs: 3000,
} as const;

const fatalRequestsPerSecond = 5;
const stepMs = 10;
const simulatedMs = 60_000;

type RunningRequest = {readonly page: string; readonly isFatal: boolean; readonly endsAt: number};

type Server = {downUntil: number; startCount: number; running: RunningRequest[]};

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

type Simulation = {
	readonly suspects: SuspectTable;
	readonly responses: RecentResponses;
	readonly servers: Server[];
	readonly random: () => number;
	readonly counts: QuarantineCounts;
};

function recordServerCrash({suspects, responses, servers, counts}: Simulation, server: Server, now: number): void {
	const suspectedRequests = server.running.filter(({page}) => !responses.has(page, now));
	const key = computeCrashKey({id: toBackendServerId(`i-${servers.indexOf(server)}`), startedAt: server.startCount});
	suspects.recordCrash(suspectedRequests.map(({page}) => getFingerprint(page)), key, now);
	for (const {page, isFatal} of server.running) {
		if (isFatal) {
			counts.crashesByPage[Number(page.split('-')[1])]!++;
		}
	}

	server.running = [];
	server.startCount++;
	server.downUntil = now + service.downMs;
}

function finishRequests(simulation: Simulation, now: number): void {
	for (const server of simulation.servers) {
		if (server.running.some(({isFatal, endsAt}) => isFatal && endsAt <= now)) {
			recordServerCrash(simulation, server, now);
		}

		for (const {page} of server.running.filter(({endsAt}) => endsAt <= now)) {
			simulation.responses.record(page, now);
			simulation.suspects.clear(getFingerprint(page), now);
		}

		server.running = server.running.filter(({endsAt}) => endsAt > now);
	}
}

function sendRequest(simulation: Simulation, page: string, isFatal: boolean, now: number): void {
	const {suspects, servers, random, counts} = simulation;
	const decision = suspects.check(getFingerprint(page), now);
	const isBusy = decision.type === 'trial' && servers.some(({running}) => running.some(request => request.page === page));
	counts.innocentRequests += isFatal ? 0 : 1;
	if (decision.type === 'refused' || isBusy) {
		counts.heldRequests += isFatal ? 0 : 1;
		return;
	}

	const free = servers.filter(({downUntil, running}) => downUntil <= now && running.length < service.slots);
	const server = free[Math.floor(random() * free.length)];
	server?.running.push({page, isFatal, endsAt: now + (isFatal ? service.crashAfterMs : service.workMs)});
}

function runCase({crashRate, fatalPageCount}: SimulatedCase, seed: number): QuarantineCounts {
	const random = randomLcg(seed);
	const counts: QuarantineCounts = {innocentRequests: 0, heldRequests: 0, crashesByPage: Array.from({length: fatalPageCount}, () => 0)};
	const simulation: Simulation = {
		suspects: createSuspectTable(), responses: createRecentResponses(), random, counts,
		servers: Array.from({length: service.servers}, () => ({downUntil: 0, startCount: 1, running: []})),
	};
	const pickCount = (perSecond: number): number => randomPoisson.source(random)(perSecond * stepMs / 1000)();
	let rare = 0;
	for (let now = 0; now < simulatedMs; now += stepMs) {
		finishRequests(simulation, now);
		for (let count = pickCount(crashRate); count > 0; count--) {
			const up = simulation.servers.filter(({downUntil}) => downUntil <= now);
			if (up.length > 0) {
				recordServerCrash(simulation, up[Math.floor(random() * up.length)]!, now);
			}
		}

		for (let count = pickCount(service.requestsPerSecond); count > 0; count--) {
			sendRequest(simulation, random() < 0.5 ? `/popular-${Math.floor(random() * service.popularPages)}` : `/rare-${rare++}`, false, now);
		}

		for (let fatalPage = 0; fatalPage < fatalPageCount; fatalPage++) {
			for (let count = pickCount(fatalRequestsPerSecond); count > 0; count--) {
				sendRequest(simulation, `/fatal-${fatalPage}`, true, now);
			}
		}
	}

	return counts;
}

const crashRates = [0, 0.1, 0.2, 0.5, 1] as const;
const fatalPageCounts = [0, 1, 3] as const;

type Point = SimulatedCase & {readonly heldShare: number; readonly meanCrashes: number; readonly maximumCrashes: number};

/** Draws a curve for each number of fatal pages: the share of innocent requests held back, by the rate of other crashes. */
function renderCurve(points: readonly Point[]): string {
	const x = scaleLinear([0, 1], [80, 580]);
	const y = scaleLinear([0, Math.max(0.0001, ...points.map(({heldShare}) => heldShare))], [300, 40]);
	const colours = ['#2a7f4f', '#3f6fa8', '#b3392f'] as const;
	const curves = fatalPageCounts.map((count, index) => {
		const own = points.filter(({fatalPageCount}) => fatalPageCount === count);
		const path = line<Point>(({crashRate}) => x(crashRate), ({heldShare}) => y(heldShare))(own) ?? '';
		return `<path d="${path}" fill="none" stroke="${colours[index]}" stroke-width="2"/><text x="90" y="${20 + (index * 14)}" fill="${colours[index]}">${count} guilty pages</text>`;
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

/** Simulates all cases and prints the table. */
export function runQuarantineCurve({seeds, svg}: QuarantineCurveOptions): void {
	process.stdout.write(`One service: ${service.servers} servers with ${service.slots} slots, ${service.requestsPerSecond} requests a second, ${simulatedMs / 1000} s, seeds 1 to ${seeds}\n\n`);
	process.stdout.write('| other crashes a second | guilty pages | innocent requests held back, of a million | servers ended under a guilty page, mean | worst |\n| --- | --- | --- | --- | --- |\n');
	const points: Point[] = [];
	for (const fatalPageCount of fatalPageCounts) {
		for (const crashRate of crashRates) {
			const allCounts = Array.from({length: seeds}, (_, seed) => runCase({crashRate, fatalPageCount}, seed + 1));
			const crashes = allCounts.flatMap(counts => counts.crashesByPage);
			const point: Point = {
				crashRate, fatalPageCount, heldShare: mean(allCounts.map(({heldRequests, innocentRequests}) => heldRequests / innocentRequests)), meanCrashes: crashes.length === 0 ? 0 : mean(crashes), maximumCrashes: Math.max(0, ...crashes),
			};
			points.push(point);
			process.stdout.write(`| ${crashRate} | ${fatalPageCount} | ${(point.heldShare * 1e6).toFixed(0)} | ${point.meanCrashes.toFixed(2)} | ${point.maximumCrashes} |\n`);
		}
	}

	if (svg !== undefined) {
		writeFileSync(svg, renderCurve(points));
	}
}
