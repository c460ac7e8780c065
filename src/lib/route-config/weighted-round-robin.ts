/**
 * Smooth weighted round robin over the services of a route: after any number
 * of requests, each service has received its share within about one request.
 *
 * @module
 */
import {type RouteRule, type WeightedService} from './route-config.js';

/** @internal */
export type WeightedRoundRobin = {
	/** Picks the service for the next request of a route: its only service, or one of several by weight. Returns `undefined` if there is none to pick. */
	readonly pick: (route: RouteRule) => string | undefined;
	/** Removes the state of all routes except those named. */
	readonly retain: (names: ReadonlySet<string>) => void;
};

type WeightState = {readonly key: string; readonly currentWeights: number[]};

const formatKey = (services: readonly WeightedService[]): string => services.map(({service, weight}) => `${service}=${weight}`).join(',');

/** Adds to each current weight the weight of its service, picks the service with the largest, and subtracts the sum of all weights from that one. */
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
 * @param random - Returns numbers from 0 to less than 1. Sets the initial weights at random, so that nodes do not all pick the same service at the same time.
 * @returns A round robin without state.
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
