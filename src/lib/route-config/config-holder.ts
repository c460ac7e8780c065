/**
 * Holds the configuration in force. A lower version is refused, always.
 *
 * @module
 */
import {type RouteConfig} from './route-config.js';
import {listLastRanks} from './route-rank.js';
import {createRouteIndex, type RouteIndex} from './route-index.js';

/** A configuration and where it came from. @internal */
export type HeldConfig = {
	readonly config: RouteConfig;
	readonly index: RouteIndex;
	/** Highest rank of the routes to each service. */
	readonly lastRanks: ReadonlyMap<string, number>;
	/** As the store holds it: what other nodes are handed. */
	readonly text: string;
};

/** @internal */
export type ConfigHolder = {
	readonly get: () => HeldConfig | undefined;
	readonly getVersion: () => number;
	/** Puts a configuration in force if it is newer; yields whether it was. */
	readonly adopt: (config: RouteConfig, text: string, source: string) => boolean;
};

/**
 * @param handleAdopted - Told of each configuration that comes into force.
 * @returns A holder of nothing; its version is 0.
 * @internal
 */
export function createConfigHolder(handleAdopted: (held: HeldConfig, source: string) => void): ConfigHolder {
	let held: HeldConfig | undefined;
	const getVersion = (): number => held?.config.version ?? 0;
	return {
		get: () => held,
		getVersion,
		adopt(config, text, source) {
			if (config.version <= getVersion()) {
				return false;
			}

			// One assignment puts the whole of it in force; a request keeps what it began with.
			held = {
				config, index: createRouteIndex(config), lastRanks: listLastRanks(config), text,
			};
			handleAdopted(held, source);
			return true;
		},
	};
}
