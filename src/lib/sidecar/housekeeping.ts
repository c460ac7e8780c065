/**
 * What a sidecar node does now and then for its own sake: it forgets servers
 * that are gone, and fits its heap to the calls that it makes.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {toLifetimeKey} from '../common/server-lifetime.js';
import {createYoungGeneration} from '../common/young-generation.js';
import {type LoadView} from '../decisions/load-view.js';
import {type PeerLink} from '../peers/peer-link.js';
import {type SilenceWatchers} from './silence-watchers.js';

/** @internal */
export type HousekeepingContext = {
	readonly listPeers: PeerLink['table']['list'];
	readonly loads: LoadView;
	readonly silenceWatchers: SilenceWatchers;
	/** Sets by how much the young generation of this process's heap grows. */
	readonly applyGrowthFactor: (factor: number) => void;
};

/** @internal */
export type Housekeeping = {
	readonly recordCall: () => void;
	/** Called with rounds of heartbeats: a timer of its own would be a wake-up more a second. */
	readonly handleRound: () => void;
	readonly start: () => void;
	readonly dispose: () => void;
};

/** Milliseconds between two looks at how busy the node is, at the least. */
const minLoadCheckIntervalMs = 1000;

/** Milliseconds between two looks for servers that are gone. */
const cleanupIntervalMs = 30_000;

/**
 * @param context - What is known of others, and the heap.
 * @returns Housekeeping that has not started.
 * @internal
 */
export function createHousekeeping({listPeers, loads, silenceWatchers, applyGrowthFactor}: HousekeepingContext): Housekeeping {
	const youngGeneration = createYoungGeneration(applyGrowthFactor);
	let finishedCalls = 0;
	let loadCheckedAt = readSteadyMs();
	let cleanupTimer: NodeJS.Timeout | undefined;

	/** Servers come and go all day: what is known of those that are gone must not pile up. */
	const removeGoneServers = (): void => {
		const known = new Set([...listPeers()].flatMap(({report}) => report.server === undefined ? [] : [toLifetimeKey(report.server.lifetime)]));
		loads.retain(lifetime => known.has(lifetime));
		silenceWatchers.removeUnwatchedNodes();
	};

	return {
		recordCall() {
			finishedCalls++;
		},
		handleRound() {
			const now = readSteadyMs();
			if (now - loadCheckedAt < minLoadCheckIntervalMs) {
				return;
			}

			youngGeneration.note(finishedCalls, now - loadCheckedAt);
			finishedCalls = 0;
			loadCheckedAt = now;
		},
		start() {
			cleanupTimer = setInterval(removeGoneServers, cleanupIntervalMs);
		},
		dispose() {
			clearInterval(cleanupTimer);
		},
	};
}
