/**
 * Small sample configuration for tests.
 *
 * @module
 */
import {type RouteConfig, type RouteRule} from './route-config.js';

/**
 * @param changes - Properties that differ from the defaults.
 * @returns A route, by default to the service `logview`.
 * @internal
 */
export function createSampleRoute(changes: Partial<RouteRule> = {}): RouteRule {
	return {
		name: 'logs', host: 'build.example', prefix: '/logs/', type: 'safe', services: [{service: 'logview', weight: 1}],
		timeoutMs: 1200, maxAttempts: 2, targetLatencyMs: 400, priority: 2, allowsAnonymous: false, ...changes,
	};
}

/**
 * @param version - Version of the configuration.
 * @param routes - Routes of the configuration.
 * @returns A configuration with these routes and their services.
 * @internal
 */
export function createSampleConfig(version: number, routes: readonly RouteRule[] = [createSampleRoute()]): RouteConfig {
	const services = [...new Set(routes.flatMap(route => route.services.map(({service}) => service)))];
	return {
		version,
		routes,
		services: services.map(name => ({name, healthCheckPath: '/healthz', maxConnections: 130})),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		workspaces: [],
		unreadHosts: new Set(),
		warnings: [],
	};
}
