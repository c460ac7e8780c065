/**
 * A model of a service during a rollout, for tests and the experiment: requests
 * arrive, servers of two versions answer them, and the same modules as in a node
 * decide about exposure, judge the version and move the rollout on. It needs no
 * network and no clock.
 *
 * @module
 */
import {toBackendServerId} from '../../src/lib/common/ids.js';
import {toLifetimeKey, unknownStart, type LifetimeKey} from '../../src/lib/common/server-lifetime.js';
import {decideStage} from '../../src/lib/rollout/decide-stage.js';
import {createExposureBudget, type ExposureBudget} from '../../src/lib/rollout/exposure-budget.js';
import {addOutcome, createTally, type OutcomeTally} from '../../src/lib/rollout/outcome-tally.js';
import {createRecord, type RolloutRecord} from '../../src/lib/rollout/rollout-record.js';
import {createVersionJudge} from '../../src/lib/rollout/version-judge.js';

/** How the new version behaves. */
export type ModelVersion =
	| {readonly type: 'good'}
	/** Fails a share of the requests. */
	| {readonly type: 'errors'}
	/** Answers a share of the requests several times slower. */
	| {readonly type: 'slow'}
	/** Fails a share of the requests of one route. */
	| {readonly type: 'one-route'}
	/** Fails a share of the requests while most of its slots are in use. */
	| {readonly type: 'under-load'}
	/** Becomes bad some seconds after its start. */
	| {readonly type: 'late'};

/** What else happens. */
export type ModelTrouble = 'none'
	/** Some servers, of either version, are many times slower. */
	| 'slow-servers'
	/** Some servers, of either version, fail half of the requests. */
	| 'faulty-servers'
	/** All servers lose some of their answers. */
	| 'lost-answers';

export type ModelRollout = {
	readonly version: ModelVersion;
	readonly trouble: ModelTrouble;
	readonly servers: number;
	readonly entries: number;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	readonly maxExposure: number;
	/** Share of the requests that the bad version harms. */
	readonly badShare: number;
	readonly random: () => number;
};

export type ModelOutcome = {
	readonly stage: RolloutRecord['stage'];
	readonly reason: string;
	/** Requests that the new version got before it was promoted or rolled back. */
	readonly exposed: number;
	/** Requests of the service until the end of the ordered duration. */
	readonly requests: number;
	/** Time of the verdict, in milliseconds since the order. */
	readonly endedAtMs: number;
	/** Requests that failed or were slow because of the version. */
	readonly harmed: number;
};

type ModelServer = {
	readonly lifetime: LifetimeKey;
	readonly isTarget: boolean;
	/** Duration of its requests, relative to a usual server. */
	readonly speedFactor: number;
	readonly isFaulty: boolean;
	tally: OutcomeTally;
	/** When its running requests end, in milliseconds. */
	running: number[];
};

/** Time from the order until the servers of the new version are ready, and how long they are slow after that. */
const startMs = 1700;
const coldMs = 3000;

/** Time from the start of the version until a late one becomes bad. */
const lateMs = 3000;

const slotCount = 6;
const meanWorkMs = 160;
const workSpread = 0.8;
const slowVersionFactor = 8;
const troubledShare = 0.2;
const slowServerFactor = 8;
const lostAnswerShare = 0.1;
const baseFailureShare = 0.004;
const roundMs = 400;
const testedServerCount = 3;
const canaryShare = 0.54;
const loadingShare = 0.9;
const speedFactors = [2, 1, 1, 0.67] as const;

const routes = [{name: 'reads', share: 0.8}, {name: 'publications', share: 0.2}] as const;

/** Picks from a log-normal distribution with the given mean. */
function pickWorkMs(random: () => number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return meanWorkMs * Math.exp((workSpread * normal) - (workSpread * workSpread / 2));
}

function createServers({servers, trouble, random}: ModelRollout, isTarget: boolean): readonly ModelServer[] {
	return Array.from({length: servers}, (_, index) => {
		const isTroubled = random() < troubledShare;
		return {
			lifetime: toLifetimeKey({id: toBackendServerId(`${isTarget ? 'new' : 'old'}-${index}`), startedAt: unknownStart}), isTarget,
			speedFactor: speedFactors[Math.floor(random() * speedFactors.length)]! * (isTroubled && trouble === 'slow-servers' ? slowServerFactor : 1),
			isFaulty: isTroubled && trouble === 'faulty-servers', tally: createTally(1), running: [],
		};
	});
}

