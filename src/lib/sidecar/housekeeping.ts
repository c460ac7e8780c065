/**
 * What a sidecar node does now and then for its own sake: it forgets servers
 * that are gone, and fits its heap to the calls that it makes.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {toLifetimeKey} from '../common/server-lifetime.js';
import {createYoungGenerationTuner} from '../common/young-generation-tuner.js';
import {type LoadView} from '../decisions/load-view.js';
import {type PeerLink} from '../peers/peer-link.js';
import {type SilenceWatchers} from './silence-watchers.js';

/** @internal */
export type HousekeepingContext = {
	readonly listPeers: PeerLink['table']['list'];
	readonly loads: LoadView;
	readonly silence: SilenceWatchers;
	/** Sets by how much the young generation of this process's heap grows. */
	readonly applyGrowthFactor: (factor: number) => void;
};

/** @internal */
export type Housekeeping = {
	readonly noteCall: () => void;
	/** Called with rounds of heartbeats: a timer of its own would be a wake-up more a second. */
	readonly handleRound: () => void;
	readonly start: () => void;
	readonly dispose: () => void;
};

/** Milliseconds between two looks at how busy the node is, at the least. */
const loadCheckMs = 1000;

/** Milliseconds between two looks for servers that are gone. */
const forgetMs = 30_000;

/**
 * @param context - What is known of others, and the heap.
 * @returns Housekeeping that has not started.
 * @internal
 */
export function createHousekeeping({listPeers, loads, silence, applyGrowthFactor}: HousekeepingContext): Housekeeping {
	const young = createYoungGenerationTuner(applyGrowthFactor);
	let finishedCalls = 0;
	let loadCheckedAt = readSteadyMs();
	let forgetTimer: NodeJS.Timeout | undefined;

	/** Servers come and go all day: what is known of those that are gone must not pile up. */
	const forgetGone = (): void => {
		const known = new Set([...listPeers()].flatMap(({report}) => report.server === undefined ? [] : [toLifetimeKey(report.server.lifetime)]));
		loads.retain(lifetime => known.has(lifetime));
		silence.forgetIdle();
	};

	return {
		noteCall() {
			finishedCalls++;
		},
		handleRound() {
			const now = readSteadyMs();
			if (now - loadCheckedAt < loadCheckMs) {
				return;
			}

			young.recordLoad(finishedCalls, now - loadCheckedAt);
			finishedCalls = 0;
			loadCheckedAt = now;
		},
		start() {
			forgetTimer = setInterval(forgetGone, forgetMs);
		},
		dispose() {
			clearInterval(forgetTimer);
		},
	};
}
