/**
 * The plan of a soak: which fault begins when, and for how long. It is generated
 * from the seed, so the same parameters always give the same plan.
 *
 * @module
 */
import {randomExponential, randomLcg} from 'd3-random';
import {type PlatformServerBehaviour} from '../stand-ins/platform-server/apply-behaviour.js';
import {type LinkMode} from './link-proxy.js';
import {maxConfigChanges} from './soak-config.js';

/** How the store treats the calls of all nodes while a fault lasts. */
const storeFaultModes = ['busy', 'many', 'reset', 'silent', 'lost', 'slow', 'deaf'] as const;
export type StoreFaultMode = typeof storeFaultModes[number];

/** Faults of the store that are injected once and have no duration. */
const storeEvents = ['leases-end', 'history-forgotten', 'watches-muted'] as const;
export type StoreEvent = typeof storeEvents[number];

const faultyLinkModes: ReadonlyArray<Exclude<LinkMode, 'pass'>> = ['delay', 'reset', 'cut-to-server', 'cut-to-client', 'silence', 'turn-away'];

const misbehaviours: readonly PlatformServerBehaviour[] = [
	'lose', 'truncate', 'foreign', 'extra', 'unframed', 'unframed-reset', 'unframed-cut', 'shed', 'fail', 'unsigned', 'garbage', 'hang',
];

/** A fault. `node` is the index of a node; for faults of a backend server, of the node beside it. */
export type FaultAction =
	| {readonly type: 'pause'; readonly node: number; readonly forMs: number}
	| {readonly type: 'kill'; readonly node: number; readonly forMs: number}
	| {readonly type: 'stop'; readonly node: number; readonly forMs: number}
	/** The node receives SIGHUP several times in a row; its settings file may be malformed at that time. */
	| {readonly type: 'hang-up'; readonly node: number; readonly times: number; readonly isUnreadable: boolean}
	| {readonly type: 'store-link'; readonly node: number; readonly mode: Exclude<LinkMode, 'pass'>; readonly forMs: number}
	| {readonly type: 'server-link'; readonly node: number; readonly mode: Exclude<LinkMode, 'pass' | 'turn-away'>; readonly forMs: number}
	| {readonly type: 'store'; readonly trouble: StoreFaultMode; readonly forMs: number}
	| {readonly type: 'store-event'; readonly event: StoreEvent}
	/** The store is unavailable for `forMs`, then is restored from a backup taken `ageMs` before it became unavailable. */
	| {readonly type: 'store-restored'; readonly ageMs: number; readonly forMs: number}
	| {readonly type: 'server-crash'; readonly node: number; readonly times: number; readonly forMs: number; readonly keepsId: boolean}
	| {readonly type: 'server-slow'; readonly node: number; readonly workMs: number; readonly forMs: number}
	| {readonly type: 'server-misbehave'; readonly node: number; readonly behaviours: readonly PlatformServerBehaviour[]}
	/** The server names a limit in all its responses. */
	| {readonly type: 'server-limit'; readonly node: number; readonly perSecond: number; readonly forMs: number}
	/** The server hangs when it is full, until it ends, and loses a request. */
	| {readonly type: 'server-hang'; readonly node: number; readonly forMs: number}
	/** Announces more slots than the server has. */
	| {readonly type: 'server-lie'; readonly node: number; readonly forMs: number}
	/** Heartbeats of the server arrive late. */
	| {readonly type: 'server-late'; readonly node: number; readonly delayMs: number; readonly forMs: number}
	/** The server sends no heartbeats. */
	| {readonly type: 'server-silent'; readonly node: number; readonly forMs: number}
	/** The server drains and leaves; a server with a new id replaces it. */
	| {readonly type: 'server-drain'; readonly node: number; readonly saysDraining: boolean; readonly forMs: number}
	| {readonly type: 'foreign-entry'; readonly value: number}
	| {readonly type: 'foreign-heartbeat'; readonly node: number; readonly value: number}
	| {readonly type: 'foreign-datagram'; readonly node: number; readonly value: number};

