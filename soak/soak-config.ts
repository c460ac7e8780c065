/**
 * The configurations of a soak. They differ in their routes, so that the handling
 * of a request shows which configurations were in force.
 *
 * @module
 */
import {createTestConfig, type TestRoute, type TestWorkspace} from '../platform/test-mesh.js';

/** Services of the mesh, assigned to the nodes in turn. */
export const services = ['logview', 'hall', 'builds'] as const;

/** @internal */
export type Service = typeof services[number];

/** A route that callers use. */
export type SoakRoute =
	/** Exists in every configuration. */
	| {readonly type: 'steady'; readonly prefix: string; readonly service: Service; readonly isSafe: boolean; readonly attempts: number}
	/** Exists from the configuration with this index on. */
	| {readonly type: 'since'; readonly index: number}
	/** Exists until the configuration with this index removes it. */
	| {readonly type: 'until'; readonly index: number}
	/** Leads to a different service in each configuration. */
	| {readonly type: 'turn'};

type SteadyRoute = Extract<SoakRoute, {readonly type: 'steady'}>;

function createSteadyRoute(prefix: string, service: Service, isSafe: boolean, attempts: number): SteadyRoute {
	return {
		type: 'steady', prefix, service, isSafe, attempts,
	};
}

export const steadyRoutes: readonly SteadyRoute[] = [
	createSteadyRoute('/logs/', 'logview', true, 2),
	createSteadyRoute('/pages/', 'hall', true, 3),
	createSteadyRoute('/publish/', 'hall', false, 2),
	createSteadyRoute('/build/', 'builds', false, 2),
	createSteadyRoute('/upload/', 'logview', false, 2),
];

/** Number of attempts that every route except the steady ones allows. */
const changingRouteAttempts = 2;

/** Time limit of a request on every route. */
export const routeTimeoutMs = 2000;

/** Average difference between the versions of successive configurations. The versions are neither consecutive nor evenly spaced. */
const versionIncrement = 3;

/** @returns The service that a route leads to in the configuration with an index; `undefined` if the route does not exist there. */
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

/** @returns The path prefix of a route. */
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

/** @returns How many times one request of a route may be executed. */
export function getRunLimit(route: SoakRoute): number {
	if (route.type !== 'steady') {
		return changingRouteAttempts;
	}

	return route.isSafe ? route.attempts : 1;
}

/** Keys that callers use. */
export const keys = {
	/** Held by one workspace each in every configuration. */
	steady: ['K-steady-one', 'K-steady-two'],
	/** Held by one workspace or the other, or withdrawn, depending on the configuration. */
	changing: 'K-changing',
	/** Held by no configuration. */
	unknown: 'K-unknown',
} as const;

const steadyKeys: ReadonlyArray<string | undefined> = keys.steady;

/** The workspaces, in the order of their steady keys. */
const workspaceNames = ['one', 'two'] as const;

/** Configurations in turn give the changing key to the first workspace, to the second, and to none. */
const changingKeyPeriod = 3;

/** @returns The workspace that holds a key in the configuration with an index; `undefined` if none does, or there is no key. */
export function getKeyWorkspace(key: string | undefined, index: number): string | undefined {
	return key === keys.changing ? workspaceNames[index % changingKeyPeriod] : workspaceNames[steadyKeys.indexOf(key)];
}

function createWorkspaces(index: number): readonly TestWorkspace[] {
	return workspaceNames.map(name => ({name, keys: [...keys.steady, keys.changing].filter(key => getKeyWorkspace(key, index) === name)}));
}

/** The maximum number of configuration changes in a soak. */
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
 * Creates a configuration.
 *
 * @param index - Its index, from 0.
 * @returns The configuration as operators write it.
 */
export function createSoakConfig(index: number): unknown {
	const changingRoutes = Array.from({length: maxConfigChanges}, (_, offset): readonly SoakRoute[] => [{type: 'since', index: offset + 1}, {type: 'until', index: offset + 1}]).flat();
	const routes = [...steadyRoutes, {type: 'turn'} as const, ...changingRoutes].flatMap(route => createTestRoute(route, index));
	return createTestConfig(1 + (index * versionIncrement) + (index % 2), routes, createWorkspaces(index));
}
