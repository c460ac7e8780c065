/**
 * What a node knows of the load of backend servers: what their gates last
 * said, and what this node itself has sent since. It is known of one lifetime of
 * a server, and nothing of it holds for the next one.
 *
 * @module
 */
import {type LifetimeKey} from '../common/server-lifetime.js';

/** What is known of one server. @internal */
export type ServerView = {
	readonly running: number;
	readonly waiting: number;
	/** Average milliseconds that a request takes; 0 if nothing is known. */
	readonly serviceMs: number;
	readonly failureShare: number;
	/** Requests of this node that are under way there. */
	readonly ownInFlight: number;
	/** Of these, the ones that were under way when the gate last spoke. */
	readonly ownInFlightAtReport: number;
	/** Average milliseconds that requests of this node spend on the way there and back: a VM that is slow or far shows here, and for large bodies a link that is full. */
	readonly roundTripMs: number;
	/** When the gate last spoke, in steady milliseconds. */
	readonly reportedAt: number;
};

/** @internal */
export type LoadView = {
	/** What is known of a server, for a request of a route. */
	readonly get: (server: LifetimeKey, route?: string) => ServerView;
	readonly recordReport: (server: LifetimeKey, report: Partial<Pick<ServerView, 'running' | 'waiting' | 'serviceMs' | 'failureShare'>>, now: number) => void;
	/** Notes how long a request of a route spent on the way there and back. */
	readonly recordRoundTrip: (server: LifetimeKey, route: string, roundTripMs: number) => void;
	readonly recordStart: (server: LifetimeKey) => void;
	readonly recordEnd: (server: LifetimeKey) => void;
	readonly retain: (isKnown: (server: LifetimeKey) => boolean) => void;
};

/** Weight of the newest request in the average time on the way: some five requests make it. */
const smoothingFactor = 0.2;

const unknownLoad: ServerView = {
	running: 0, waiting: 0, serviceMs: 0, failureShare: 0, ownInFlight: 0, ownInFlightAtReport: 0, roundTripMs: 0, reportedAt: 0,
};

/**
 * @param view - What is known of a server.
 * @returns Requests in work and waiting there, as far as this node can tell.
 * @internal
 */
export function estimateOutstanding(view: ServerView): number {
	return Math.max(view.ownInFlight, view.running + view.waiting + view.ownInFlight - view.ownInFlightAtReport);
}

/**
 * Estimates how long a request would wait for a slot. Those that waited when
 * the gate last spoke have been worked on since. Slots that were all taken then
 * are still taken for taken: under load others fill them, and a request that is
 * sent for a slot at once would only be refused.
 *
 * @param view - What is known of a server.
 * @param slots - Requests that it works on at once.
 * @param now - Steady milliseconds.
 * @returns Milliseconds; 0 if a slot is likely to be free.
 * @internal
 */
export function estimateSlotWaitMs(view: ServerView, slots: number, now: number): number {
	const requests = estimateOutstanding(view);
	if (requests < slots) {
		return 0;
	}

	const slotMs = view.serviceMs / Math.max(1, slots);
	const endedCount = slotMs === 0 ? 0 : Math.max(0, now - view.reportedAt) / slotMs;
	const waiting = Math.max(0, requests - slots - endedCount);
	return (waiting + 1) * slotMs;
}

/** Averages of the requests of one route at one server. */
type RouteAverages = {
	readonly get: (server: LifetimeKey, route: string) => number | undefined;
	readonly record: (server: LifetimeKey, route: string, value: number) => void;
	readonly delete: (server: LifetimeKey) => void;
};

function createRouteAverages(weight: number): RouteAverages {
	const servers = new Map<LifetimeKey, Map<string, number>>();
	return {
		get: (server, route) => servers.get(server)?.get(route),
		record(server, route, value) {
			const averages = servers.get(server) ?? new Map<string, number>();
			const known = averages.get(route);
			averages.set(route, known === undefined ? value : (known * (1 - weight)) + (value * weight));
			servers.set(server, averages);
		},
		delete(server) {
			servers.delete(server);
		},
	};
}

/**
 * @returns A view of nothing.
 * @internal
 */
export function createLoadView(): LoadView {
	const views = new Map<LifetimeKey, ServerView>();
	const roundTrips = createRouteAverages(smoothingFactor);
	const get = (server: LifetimeKey): ServerView => views.get(server) ?? unknownLoad;
	return {
		get(server, route = '') {
			const view = get(server);
			return {...view, roundTripMs: roundTrips.get(server, route) ?? view.roundTripMs};
		},
		recordReport(server, report, now) {
			const view = get(server);
			views.set(server, {
				...view, ...report, ownInFlightAtReport: view.ownInFlight, reportedAt: now,
			});
		},
		recordRoundTrip(server, route, roundTripMs) {
			const view = get(server);
			roundTrips.record(server, route, Math.max(0, roundTripMs));
			views.set(server, {...view, roundTripMs: (view.roundTripMs * (1 - smoothingFactor)) + (Math.max(0, roundTripMs) * smoothingFactor)});
		},
		recordStart(server) {
			const view = get(server);
			views.set(server, {...view, ownInFlight: view.ownInFlight + 1});
		},
		recordEnd(server) {
			const view = get(server);
			views.set(server, {...view, ownInFlight: Math.max(0, view.ownInFlight - 1)});
		},
		retain(isKnown) {
			for (const [server, view] of views) {
				if (view.ownInFlight === 0 && !isKnown(server)) {
					views.delete(server);
					roundTrips.delete(server);
				}
			}
		},
	};
}
