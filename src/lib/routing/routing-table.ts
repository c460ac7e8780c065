/**
 * Finds the route of a request.
 *
 * @module
 */
import {type Configuration, getItem, listItems} from '../configuration/configuration.js';
import {type ItemChange} from '../configuration/configured-item.js';
import {type Item, type Route} from '../configuration/item.js';
import {type RequestAttributes} from '../policy/request-attributes.js';

/** Routes by host, the most specific first. @internal */
export type RoutingTable = {
	readonly byHost: ReadonlyMap<string, readonly Route[]>;
};

/** Wildcard host of a route. It is tried after the routes of the exact host. @internal */
export const anyHost = '*';

function compareRoutes(left: Route, right: Route): number {
	return right.path.length - left.path.length
		|| Object.keys(right.headers).length - Object.keys(left.headers).length
		|| Number(right.methods.length > 0) - Number(left.methods.length > 0)
		|| (left.name < right.name ? -1 : 1);
}

function isRoute(item: Item): item is Route {
	return item.kind === 'route';
}

/**
 * Builds the routing table of a configuration.
 *
 * @param configuration - The configuration.
 * @returns Its routing table.
 * @internal
 */
export function buildRoutingTable(configuration: Configuration): RoutingTable {
	const byHost = new Map<string, Route[]>();
	for (const route of listItems(configuration).map(({item}) => item).filter(item => isRoute(item))) {
		const routes = byHost.get(route.host) ?? [];
		routes.push(route);
		byHost.set(route.host, routes);
	}

	return {byHost: new Map([...byHost].map(([host, routes]) => [host, routes.toSorted(compareRoutes)]))};
}

/**
 * Updates a routing table to the next version incrementally.
 *
 * @param table - The table of the previous version.
 * @param before - The previous version.
 * @param changes - The changes of the next version.
 * @returns The table of the next version, which shares the routes of unchanged hosts with `table`.
 * @internal
 */
export function updateRoutingTable(table: RoutingTable, before: Configuration, changes: readonly ItemChange[]): RoutingTable {
	const removed: Route[] = [];
	const added = new Map<string, Route>();
	for (const change of changes) {
		const key = change.type === 'put' ? `${change.item.kind}/${change.item.name}` as const : change.key;
		const old = getItem(before, key)?.item;
		if (old !== undefined && isRoute(old)) {
			removed.push(old);
		}

		added.delete(key);
		if (change.type === 'put' && isRoute(change.item)) {
			added.set(key, change.item);
		}
	}

	if (removed.length === 0 && added.size === 0) {
		return table;
	}

	const byHost = new Map(table.byHost);
	for (const route of removed) {
		byHost.set(route.host, (byHost.get(route.host) ?? []).filter(other => other.name !== route.name));
	}

	for (const route of added.values()) {
		byHost.set(route.host, [...byHost.get(route.host) ?? [], route].toSorted(compareRoutes));
	}

	return {byHost};
}

function matchesPath(prefix: string, path: string): boolean {
	if (prefix === '/' || prefix === path) {
		return true;
	}

	// "/logs" matches "/logs/1" but not "/logstash".
	return path.startsWith(prefix) && (prefix.endsWith('/') || path[prefix.length] === '/');
}

function isMatch(route: Route, request: RequestAttributes): boolean {
	const isMethod = route.methods.length === 0 || route.methods.includes(request.method);
	return isMethod && matchesPath(route.path, request.path) && Object.entries(route.headers).every(([name, value]) => request.headers.get(name) === value);
}

/**
 * Finds the route of a request. A route of the exact host takes precedence over a wildcard route, then the one with the longer path.
 *
 * @param table - The routing table.
 * @param request - The request.
 * @returns The route, or `undefined` if none matches.
 * @internal
 */
export function findRoute(table: RoutingTable, request: RequestAttributes): Route | undefined {
	const host = request.host.replace(/:\d+$/, '').toLowerCase();
	return table.byHost.get(host)?.find(route => isMatch(route, request)) ?? table.byHost.get(anyHost)?.find(route => isMatch(route, request));
}
