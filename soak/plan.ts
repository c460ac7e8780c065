/**
 * The plan of a soak: which fault begins when, and for how long. The seed alone
 * repeats it.
 *
 * @module
 */
import {randomExponential, randomLcg} from 'd3-random';
import {type PlatformServerBehaviour} from '../stand-ins/platform-server/platform-server.js';
import {type LinkMode} from './link-proxy.js';
import {mostChanges} from './soak-config.js';

/** How the store treats everybody. */
const storeFaults = ['busy', 'many', 'reset', 'silent', 'lost', 'slow', 'deaf'] as const;
export type StoreTrouble = typeof storeFaults[number];

/** What happens to the store at once. */
const storeEvents = ['leases-end', 'history-forgotten', 'watches-muted'] as const;
export type StoreEvent = typeof storeEvents[number];

const linkModes: ReadonlyArray<Exclude<LinkMode, 'pass'>> = ['delay', 'reset', 'cut-to-server', 'cut-to-client', 'silence', 'turn-away'];

const misbehaviours: readonly PlatformServerBehaviour[] = [
	'lose', 'truncate', 'foreign', 'extra', 'unframed', 'unframed-reset', 'unframed-cut', 'shed', 'fail', 'unsigned', 'garbage', 'hang',
];

/** What goes wrong. `node` is an index; so is it for faults of the backend server beside that node. */
export type FaultAction =
	| {readonly type: 'pause'; readonly node: number; readonly forMs: number}
	| {readonly type: 'kill'; readonly node: number; readonly forMs: number}
	| {readonly type: 'stop'; readonly node: number; readonly forMs: number}
	/** SIGHUP several times in a row; the file may have become unreadable before. */
	| {readonly type: 'hang-up'; readonly node: number; readonly times: number; readonly isUnreadable: boolean}
	| {readonly type: 'store-link'; readonly node: number; readonly mode: Exclude<LinkMode, 'pass'>; readonly forMs: number}
	| {readonly type: 'server-link'; readonly node: number; readonly mode: Exclude<LinkMode, 'pass' | 'turn-away'>; readonly forMs: number}
	| {readonly type: 'store'; readonly trouble: StoreTrouble; readonly forMs: number}
	| {readonly type: 'store-event'; readonly event: StoreEvent}
	/** The store goes away, and comes back from a copy of so many milliseconds before. */
	| {readonly type: 'store-restored'; readonly ageMs: number; readonly forMs: number}
	| {readonly type: 'server-crash'; readonly node: number; readonly times: number; readonly forMs: number; readonly keepsId: boolean}
	| {readonly type: 'server-slow'; readonly node: number; readonly workMs: number; readonly forMs: number}
	| {readonly type: 'server-misbehave'; readonly node: number; readonly behaviours: readonly PlatformServerBehaviour[]}
	/** Says that it has more slots than it has. */
	| {readonly type: 'server-lie'; readonly node: number; readonly forMs: number}
	/** Its heartbeats arrive late, or not at all. */
	| {readonly type: 'server-late'; readonly node: number; readonly delayMs: number; readonly forMs: number}
	| {readonly type: 'server-silent'; readonly node: number; readonly forMs: number}
	/** Leaves in good order; another one comes in its place. */
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
	/** When each new configuration is written. */
	readonly changesAtMs: readonly number[];
};

/** What is played. */
export type SoakSize = {readonly seed: number; readonly seconds: number; readonly nodes: number};

/** Milliseconds without faults: at the start until all know one another, at the end so that the mesh can recover. */
export const quietMs = {start: 3000, end: 12_000} as const;

/** Faults a second, for each node. */
const faultsPerNodeAndSecond = 0.2;

const changesPerSecond = 0.4;

/** Returns of the store from a copy a second. */
const restoresPerSecond = 0.03;

/** Faults last from this long to this long. Milliseconds. */
const shortest = 200;
const longest = 5000;

/** Other writers' values, see `listForeignValues`; the index wraps. */
const foreignValues = 64;

type Draw = {
	readonly pickBelow: (below: number) => number;
	readonly pickOne: <Value>(values: readonly Value[]) => Value;
	readonly pickTime: () => number;
};

function createDraw(random: () => number): Draw {
	const pickBelow = (below: number): number => Math.floor(random() * below);
	return {
		pickBelow,
		pickOne: values => values[pickBelow(values.length)]!,
		pickTime: () => shortest + pickBelow(longest - shortest),
	};
}