export type PlannedFault = FaultAction & {readonly atMs: number};

export type SoakPlan = {
	readonly seed: number;
	readonly seconds: number;
	readonly nodes: number;
	readonly faults: readonly PlannedFault[];
	/** When each new configuration is written to the store, in milliseconds since the start. */
	readonly changesAtMs: readonly number[];
};

/** Parameters that determine a plan. */
export type SoakParameters = {readonly seed: number; readonly seconds: number; readonly nodes: number};

/** Milliseconds without faults: at the start until all nodes have joined, at the end so that the mesh can recover. */
export const faultFreeMs = {start: 3000, end: 12_000} as const;

const faultsPerNodePerSecond = 0.2;

const changesPerSecond = 0.4;

/** Restores of the store from a backup, per second. */
const restoresPerSecond = 0.03;

/** Limits that servers name, per second, in requests per second. A limit lasts longer than the time after which the mesh has to keep it. */
const limitsPerSecond = 0.15;
const namedLimits = [0.5, 2, 5] as const;
const shortestLimitMs = 4000;

/** Servers that hang when they are full, per second. */
const hangsPerSecond = 0.15;
const shortestHangMs = 2000;

/** Shortest and longest duration of a fault. */
const shortestFaultMs = 200;
const longestFaultMs = 5000;

/** Exclusive upper bound of the index of an invalid value; an index beyond the list of these values wraps around. */
const invalidValueIndexBound = 64;

type RandomPicker = {
	readonly pickInteger: (below: number) => number;
	readonly pickOne: <Value>(values: readonly Value[]) => Value;
	readonly pickDurationMs: () => number;
};

function createRandomPicker(random: () => number): RandomPicker {
	const pickInteger = (below: number): number => Math.floor(random() * below);
	return {
		pickInteger,
		pickOne: values => values[pickInteger(values.length)]!,
		pickDurationMs: () => shortestFaultMs + pickInteger(longestFaultMs - shortestFaultMs),
	};
}

/** The relative frequency of each kind of fault, and the function that generates one. */
const faultGenerators: ReadonlyArray<readonly [number, (picker: RandomPicker, node: number) => FaultAction]> = [
	[5, (picker, node) => ({type: 'pause', node, forMs: picker.pickDurationMs()})],
	[5, (picker, node) => ({type: 'kill', node, forMs: picker.pickDurationMs()})],
	[7, (picker, node) => ({type: 'stop', node, forMs: picker.pickDurationMs()})],
	[4, (picker, node) => ({
		type: 'hang-up', node, times: 1 + picker.pickInteger(3), isUnreadable: picker.pickInteger(3) === 0,
	})],
	[6, (picker, node) => ({
		type: 'store-link', node, mode: picker.pickOne(faultyLinkModes), forMs: picker.pickDurationMs(),
	})],
	[4, (picker, node) => ({
		type: 'server-link', node, mode: picker.pickOne(['delay', 'reset', 'cut-to-server', 'cut-to-client', 'silence']), forMs: picker.pickDurationMs(),
	})],
	[4, picker => ({type: 'store', trouble: picker.pickOne(storeFaultModes), forMs: picker.pickDurationMs()})],
	[2, picker => ({type: 'store-event', event: picker.pickOne(storeEvents)})],
	[6, (picker, node) => ({
		type: 'server-crash', node, times: picker.pickInteger(4) === 0 ? 3 : 1, forMs: Math.round(picker.pickDurationMs() / 2), keepsId: picker.pickInteger(2) === 0,
	})],
	[3, (picker, node) => ({
		type: 'server-slow', node, workMs: 100 + picker.pickInteger(900), forMs: picker.pickDurationMs(),
	})],
	[6, (picker, node) => ({type: 'server-misbehave', node, behaviours: Array.from({length: 1 + picker.pickInteger(4)}, () => picker.pickOne(misbehaviours))})],
	[2, (picker, node) => ({type: 'server-lie', node, forMs: picker.pickDurationMs()})],
	[3, (picker, node) => ({
		type: 'server-late', node, delayMs: picker.pickDurationMs(), forMs: picker.pickDurationMs(),
	})],
	[2, (picker, node) => ({type: 'server-silent', node, forMs: picker.pickDurationMs()})],
	[6, (picker, node) => ({
		type: 'server-drain', node, saysDraining: picker.pickInteger(4) !== 0, forMs: picker.pickDurationMs(),
	})],
	[1, picker => ({type: 'foreign-entry', value: picker.pickInteger(invalidValueIndexBound)})],
	[2, (picker, node) => ({type: 'foreign-heartbeat', node, value: picker.pickInteger(invalidValueIndexBound)})],
	[2, (picker, node) => ({type: 'foreign-datagram', node, value: picker.pickInteger(invalidValueIndexBound)})],
];

