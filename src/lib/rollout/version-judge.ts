/**
 * Judges a version of a service by the outcomes at its first servers, compared
 * with the outcomes of the same routes at the servers of the other versions.
 *
 * Each outcome is good or bad: a failure, or a duration of several times the
 * usual one, is bad. The share of bad outcomes at the other servers is the
 * expected one, so what harms all servers alike does not count against the
 * version. A cumulative sum of the log-likelihood ratio per server and route
 * detects a version that becomes bad after it was good. A single server with bad
 * outcomes may be faulty itself, so at least two have to agree.
 *
 * @module
 */
import {type LifetimeKey} from '../common/server-lifetime.js';
import {
	bucketsPerDoubling, countRuns, emptyRouteTally, fullLoadRoute, sumRouteTallies, type OutcomeTally, type RouteTally,
} from './outcome-tally.js';

/**
 * How certain it is that a version is good: a bad one would look so in 5 % of all cases, in 20 %, or more often but less often
 * than a good one.
 *
 * @internal
 */
export type Certainty = 'certain' | 'likely' | 'possible';

/** @internal */
export type VersionVerdict =
	| {readonly type: 'undecided'; readonly reason: string}
	| {
		readonly type: 'good';
		readonly reason: string;
		/** How certain this is of the route with the weakest evidence. */
		readonly certainty: Certainty;
		/** Whether the version was also good while all slots of its servers were in use. */
		readonly isProvenAtFullLoad: boolean;
	}
	| {readonly type: 'bad'; readonly reason: string};

/** Outcomes at one server of the target version. @internal */
export type TargetServer = {readonly lifetime: LifetimeKey; readonly tally: OutcomeTally};

/** @internal */
export type VersionJudge = {
	/** Judges the target version by the latest tallies. Call it once per change: each call adds what is new since the last one. */
	readonly judge: (targets: readonly TargetServer[], baseline: readonly OutcomeTally[]) => VersionVerdict;
};

/** Smallest expected share of bad outcomes: lets a single failure of a route that never failed before pass. */
const minBaselineShare = 0.02;

/** Increase of the share of bad outcomes that is to be detected. */
const detectedIncrease = 0.3;

/** Largest share of bad outcomes that is compared with. */
const maxShare = 0.95;

/** If more of the outcomes of a route are bad at the other servers, the version is not found good: a bad one would hardly differ. */
const maxComparableShare = 0.25;

/** Cumulative sum at which a server counts as bad: about one false alarm in a thousand requests of a good server, and two have to agree. */
const alarmThreshold = 7;

/** Factor of the threshold for the only server of a version. */
const singleServerFactor = 2;

/** Log-likelihood ratio at which a route counts as good: a bad version passes with a probability of 5 %. */
const acceptThreshold = -3;

/** Log-likelihood ratio at which a route with few outcomes counts as likely good: a bad version passes with a probability of 20 %. */
const likelyThreshold = -1.6;

/** Log-likelihood ratio below which the outcomes of a route are more probable for a good version than for a bad one. */
const possibleThreshold = 0;

/** An outcome is slow if its duration exceeds the lower quartile by this many buckets, a factor of eight. The quartile of a version that is slow for up to half of its requests hardly changes. */
const slowBucketCount = 3 * bucketsPerDoubling;

/** Servers of one service differ in speed by up to this many buckets, a factor of two. A larger difference counts as slow. */
const maxSpeedBucketCount = bucketsPerDoubling;

/** Minimum number of timed requests from which a quartile is taken: of all servers, and of one server. */
const minQuartileCounts = {all: 20, server: 8} as const;

/** Share of the durations below the quartile. */
const quartileShare = 0.25;

/** Routes with a smaller share of the service's requests are not waited for. Their bad outcomes count all the same. */
const minRouteShare = 0.05;

/** Number of servers that have to agree, if there are that many, and share of the servers: of many good ones, two may be faulty themselves. */
const minAgreeing = {servers: 2, share: 1 / 3} as const;

