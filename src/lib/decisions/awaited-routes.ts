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
export type AwaitedRoutes = {
	/** Notes a request of a route to a service; yields whether it is taken for a call of a backend server. */
	readonly note: (service: string, route: string, targetLatencyMs: number) => boolean;
	/** Forgets routes that are gone. */
	readonly retain: (routes: ReadonlySet<string>) => void;
};

type Traffic = {requests: number; readonly targetLatencyMs: number};

/** A call's objective is at most this share of the longest one of the service's requests: a server that makes two calls, one after the other, has to have both answered in time. */
const awaitedShare = 0.5;

/** Routes with less than this share of a service's requests say nothing about the others: configurations hold many that nobody uses. */
const leastShare = 0.02;

/** Counts are halved when they reach this: what counts are the latest hundreds of requests, a second or two under load. */
const rememberedRequests = 400;

/**
 * @returns What has seen no request yet: none is taken for a call.
 * @internal
 */
export function createAwaitedRoutes(): AwaitedRoutes {
	const services = new Map<string, Map<string, Traffic>>();

	const forgetHalf = (routes: ReadonlyMap<string, Traffic>): void => {
		for (const traffic of routes.values()) {
			traffic.requests /= 2;
		}
	};

	const isUsed = (requests: number, total: number): boolean => requests >= total * leastShare;

	return {
		note(service, route, targetLatencyMs) {
			const routes = services.get(service) ?? new Map<string, Traffic>();
			services.set(service, routes);
			const known = routes.get(route);
			const requests = (known?.targetLatencyMs === targetLatencyMs ? known.requests : 0) + 1;
			routes.set(route, {requests, targetLatencyMs});
			const all = [...routes.values()];
			const total = all.reduce((sum, traffic) => sum + traffic.requests, 0);
			if (total >= rememberedRequests) {
				forgetHalf(routes);
			}

			return all.some(other => isUsed(other.requests, total) && targetLatencyMs <= other.targetLatencyMs * awaitedShare);
		},
		retain(names) {
			for (const routes of services.values()) {
				for (const name of routes.keys()) {
					if (!names.has(name)) {
						routes.delete(name);
					}
				}
			}
		},
	};
}
