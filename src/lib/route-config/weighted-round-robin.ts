/**
 * Deals the requests of a route to its services by weight, exactly: after any
 * number of requests no part is more than about one request off its share.
 *
 * @module
 */
import {type RouteRule, type WeightedService} from './route-config.js';

/** @internal */
export type WeightedRoundRobin = {
	/** Picks the service of the next request of a route. */
	readonly pick: (route: RouteRule) => string | undefined;
	/** Forgets routes that are no longer in force. */
	readonly retain: (names: ReadonlySet<string>) => void;
};

type WeightState = {readonly key: string; readonly currentWeights: number[]};

const formatKey = (services: readonly WeightedService[]): string => services.map(({service, weight}) => `${service}=${weight}`).join(',');

/** Smooth weighted round robin: the part with the most credit goes next and pays the sum of all weights. */
function pickByCurrentWeight(services: readonly WeightedService[], currentWeights: number[]): string | undefined {
	const total = services.reduce((sum, {weight}) => sum + weight, 0);
	let best = -1;
	for (const [index, {weight}] of services.entries()) {
		currentWeights[index] = (currentWeights[index] ?? 0) + weight;
		if (weight > 0 && (best === -1 || (currentWeights[index] ?? 0) > (currentWeights[best] ?? 0))) {
			best = index;
		}
	}

	if (best === -1) {
		return undefined;
	}

	currentWeights[best] = (currentWeights[best] ?? 0) - total;
	return services[best]?.service;
}

/**
 * @param random - Yields numbers from 0 up to 1; sets where a node begins, so that nodes are not in step.
 * @returns A splitter that has dealt nothing yet.
 * @internal
 */
export function createWeightedRoundRobin(random: () => number): WeightedRoundRobin {
	const states = new Map<string, WeightState>();
	return {
		pick(route) {
			const [only] = route.services;
			if (route.services.length <= 1) {
				return only?.service;
			}

			const key = formatKey(route.services);
			let state = states.get(route.name);
			if (state?.key !== key) {
				state = {key, currentWeights: route.services.map(({weight}) => random() * weight)};
				states.set(route.name, state);
			}

			return pickByCurrentWeight(route.services, state.currentWeights);
		},
		retain(names) {
			for (const name of states.keys()) {
				if (!names.has(name)) {
					states.delete(name);
				}
			}
		},
	};
}
