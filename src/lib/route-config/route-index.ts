/**
 * Finds the route of a request by its host, then by the longest path prefix.
 *
 * @module
 */
import {type RouteConfig, type RouteRule} from './route-config.js';

/** Routes by host, then by prefix. @internal */
export type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, RouteRule>>;

/**
 * @param config - The configuration.
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
 * Removes the port of a host and converts it to lower case, as in the index.
 *
 * @param host - Value of the `Host` header.
 * @returns The normalized host.
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
 * Finds a route. Looks up each prefix of the path that ends with a slash, the
 * longest first, so the cost depends on the depth of the path and not on the
 * number of routes.
 *
 * @param index - The routes.
 * @param host - Value of the `Host` header.
 * @param target - Path and query string.
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
