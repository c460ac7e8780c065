/**
 * Finds the route of a request: by host, then by the longest prefix.
 *
 * @module
 */
import {type RouteConfig, type RouteRule} from './route-config.js';

/** Routes arranged for looking up. @internal */
export type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, RouteRule>>;

/**
 * @param config - A whole configuration.
 * @returns Its routes by host and prefix.
 * @internal
 */
export function createRouteIndex(config: RouteConfig): RouteIndex {
	const hosts = new Map<string, Map<string, RouteRule>>();
	for (const route of config.routes) {
		const host = route.host.toLowerCase();
		const rules = hosts.get(host) ?? new Map<string, RouteRule>();
		rules.set(route.prefix, route);
		hosts.set(host, rules);
	}

	return hosts;
}

/**
 * Cuts the port off a host and spells it as routes are looked up.
 *
 * @param host - Value of the `Host` header.
 * @returns The host.
 * @internal
 */
export function normalizeHost(host: string): string {
	return host.toLowerCase().replace(/:\d+$/, '');
}

function removeQuery(target: string): string {
	const query = target.indexOf('?');
	return query === -1 ? target : target.slice(0, query);
}

/**
 * Finds a route. The path is cut back slash by slash, so the cost follows the
 * depth of the path and not the number of routes.
 *
 * @param index - The routes.
 * @param host - Value of the `Host` header.
 * @param target - Path and query.
 * @returns The route, or `undefined` if none matches.
 * @internal
 */
export function findRoute(index: RouteIndex, host: string, target: string): RouteRule | undefined {
	const rules = index.get(normalizeHost(host));
	if (rules === undefined) {
		return undefined;
	}

	const path = removeQuery(target);
	for (let end = path.lastIndexOf('/'); end !== -1; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
		const rule = rules.get(path.slice(0, end + 1));
		if (rule !== undefined) {
			return rule;
		}
	}

	return undefined;
}
