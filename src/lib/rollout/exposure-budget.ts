/**
 * Limits the requests that this node sends to a version that is not proven yet.
 * Each node spends only a share of its own requests, so the sum over all nodes
 * stays within the operators' limit even if the nodes cannot reach one another.
 *
 * @module
 */
import {type StorePosition} from '../store/store-position.js';

/** @internal */
export type ExposureBudget = {
	/** Records a request to the service under the order at a position. A later order starts with an unused budget. */
	readonly recordRequest: (service: string, route: string, order: StorePosition) => void;
	/** Returns whether this node may send a request of the route to the target version. */
	readonly hasRemaining: (service: string, route: string, share: number) => boolean;
	/** Records that a request was sent to the target version. */
	readonly recordExposure: (service: string, route: string) => void;
	/** Takes back an exposure whose request did not reach a server. */
	readonly releaseExposure: (service: string, route: string) => void;
};

type RouteBudget = {
	/** Random start, so that the nodes together send the share from the beginning, even if each gets only a few requests. */
	readonly offset: number;
	requests: number;
	exposures: number;
};

type ServiceBudget = {readonly order: StorePosition; readonly routes: Map<string, RouteBudget>};

/**
 * @param random - Returns numbers from 0 to less than 1.
 * @returns A budget without requests.
 * @internal
 */
export function createExposureBudget(random: () => number): ExposureBudget {
	const services = new Map<string, ServiceBudget>();

	const changeExposures = (service: string, route: string, change: number): void => {
		const budget = services.get(service)?.routes.get(route);
		if (budget !== undefined) {
			budget.exposures = Math.max(0, budget.exposures + change);
		}
	};

	return {
		recordRequest(service, route, order) {
			let known = services.get(service);
			if (known?.order.revision !== order.revision || known.order.era !== order.era) {
				known = {order, routes: new Map()};
				services.set(service, known);
			}

			const budget = known.routes.get(route) ?? {offset: random(), requests: 0, exposures: 0};
			budget.requests++;
			known.routes.set(route, budget);
		},
		hasRemaining(service, route, share) {
			const budget = services.get(service)?.routes.get(route);
			return budget !== undefined && budget.offset + (budget.requests * share) >= budget.exposures + 1;
		},
		recordExposure(service, route) {
			changeExposures(service, route, 1);
		},
		releaseExposure(service, route) {
			changeExposures(service, route, -1);
		},
	};
}