function computeCertainty(ratio: number): Certainty {
	if (ratio <= acceptThreshold) {
		return 'certain';
	}

	return ratio <= likelyThreshold ? 'likely' : 'possible';
}

type RouteBaseline = {
	readonly badShare: number;
	readonly failedShare: number;
	/** Bucket of the lower quartile; `undefined` if there are too few durations. */
	readonly quartile: number | undefined;
};

function findQuartile(durations: readonly number[], minCount: number): number | undefined {
	const total = durations.reduce((sum, count) => sum + count, 0);
	if (total < minCount) {
		return undefined;
	}

	let below = 0;
	for (const [bucket, count] of durations.entries()) {
		below += count;
		if (below >= total * quartileShare) {
			return bucket;
		}
	}

	return undefined;
}

/** Counts the bad outcomes at one server. Durations are compared with the quartile of all servers, adjusted to the speed of this one. */
function countBad({failed, durations}: RouteTally, quartile: number | undefined): number {
	if (quartile === undefined) {
		return failed;
	}

	const ownQuartile = findQuartile(durations, minQuartileCounts.server) ?? quartile;
	const speedDifference = Math.max(-maxSpeedBucketCount, Math.min(maxSpeedBucketCount, ownQuartile - quartile));
	const slowFrom = Math.max(0, quartile + speedDifference + slowBucketCount);
	return failed + durations.slice(slowFrom).reduce((sum, count) => sum + count, 0);
}

function computeBaseline(tallies: readonly RouteTally[]): RouteBaseline {
	const sum = sumRouteTallies(tallies);
	const quartile = findQuartile(sum.durations, minQuartileCounts.all);
	const runs = countRuns(sum);
	const bad = tallies.reduce((total, tally) => total + countBad(tally, quartile), 0);
	const clampShare = (count: number): number => Math.min(maxShare - detectedIncrease, Math.max(minBaselineShare, runs === 0 ? 0 : count / runs));
	return {quartile, badShare: clampShare(bad), failedShare: clampShare(sum.failed)};
}

/** Computes the log-likelihood ratio of a bad version against a good one. */
function computeRatio(good: number, bad: number, expectedShare: number): number {
	const badVersionShare = expectedShare + detectedIncrease;
	return (bad * Math.log(badVersionShare / expectedShare)) + (good * Math.log((1 - badVersionShare) / (1 - expectedShare)));
}

/** Outcomes of one route at one server at the last call, and the cumulative sum. */
type RouteSum = {readonly runs: number; readonly bad: number; readonly cold: RouteTally['cold']; readonly sum: number};

/** Findings about one route. */
type RouteFinding = {readonly isBad: boolean; readonly isComparable: boolean; readonly ratio: number; readonly text: string};

/**
 * @returns A judge without outcomes.
 * @internal
 */
