/**
 * Tells the calls that backend servers make from the requests of other
 * callers. Nothing in a request says so, but a call has to fit into the
 * objective of the request that waits for it, so its own objective is a small
 * part of those of the service's other requests.
 *
 * What is told apart is worth a slot: a call that is refused costs the work
 * that its caller has done so far.
 *
 * @module
 */

/** @internal */
export type NestedCallDetector = {
	/** Notes a request of a route to a service; yields whether it is taken for a call of a backend server. */
	readonly recordCall: (service: string, route: string, targetLatencyMs: number) => boolean;
	/** Forgets routes that are gone. */
	readonly retain: (routes: ReadonlySet<string>) => void;
};

type RouteTraffic = {requests: number; readonly targetLatencyMs: number};

/** A call's objective is at most this share of the longest one of the service's requests: a server that makes two calls, one after the other, has to have both answered in time. */
const nestedTargetShare = 0.5;

/** Routes with less than this share of a service's requests say nothing about the others: configurations hold many that nobody uses. */
const minTrafficShare = 0.02;

/** Counts are halved when they reach this: what counts are the latest hundreds of requests, a second or two under load. */
const halvingRequestCount = 400;

/**
 * @returns What has seen no request yet: none is taken for a call.
 * @internal
 */
export function createNestedCallDetector(): NestedCallDetector {
	const services = new Map<string, Map<string, RouteTraffic>>();

	const halveCounts = (routes: ReadonlyMap<string, RouteTraffic>): void => {
		for (const traffic of routes.values()) {
			traffic.requests /= 2;
		}
	};

	const hasEnoughTraffic = (requests: number, total: number): boolean => requests >= total * minTrafficShare;

	return {
		recordCall(service, route, targetLatencyMs) {
			const routes = services.get(service) ?? new Map<string, RouteTraffic>();
			services.set(service, routes);
			const known = routes.get(route);
			const requests = (known?.targetLatencyMs === targetLatencyMs ? known.requests : 0) + 1;
			routes.set(route, {requests, targetLatencyMs});
			const all = [...routes.values()];
			const total = all.reduce((sum, traffic) => sum + traffic.requests, 0);
			if (total >= halvingRequestCount) {
				halveCounts(routes);
			}

			return all.some(other => hasEnoughTraffic(other.requests, total) && targetLatencyMs <= other.targetLatencyMs * nestedTargetShare);
		},
		retain(routeNames) {
			for (const routes of services.values()) {
				for (const name of routes.keys()) {
					if (!routeNames.has(name)) {
						routes.delete(name);
					}
				}
			}
		},
	};
}
