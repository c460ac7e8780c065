/**
 * Compares two places for the limit of a backend server, under faults: the gate
 * beside the server, where the requests of all nodes arrive, and shares at the
 * entries, each of which lets through its part of the limit.
 *
 * The gate uses the limiter and the load view of real nodes. Latencies between nodes
 * are left out.
 *
 * @module
 */
import {randomExponential, randomLcg} from 'd3-random';
import {createTokenBucket, takeToken, type TokenBucket} from '../../src/lib/common/token-bucket.js';
import {toBackendServerId} from '../../src/lib/common/ids.js';
import {toLifetimeKey} from '../../src/lib/common/server-lifetime.js';
import {createLoadView, type LoadView} from '../../src/lib/decisions/load-view.js';
import {admitLimited, createLimiterState, type LimiterState} from '../../src/lib/server-notices/limiter-state.js';

/** Where the limit is kept. */
export type LimitDesign = 'gate' | 'shares';

/** What else happens. */
export type LimitTrouble =
	| 'none'
	/** Two thirds of the requests come at a fifth of the entries. */
	| 'uneven'
	/** The nodes hear only those of their half of the mesh; all reach the server's node. */
	| 'cut'
	/** The node beside the server restarts every three seconds. */
	| 'gate-restarts'
	/** A tenth of the entries restart each second, and know only themselves until they have heard the others. */
	| 'entries-restart'
	/** The node beside the server stands still for two seconds, again and again. */
	| 'freezes';

export type LimitModel = {
	readonly design: LimitDesign;
	readonly trouble: LimitTrouble;
	readonly nodes: number;
	readonly limitPerSecond: number;
	/** Requests a second that the entries would send to the server, as a multiple of the limit. */
	readonly demand: number;
	readonly durationMs: number;
	readonly random: () => number;
};

export type LimitModelOutcome = {
	/** Most requests that the server got in a span. */
	readonly most: number;
	/** Requests that the rule allows in a span. */
	readonly allowed: number;
	/** Share of what the limit allows, or of the demand if that is less, that the server got. */
	readonly usedShare: number;
	/** Requests that a gate refused, for each that the server got. */
	readonly refusedPerRequest: number;
};

const spanMs = 4000;
const stepMs = 1;
const restartPeriodMs = 3000;
const freezePeriodMs = 6000;
const freezeMs = 2000;

/** Time until an entry that restarted has heard the other nodes. */
const joinMs = 800;
const entryRestartsPerSecond = 0.1;

const server = toLifetimeKey({id: toBackendServerId('limited'), startedAt: 1});

type Entry = {
	readonly loads: LoadView;
	bucket: TokenBucket;
	startedAt: number;
};

/** Asks the place that keeps the limit. Returns whether the request goes to the server, and whether a gate refused it. */
type Ask = (entry: Entry, now: number) => 'sent' | 'refused' | 'kept';

const caller = 'caller';

function createGateAsk({limitPerSecond, random}: LimitModel): {readonly ask: Ask; readonly restart: (now: number) => void} {
	let state: LimiterState = createLimiterState(limitPerSecond, 0);
	let nextId = 1;
	return {
		ask({loads}, now) {
			if (loads.get(server).limitedUntil > now) {
				return 'kept';
			}

			const step = admitLimited(state, {
				id: nextId++, caller, rank: 1, mayWaitMs: 0,
			}, now);
			state = step.state;
			if (step.decision.type === 'run') {
				loads.recordLimit(server, limitPerSecond);
				return 'sent';
			}

			const waitMs = step.decision.type === 'refused' ? step.decision.retryAfterMs : 0;
			loads.recordLimited(server, waitMs * (1 + random()), now);
			return 'refused';
		},
		restart(now) {
			state = createLimiterState(limitPerSecond, now);
		},
	};
}

const createShareAsk = ({limitPerSecond, nodes, trouble}: LimitModel): Ask => (entry, now) => {
	const isJoining = now - entry.startedAt < joinMs && entry.startedAt > 0;
	const known = isJoining ? 1 : (trouble === 'cut' ? nodes / 2 : nodes);
	const step = takeToken(entry.bucket, {perSecond: limitPerSecond / known, burst: 1}, now);
	entry.bucket = step.bucket;
	return step.isTaken ? 'sent' : 'kept';
};

const pickEntry = (model: LimitModel): number => {
	const {nodes, random, trouble} = model;
	const hot = Math.max(1, Math.floor(nodes / 5));
	return trouble === 'uneven' && random() < 2 / 3 ? Math.floor(random() * hot) : Math.floor(random() * nodes);
};

function countMost(times: readonly number[]): number {
	let first = 0;
	let most = 0;
	for (const [index, at] of times.entries()) {
		while (times[first]! <= at - spanMs) {
			first++;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}

/**
 * Runs the model.
 *
 * @param model - The design, the mesh and the trouble.
 * @returns What the server got, and what that cost.
 */
export function runLimitModel(model: LimitModel): LimitModelOutcome {
	const {design, trouble, nodes, limitPerSecond, demand, durationMs, random} = model;
	const entries: Entry[] = Array.from({length: nodes}, () => ({loads: createLoadView(), bucket: createTokenBucket({perSecond: limitPerSecond / nodes, burst: 1}, 0), startedAt: 0}));
	const gate = createGateAsk(model);
	const ask = design === 'gate' ? gate.ask : createShareAsk(model);
	const drawGap = randomExponential.source(random)(limitPerSecond * demand / 1000);
	const times: number[] = [];
	let refused = 0;
	let nextAt = drawGap();

	const sendAt = (now: number): void => {
		const result = ask(entries[pickEntry(model)]!, now);
		refused += result === 'refused' ? 1 : 0;
		if (result === 'sent') {
			times.push(now);
		}
	};

	const applyTrouble = (now: number): void => {
		if (trouble === 'gate-restarts' && now % restartPeriodMs === 0) {
			gate.restart(now);
		}

		if (trouble === 'entries-restart' && random() < nodes * entryRestartsPerSecond * stepMs / 1000) {
			const index = Math.floor(random() * nodes);
			entries[index] = {loads: createLoadView(), bucket: createTokenBucket({perSecond: limitPerSecond, burst: 1}, now), startedAt: now};
		}
	};

	for (let now = stepMs; now < durationMs; now += stepMs) {
		applyTrouble(now);
		// What comes while the server's node stands still is delivered when it goes on.
		const isFrozen = trouble === 'freezes' && now % freezePeriodMs < freezeMs;
		while (nextAt <= now && !isFrozen) {
			sendAt(now);
			nextAt += drawGap();
		}
	}

	const possible = Math.min(1, demand) * limitPerSecond * durationMs / 1000;
	return {
		most: countMost(times), allowed: Math.floor((limitPerSecond * 1.5 * spanMs / 1000) + 5), usedShare: times.length / possible, refusedPerRequest: refused / Math.max(1, times.length),
	};
}

/** Creates the random numbers of a seed. */
export const createModelRandom = (seed: number): (() => number) => randomLcg((seed + 0.5) / 1000);
