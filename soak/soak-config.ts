/**
 * The configurations of a soak. From how a request was handled, callers can
 * tell which of them were in force.
 *
 * @module
 */
import {createTestConfig, type TestRoute} from '../platform/test-mesh.js';

/** Services of the mesh, dealt to the nodes in turn. */
export const services = ['logview', 'hall', 'builds'] as const;

/** @internal */
export type Service = typeof services[number];

/** A route that callers use. */
export type SoakRoute =
	/** In every configuration. */
	| {readonly type: 'steady'; readonly prefix: string; readonly service: Service; readonly isSafe: boolean; readonly attempts: number}
	/** Added by a configuration, and kept. */
	| {readonly type: 'since'; readonly index: number}
	/** Removed by a configuration. */
	| {readonly type: 'until'; readonly index: number}
	/** Leads to another service with each configuration. */
	| {readonly type: 'turn'};

type SteadyRoute = Extract<SoakRoute, {readonly type: 'steady'}>;

function createSteadyRoute(prefix: string, service: Service, isSafe: boolean, attempts: number): SteadyRoute {
	return {
		type: 'steady', prefix, service, isSafe, attempts,
	};
}

/** Routes that every configuration has. */
export const steadyRoutes: readonly SteadyRoute[] = [
	createSteadyRoute('/logs/', 'logview', true, 2),
	createSteadyRoute('/pages/', 'hall', true, 3),
	createSteadyRoute('/publish/', 'hall', false, 2),
	createSteadyRoute('/build/', 'builds', false, 2),
	createSteadyRoute('/upload/', 'logview', false, 2),
];

/** Repeats that routes other than the steady ones allow. */
const changingRouteAttempts = 2;

/** Milliseconds that a route lets a request wait. */
export const routeTimeoutMs = 2000;

/** Versions grow in uneven steps. */
const versionIncrement = 3;

/** @returns The service that a route leads to in a configuration; `undefined` where it does not exist. */
export function getRouteService(route: SoakRoute, index: number): Service | undefined {
	switch (route.type) {
		case 'steady': {
			return route.service;
		}

		case 'since': {
			return index >= route.index ? 'logview' : undefined;
		}

		case 'until': {
			return index < route.index ? 'builds' : undefined;
		}

		case 'turn': {
			return services[index % services.length];
		}
	}
}

/** @returns Where requests of a route go. */
export function getRoutePrefix(route: SoakRoute): string {
	switch (route.type) {
		case 'steady': {
			return route.prefix;
		}

		case 'since':
		case 'until': {
			return `/${route.type}-${route.index}/`;
		}

		case 'turn': {
			return '/turn/';
		}
	}
}

/** @returns How many backend servers may run one request of a route. */
export function getRunLimit(route: SoakRoute): number {
	if (route.type !== 'steady') {
		return changingRouteAttempts;
	}

	return route.isSafe ? route.attempts : 1;
}

/** The most configurations of a soak. */
export const maxConfigChanges = 40;

function createTestRoute(route: SoakRoute, index: number): readonly TestRoute[] {
	const service = getRouteService(route, index);
	if (service === undefined) {
		return [];
	}

	const type = route.type !== 'steady' || route.isSafe ? 'safe' : (route.prefix === '/upload/' ? 'upload' : 'unsafe');
	return [{
		prefix: getRoutePrefix(route), service, type, timeout: `${routeTimeoutMs}ms`, attempts: route.type === 'steady' ? route.attempts : changingRouteAttempts,
	}];
}

/**
 * @param index - Which one, from 0.
 * @returns The configuration as operators write it.
 */
export function createSoakConfig(index: number): unknown {
	const changingRoutes = Array.from({length: maxConfigChanges}, (_, offset): readonly SoakRoute[] => [{type: 'since', index: offset + 1}, {type: 'until', index: offset + 1}]).flat();
	const routes = [...steadyRoutes, {type: 'turn'} as const, ...changingRoutes].flatMap(route => createTestRoute(route, index));
	return createTestConfig(1 + (index * versionIncrement) + (index % 2), routes);
}