/** Returns whether the version harms a request. */
function isHarmed({version, badShare, random}: ModelRollout, route: string, usedShare: number, ageMs: number): boolean {
	const isAffected = {
		good: false, errors: true, slow: true, 'one-route': route === 'publications', 'under-load': usedShare >= 0.7, late: ageMs >= startMs + lateMs,
	}[version.type];
	return isAffected && random() < badShare;
}

/**
 * Runs one rollout.
 *
 * @param rollout - The service, the version and the trouble.
 * @returns How the rollout ended.
 */
export function runRollout(rollout: ModelRollout): ModelOutcome {
	const {requestsPerSecond, durationMs, maxExposure, trouble, random, entries} = rollout;
	const others = createServers(rollout, false);
	const targets = createServers(rollout, true);
	const tested = targets.slice(0, testedServerCount);
	const budgets: readonly ExposureBudget[] = Array.from({length: entries}, () => createExposureBudget(random));
	const judge = createVersionJudge();
	let record = createRecord({
		service: 's', targetVersion: 'v2', position: {era: 0, revision: 1}, durationMs,
	});
	let exposed = 0;
	let harmed = 0;
	let requests = 0;
	let endedAtMs = Number.POSITIVE_INFINITY;

	const runRequest = (server: ModelServer, route: string, now: number): void => {
		server.running = server.running.filter(end => end > now);
		const usedShare = (server.running.length + 1) / slotCount;
		const isCold = server.isTarget && now < startMs + coldMs;
		const isHarmedNow = server.isTarget && isHarmed(rollout, route, usedShare, now);
		const tookMs = pickWorkMs(random) * server.speedFactor * (isCold ? 2 : 1) * (isHarmedNow && rollout.version.type === 'slow' ? slowVersionFactor : 1);
		const failures = [baseFailureShare, server.isFaulty ? 0.5 : 0, trouble === 'lost-answers' ? lostAnswerShare : 0];
		const hasFailed = failures.some(share => random() < share) || (isHarmedNow && rollout.version.type !== 'slow');
		harmed += isHarmedNow ? 1 : 0;
		server.running.push(now + tookMs);
		server.tally = addOutcome(server.tally, {
			route, hasFailed, tookMs, isCold, isFullyLoaded: server.running.length >= slotCount,
		});
	};

	const pickServer = (servers: readonly ModelServer[], now: number): ModelServer | undefined => {
		const free = servers.filter(({running}) => running.filter(end => end > now).length < slotCount);
		return free[Math.floor(random() * free.length)];
	};

	/** The servers under test; only one in the load test. */
	const listTested = (): readonly ModelServer[] => record.stage === 'loading' ? tested.slice(0, 1) : tested;

	const send = (now: number): void => {
		const route = random() < routes[0].share ? routes[0].name : routes[1].name;
		const budget = budgets[Math.floor(random() * entries)]!;
		requests++;
		budget.recordRequest('s', route, record.position);
		const share = maxExposure * (record.stage === 'canary' ? canaryShare : loadingShare);
		const target = now >= startMs && budget.hasRemaining('s', route, share) ? pickServer(listTested(), now) : undefined;
		if (target !== undefined) {
			budget.recordExposure('s', route);
			exposed++;
		}

		const server = target ?? pickServer(others, now);
		if (server !== undefined) {
			runRequest(server, route, now);
		}
	};

	const advance = (ageMs: number): void => {
		const isWarm = ageMs >= startMs + coldMs;
		const decision = decideStage({
			record: {...record, ageMs}, verdict: judge.judge(listTested().map(({lifetime, tally}) => ({lifetime, tally})), others.map(({tally}) => tally)),
			reachableTargets: targets.length, promotedMs: 0, targetSlots: isWarm ? targets.length * slotCount : 0, demand: others.reduce((sum, {running}) => sum + running.filter(end => end > ageMs).length, 0),
			busyOthers: 0, silentOthers: 0,
		});
		if (decision.type === 'change') {
			record = {...record, stage: decision.stage, reason: decision.reason};
		}
	};

	const periodMs = 1000 / requestsPerSecond;
	let nextRoundAt = roundMs;
	for (let now = 0; now < durationMs + roundMs && endedAtMs === Number.POSITIVE_INFINITY; now += periodMs) {
		send(now);
		if (now >= nextRoundAt) {
			nextRoundAt += roundMs;
			advance(now);
			endedAtMs = record.stage === 'canary' || record.stage === 'loading' ? endedAtMs : now;
		}
	}

	return {
		stage: record.stage, reason: record.reason, exposed, harmed, endedAtMs, requests: Math.round(requestsPerSecond * durationMs / 1000),
	};
}
