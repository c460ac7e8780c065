/**
 * Periodic maintenance of a sidecar node: removes the state of backend servers
 * that are gone, and adapts the heap to the rate of calls.
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
	readonly silenceWatchers: SilenceWatchers;
	/** Sets the growth factor of the young generation of this process's heap. */
	readonly applyGrowthFactor: (factor: number) => void;
};

/** @internal */
export type Housekeeping = {
	readonly recordCall: () => void;
	/** Called with each round of heartbeats. A separate timer would wake the process once more per second. */
	readonly handleRound: () => void;
	readonly start: () => void;
	readonly dispose: () => void;
};

/** Minimum time between two measurements of the rate of calls. */
const minLoadCheckIntervalMs = 1000;

const cleanupIntervalMs = 30_000;

/**
 * @param context - The state to clean up, and the setter of the heap's growth factor.
 * @returns The housekeeping, not started yet.
 * @internal
 */
export function createHousekeeping({listPeers, loads, silenceWatchers, applyGrowthFactor}: HousekeepingContext): Housekeeping {
	const youngGeneration = createYoungGenerationTuner(applyGrowthFactor);
	let finishedCalls = 0;
	let loadCheckedAt = readSteadyMs();
	let cleanupTimer: NodeJS.Timeout | undefined;

	/** Removes the state of backend servers that are gone. Servers are replaced all day, so this state would grow without bound. */
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

			youngGeneration.recordLoad(finishedCalls, now - loadCheckedAt);
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
