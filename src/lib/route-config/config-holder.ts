/**
 * Holds the configuration in force. A lower version is refused, always.
 *
 * @module
 */
import {createConfigHistory, type ConfigStep} from './config-history.js';
import {type RouteConfig} from './route-config.js';
import {createRouteIndex, type RouteIndex} from './route-index.js';
import {computeTextDelta} from './text-delta.js';

/** A configuration and where it came from. @internal */
export type ActiveConfig = {
	readonly config: RouteConfig;
	readonly index: RouteIndex;
	/** As the store holds it: what other nodes are handed. */
	readonly text: string;
};

/** @internal */
export type ConfigHolder = {
	readonly get: () => ActiveConfig | undefined;
	readonly getVersion: () => number;
	/** Puts a configuration in force if it is newer; yields whether it was. */
	readonly applyIfNewer: (candidate: ConfigCandidate) => boolean;
	/** The steps from a version to the one in force; `undefined` if they are not known. */
	readonly listSteps: (from: number) => readonly ConfigStep[] | undefined;
};

/** A configuration that may come into force. @internal */
export type ConfigCandidate = {
	readonly config: RouteConfig;
	readonly text: string;
	/** Where it came from, for the log. */
	readonly source: string;
	/** The steps that led to it, if it came as these. */
	readonly steps?: readonly ConfigStep[];
};

/**
 * @param handleApplied - Told of each configuration that comes into force.
 * @returns A holder of nothing; its version is 0.
 * @internal
 */
export function createConfigHolder(handleApplied: (active: ActiveConfig, source: string) => void): ConfigHolder {
	let active: ActiveConfig | undefined;
	const history = createConfigHistory();
	const getVersion = (): number => active?.config.version ?? 0;
	return {
		get: () => active,
		getVersion,
		listSteps: history.listSteps,
		applyIfNewer({config, text, source, steps}) {
			if (config.version <= getVersion()) {
				return false;
			}

			for (const step of steps ?? computeSteps(active, config, text)) {
				history.add(step);
			}

			// One assignment puts the whole of it in force; a request keeps what it began with.
			active = {
				config, index: createRouteIndex(config), text,
			};
			handleApplied(active, source);
			return true;
		},
	};
}

/** The step from what was in force to what comes, for nodes that lack it. */
function computeSteps(previous: ActiveConfig | undefined, {version}: RouteConfig, text: string): ReadonlyArray<ConfigStep | undefined> {
	return [previous === undefined ? undefined : {from: previous.config.version, to: version, delta: computeTextDelta(previous.text, text)}];
}