export function createVersionJudge(): VersionJudge {
	const sums = new Map<LifetimeKey, Map<string, RouteSum>>();

	/** Adds what is new at a server to its cumulative sum, which never falls below zero. */
	const updateSum = (lifetime: LifetimeKey, route: string, tally: RouteTally, baseline: RouteBaseline): RouteSum => {
		const routes = sums.get(lifetime) ?? new Map<string, RouteSum>();
		sums.set(lifetime, routes);
		const known = routes.get(route) ?? {
			runs: 0, bad: 0, cold: emptyRouteTally.cold, sum: 0,
		};
		const runs = countRuns(tally);
		const bad = countBad(tally, baseline.quartile);
		const newBad = Math.max(0, bad - known.bad);
		const newGood = Math.max(0, runs - known.runs - newBad);
		const {cold} = tally;
		const coldRatio = computeRatio(Math.max(0, cold.answered - known.cold.answered), Math.max(0, cold.failed - known.cold.failed), baseline.failedShare);
		const next = {
			runs, bad, cold, sum: Math.max(0, known.sum + computeRatio(newGood, newBad, baseline.badShare) + coldRatio),
		};
		routes.set(route, next);
		return next;
	};

	const isAlarm = (tested: readonly RouteSum[], isOnlyServer: boolean): boolean => {
		const alarms = tested.filter(({sum}) => sum >= alarmThreshold).length;
		return alarms >= Math.max(minAgreeing.servers, tested.length * minAgreeing.share) || (isOnlyServer && tested.length === 1 && tested[0]!.sum >= alarmThreshold * singleServerFactor);
	};

	const judgeRoute = (route: string, targets: readonly TargetServer[], baselines: readonly OutcomeTally[]): RouteFinding => {
		const baseline = computeBaseline(baselines.map(({routes}) => routes.get(route) ?? emptyRouteTally));
		const tested = targets.flatMap(({lifetime, tally}) => {
			const outcomes = tally.routes.get(route);
			return outcomes === undefined ? [] : [updateSum(lifetime, route, outcomes, baseline)];
		});
		// A server that alone has bad outcomes is left out: it may be faulty itself.
		const counted = tested.filter(({sum}) => sum < alarmThreshold);
		const runs = counted.reduce((total, server) => total + server.runs, 0);
		const bad = counted.reduce((total, server) => total + server.bad, 0);
		const [allRuns, allBad] = [tested.reduce((total, server) => total + server.runs, 0), tested.reduce((total, server) => total + server.bad, 0)];
		return {
			isComparable: baseline.badShare <= maxComparableShare, isBad: isAlarm(tested, targets.length === 1), ratio: computeRatio(runs - bad, bad, baseline.badShare),
			text: `${route}: ${allBad} of ${allRuns} bad at ${tested.length} servers, ${(baseline.badShare * 100).toFixed(1)} % at the others`,
		};
	};

	/** Lists the routes that the other servers get often enough to wait for them. */
	const listActiveRoutes = (baselines: readonly OutcomeTally[]): readonly string[] => {
		const runs = new Map<string, number>();
		for (const {routes} of baselines) {
			for (const [route, tally] of routes) {
				runs.set(route, (runs.get(route) ?? 0) + countRuns(tally));
			}
		}

		runs.delete(fullLoadRoute);
		const total = [...runs.values()].reduce((sum, count) => sum + count, 0);
		return [...runs].filter(([, count]) => count >= minQuartileCounts.all && count >= total * minRouteShare).map(([route]) => route);
	};

	const decideGood = (findings: ReadonlyMap<string, RouteFinding>, active: readonly string[]): VersionVerdict => {
		const ratios = active.map(route => findings.get(route)?.ratio ?? 0);
		const open = active.find((route, index) => ratios[index]! >= possibleThreshold || !findings.get(route)?.isComparable);
		if (active.length === 0 || open !== undefined) {
			return {type: 'undecided', reason: open === undefined ? 'too few requests at the other servers to compare with' : findings.get(open)?.text ?? `${open}: no requests at the tested servers`};
		}

		const fullLoad = findings.get(fullLoadRoute);
		return {
			type: 'good', reason: active.map(route => findings.get(route)?.text ?? '').join('; '),
			certainty: computeCertainty(Math.max(...ratios)),
			isProvenAtFullLoad: fullLoad !== undefined && fullLoad.isComparable && fullLoad.ratio <= acceptThreshold,
		};
	};

	return {
		judge(targets, baselines) {
			const routes = new Set(targets.flatMap(({tally}) => [...tally.routes.keys()]));
			const findings = new Map([...routes].map(route => [route, judgeRoute(route, targets, baselines)]));
			const worst = [...findings.values()].find(({isBad}) => isBad);
			return worst === undefined ? decideGood(findings, listActiveRoutes(baselines)) : {type: 'bad', reason: worst.text};
		},
	};
}