/** How often each kind of fault is drawn, against the others. */
const kinds: ReadonlyArray<readonly [number, (draw: Draw, node: number) => FaultAction]> = [
	[5, (draw, node) => ({type: 'pause', node, forMs: draw.pickTime()})],
	[5, (draw, node) => ({type: 'kill', node, forMs: draw.pickTime()})],
	[7, (draw, node) => ({type: 'stop', node, forMs: draw.pickTime()})],
	[4, (draw, node) => ({
		type: 'hang-up', node, times: 1 + draw.pickBelow(3), isUnreadable: draw.pickBelow(3) === 0,
	})],
	[6, (draw, node) => ({
		type: 'store-link', node, mode: draw.pickOne(linkModes), forMs: draw.pickTime(),
	})],
	[4, (draw, node) => ({
		type: 'server-link', node, mode: draw.pickOne(['delay', 'reset', 'cut-to-server', 'cut-to-client', 'silence']), forMs: draw.pickTime(),
	})],
	[4, draw => ({type: 'store', trouble: draw.pickOne(storeFaults), forMs: draw.pickTime()})],
	[2, draw => ({type: 'store-event', event: draw.pickOne(storeEvents)})],
	[6, (draw, node) => ({
		type: 'server-crash', node, times: draw.pickBelow(4) === 0 ? 3 : 1, forMs: Math.round(draw.pickTime() / 2), keepsId: draw.pickBelow(2) === 0,
	})],
	[3, (draw, node) => ({
		type: 'server-slow', node, workMs: 100 + draw.pickBelow(900), forMs: draw.pickTime(),
	})],
	[6, (draw, node) => ({type: 'server-misbehave', node, behaviours: Array.from({length: 1 + draw.pickBelow(4)}, () => draw.pickOne(misbehaviours))})],
	[2, (draw, node) => ({type: 'server-lie', node, forMs: draw.pickTime()})],
	[3, (draw, node) => ({
		type: 'server-late', node, delayMs: draw.pickTime(), forMs: draw.pickTime(),
	})],
	[2, (draw, node) => ({type: 'server-silent', node, forMs: draw.pickTime()})],
	[6, (draw, node) => ({
		type: 'server-drain', node, saysDraining: draw.pickBelow(4) !== 0, forMs: draw.pickTime(),
	})],
	[1, draw => ({type: 'foreign-entry', value: draw.pickBelow(foreignValues)})],
	[2, (draw, node) => ({type: 'foreign-heartbeat', node, value: draw.pickBelow(foreignValues)})],
	[2, (draw, node) => ({type: 'foreign-datagram', node, value: draw.pickBelow(foreignValues)})],
];

const weights = kinds.flatMap(([weight], index) => Array.from({length: weight}, () => index));

/** Times of events that come at random, so often a second, within the time for faults. */
function listTimes(random: () => number, perSecond: number, untilMs: number): readonly number[] {
	const pause = randomExponential.source(random)(perSecond / 1000);
	const times: number[] = [];
	for (let at = quietMs.start + pause(); at < untilMs; at += pause()) {
		times.push(Math.round(at));
	}

	return times;
}

/**
 * @param size - What is played.
 * @returns The plan, which the same size always repeats.
 */
export function planSoak({seed, seconds, nodes}: SoakSize): SoakPlan {
	// Seeds that follow one another give like first draws.
	const random = randomLcg(((seed * 2_654_435_761) % 4_294_967_296) / 4_294_967_296);
	const draw = createDraw(random);
	const randomOfRestores = randomLcg(((seed * 40_503) % 65_536) / 65_536);
	const drawOfRestores = createDraw(randomOfRestores);
	const untilMs = (seconds * 1000) - quietMs.end;
	const faults = listTimes(random, faultsPerNodeAndSecond * nodes, untilMs).map((atMs): PlannedFault => {
		const [, pick] = kinds[draw.pickOne(weights)]!;
		return {...pick(draw, draw.pickBelow(nodes)), atMs};
	});
	// Drawn apart, so that seeds go on playing what they played before there were such.
	const restores = listTimes(randomOfRestores, restoresPerSecond, untilMs).map((atMs): PlannedFault => ({
		type: 'store-restored', ageMs: drawOfRestores.pickTime(), forMs: Math.round(drawOfRestores.pickTime() / 4), atMs,
	}));
	const changesAtMs = listTimes(random, changesPerSecond, untilMs).slice(0, mostChanges);
	return {
		seed, seconds, nodes, changesAtMs, faults: [...faults, ...restores].toSorted((left, right) => left.atMs - right.atMs),
	};
}
