/**
 * Detects nested calls: calls that a backend server makes while it holds a slot
 * for the request that it works on. No field of a request marks them, but a nested
 * call has to finish within the latency objective of the request that waits for it. Its own
 * objective is therefore a small part of those of the service's other routes.
 *
 * A refused nested call wastes the work that its caller has done so far, so
 * nested calls are preferred when slots are short.
 *
 * @module
 */

/** @internal */
export type NestedCallDetector = {
	/** Records a request of a route to a service; returns whether it is considered a nested call. */
	readonly recordCall: (service: string, route: string, targetLatencyMs: number) => boolean;
	/** Removes the state of all routes except these. */
	readonly retain: (routes: ReadonlySet<string>) => void;
};

type RouteTraffic = {requests: number; readonly targetLatencyMs: number};

/** The objective of a nested call is at most this share of the longest objective at the service: a server that makes two calls one after the other needs both responses in time. */
const nestedTargetShare = 0.5;

/** Objectives of routes with less than this share of a service's requests are ignored when others are compared with them: configurations contain many unused routes. */
const minTrafficShare = 0.02;

/** The counts of a service are halved when their sum reaches this, so that only the latest hundreds of requests count: one or two seconds under load. */
const halvingRequestCount = 400;

/**
 * @returns A detector without any recorded request.
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

	/** Whether a route with enough traffic has an objective that is a multiple of this one. */
	const hasLongerRoute = (routes: ReadonlyMap<string, RouteTraffic>, targetLatencyMs: number, total: number): boolean => {
		for (const other of routes.values()) {
			if (hasEnoughTraffic(other.requests, total) && targetLatencyMs <= other.targetLatencyMs * nestedTargetShare) {
				return true;
			}
		}

		return false;
	};

	return {
		recordCall(service, route, targetLatencyMs) {
			const routes = services.get(service) ?? new Map<string, RouteTraffic>();
			services.set(service, routes);
			const known = routes.get(route);
			if (known?.targetLatencyMs === targetLatencyMs) {
				known.requests++;
			} else {
				routes.set(route, {requests: 1, targetLatencyMs});
			}

			let total = 0;
			for (const {requests} of routes.values()) {
				total += requests;
			}

			if (total >= halvingRequestCount) {
				halveCounts(routes);
			}

			return hasLongerRoute(routes, targetLatencyMs, total);
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