const weightedGeneratorIndexes = faultGenerators.flatMap(([weight], index) => Array.from({length: weight}, () => index));

/** Returns the times of a Poisson process with the given rate, in milliseconds, between the fault-free times. */
function pickPoissonTimes(random: () => number, perSecond: number, untilMs: number): readonly number[] {
	const pickIntervalMs = randomExponential.source(random)(perSecond / 1000);
	const times: number[] = [];
	for (let at = faultFreeMs.start + pickIntervalMs(); at < untilMs; at += pickIntervalMs()) {
		times.push(Math.round(at));
	}

	return times;
}

/**
 * Generates the plan of a soak.
 *
 * @param parameters - Seed, duration and number of nodes.
 * @returns The plan; the same parameters always give the same plan.
 */
export function planSoak({seed, seconds, nodes}: SoakParameters): SoakPlan {
	// The linear congruential generator gives similar first numbers for consecutive seeds, so the seed is spread out first.
	const random = randomLcg(((seed * 2_654_435_761) % 4_294_967_296) / 4_294_967_296);
	const picker = createRandomPicker(random);
	const restoreRandom = randomLcg(((seed * 40_503) % 65_536) / 65_536);
	const restorePicker = createRandomPicker(restoreRandom);
	const untilMs = (seconds * 1000) - faultFreeMs.end;
	const faults = pickPoissonTimes(random, faultsPerNodePerSecond * nodes, untilMs).map((atMs): PlannedFault => {
		const [, createFault] = faultGenerators[picker.pickOne(weightedGeneratorIndexes)]!;
		return {...createFault(picker, picker.pickInteger(nodes)), atMs};
	});
	// Restores have a random generator of their own, so that the other faults of a seed do not depend on them.
	const restores = pickPoissonTimes(restoreRandom, restoresPerSecond, untilMs).map((atMs): PlannedFault => ({
		type: 'store-restored', ageMs: restorePicker.pickDurationMs(), forMs: Math.round(restorePicker.pickDurationMs() / 4), atMs,
	}));
	// So have limits.
	const limitRandom = randomLcg(((seed * 30_269) % 65_536) / 65_536);
	const limitPicker = createRandomPicker(limitRandom);
	const limits = pickPoissonTimes(limitRandom, limitsPerSecond, untilMs).map((atMs): PlannedFault => ({
		type: 'server-limit', node: limitPicker.pickInteger(nodes), perSecond: limitPicker.pickOne(namedLimits), forMs: shortestLimitMs + limitPicker.pickDurationMs(), atMs,
	}));
	// So have hangs.
	const hangRandom = randomLcg(((seed * 50_021) % 65_536) / 65_536);
	const hangPicker = createRandomPicker(hangRandom);
	const hangs = pickPoissonTimes(hangRandom, hangsPerSecond, untilMs).map((atMs): PlannedFault => ({
		type: 'server-hang', node: hangPicker.pickInteger(nodes), forMs: shortestHangMs + hangPicker.pickDurationMs(), atMs,
	}));
	const changesAtMs = pickPoissonTimes(random, changesPerSecond, untilMs).slice(0, maxConfigChanges);
	return {
		seed, seconds, nodes, changesAtMs, faults: [...faults, ...restores, ...limits, ...hangs].toSorted((left, right) => left.atMs - right.atMs),
	};
}
