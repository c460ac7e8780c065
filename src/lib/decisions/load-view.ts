/**
 * The view that a node has of the load of backend servers: the last report of
 * each gate, and the requests that this node has sent since. It is kept per lifetime of
 * a server and is not used for the next lifetime.
 *
 * @module
 */
import {type LifetimeKey} from '../common/server-lifetime.js';
import {
	applyLimitRefusal, applyNamedLimit, unlimitedView, type LimitView,
} from '../server-notices/limit-view.js';
import {countLessUrgent, type PriorityLoad} from './priority-admission.js';
import {createShareRefusals, type ShareRefusals} from './share-refusals.js';
import {estimateSlowness} from './slowness.js';

/** Known load of one server. Times are milliseconds of the steady clock. @internal */
export type ServerView = LimitView & PriorityLoad & {
	readonly running: number;
	readonly waiting: number;
	/** Expected service time of a request in milliseconds; 0 if unknown. */
	readonly serviceMs: number;
	/** How long work took at the last report, as a factor of the average time; `undefined` if the server does not say. */
	readonly slowness?: number | undefined;
	readonly failureShare: number;
	/** Requests of this node that are in flight to the server. */
	readonly ownInFlight: number;
	/** Requests of this node that were in flight at the last report of the gate. */
	readonly ownInFlightAtReport: number;
	/** Average round-trip time of requests of this node in milliseconds, without the time at the gate and the server. It is high for a slow or distant VM, and for large bodies on a full link. */
	readonly roundTripMs: number;
	/** When the gate last reported, in milliseconds of the steady clock. */
	readonly reportedAt: number;
};

/** What a gate reports of its server. @internal */
export type GateReport = Partial<Pick<ServerView, 'running' | 'waiting' | 'serviceMs' | 'failureShare' | 'slowness' | 'leastUrgent' | 'waitingByPriority'>>;

/** @internal */
export type LoadView = {
	/** Returns the known load of a server, with the round-trip time of a route and with the service time that is expected at a given time, if they are given. */
	readonly get: (server: LifetimeKey, route?: string, now?: number) => ServerView;
	/** Records a report of a gate. Its service time is the average one. A report without a slowness ends what was known of it. */
	readonly recordReport: (server: LifetimeKey, report: GateReport, now: number) => void;
	/** Records the round-trip time of a request of a route. */
	readonly recordRoundTrip: (server: LifetimeKey, route: string, roundTripMs: number) => void;
	readonly recordStart: (server: LifetimeKey) => void;
	readonly recordEnd: (server: LifetimeKey) => void;
	/** Records the limit that a response of the server names, or that it names none. */
	readonly recordLimit: (server: LifetimeKey, limitPerSecond: number | undefined) => void;
	/** Records that the gate refused a request since the limit is used up for the given time. */
	readonly recordLimited: (server: LifetimeKey, waitMs: number, now: number) => void;
	/** Workspaces that gates refused since they are over their share. */
	readonly shareRefusals: ShareRefusals;
	readonly retain: (isKnown: (server: LifetimeKey) => boolean) => void;
};

/** Weight of the newest request in the moving average of round-trip times, which covers about five requests. */
const smoothingFactor = 0.2;

/** The view of one server, changed in place: it changes several times with each request, and a copy for each change would be most of what a request allocates here. */
type MutableView = {-readonly [Field in keyof Required<ServerView>]: ServerView[Field]};

/** Creates the view of a server without any report. All fields are set, so that all views have the same shape. */
function createView(): MutableView {
	return {
		running: 0, waiting: 0, serviceMs: 0, slowness: undefined, failureShare: 0, leastUrgent: undefined, waitingByPriority: undefined,
		ownInFlight: 0, ownInFlightAtReport: 0, roundTripMs: 0, reportedAt: 0, limitPerSecond: unlimitedView.limitPerSecond, limitedUntil: unlimitedView.limitedUntil, limitRefusals: unlimitedView.limitRefusals,
	};
}

/** Copies a view for the request that it is read for. The fields are listed, because a spread of so many is several times as dear. */
function describeView(view: MutableView, serviceMs: number, roundTripMs: number): ServerView {
	return {
		running: view.running, waiting: view.waiting, serviceMs, slowness: view.slowness, failureShare: view.failureShare, leastUrgent: view.leastUrgent, waitingByPriority: view.waitingByPriority,
		ownInFlight: view.ownInFlight, ownInFlightAtReport: view.ownInFlightAtReport, roundTripMs, reportedAt: view.reportedAt, limitPerSecond: view.limitPerSecond, limitedUntil: view.limitedUntil, limitRefusals: view.limitRefusals,
	};
}

const unknownView = createView();

/**
 * @param view - The known load of a server.
 * @returns Requests that run or wait there, as far as this node can tell.
 * @internal
 */
export function estimateOutstanding(view: ServerView): number {
	return Math.max(view.ownInFlight, view.running + view.waiting + view.ownInFlight - view.ownInFlightAtReport);
}

/** How long a report that a gate holds back less urgent requests is valid, in milliseconds. A gate that still does so reports it again in its next heartbeat, 400 ms later at the earliest. @internal */
export const holdBackMs = 450;

/**
 * @param view - The known load of a server.
 * @param priority - Priority of a request.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns Whether the gate of the server would refuse the request in favour of more urgent ones.
 * @internal
 */
export function isPriorityHeldBack({leastUrgent, reportedAt}: ServerView, priority: number, now: number): boolean {
	return leastUrgent !== undefined && priority > leastUrgent && now - reportedAt < holdBackMs;
}

/**
 * Estimates how long a request would wait for a slot. The queue of the last
 * report is assumed to shrink at the average rate since. If all slots were in use
 * then, they are assumed to be still in use: under load other requests fill them, and a
 * request that needs a slot immediately would be refused.
 *
 * @param view - The known load of a server.
 * @param slots - Concurrency limit of the server.
 * @param now - Current time, in milliseconds of the steady clock.
 * @param priority - Priority of the request, which goes ahead of less urgent ones that wait; the least urgent one if omitted.
 * @returns Milliseconds; 0 if a slot is likely to be free and the limit of the server is not used up.
 * @internal
 */
export function estimateSlotWaitMs(view: ServerView, slots: number, now: number, priority = Number.POSITIVE_INFINITY): number {
	return Math.max(estimateQueueWaitMs(view, slots, now, priority), view.limitedUntil - now);
}

function estimateQueueWaitMs(view: ServerView, slots: number, now: number, priority: number): number {
	const requests = estimateOutstanding(view);
	if (requests < slots) {
		return 0;
	}

	const slotMs = view.serviceMs / Math.max(1, slots);
	const endedCount = slotMs === 0 ? 0 : Math.max(0, now - view.reportedAt) / slotMs;
	const waiting = Math.max(0, requests - countLessUrgent(view, view.waiting, priority) - slots - endedCount);
	return (waiting + 1) * slotMs;
}

/** Moving averages by server and route. */
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
 * @returns A view without any report.
 * @internal
 */
export function createLoadView(): LoadView {
	const views = new Map<LifetimeKey, MutableView>();
	const roundTrips = createRouteAverages(smoothingFactor);
	const shareRefusals = createShareRefusals();
	const getOrCreate = (server: LifetimeKey): MutableView => {
		const known = views.get(server);
		if (known !== undefined) {
			return known;
		}

		const view = createView();
		views.set(server, view);
		return view;
	};

	return {
		shareRefusals,
		get(server, route = '', now = undefined) {
			const view = views.get(server) ?? unknownView;
			const roundTripMs = roundTrips.get(server, route) ?? view.roundTripMs;
			const slownessNow = view.slowness === undefined || now === undefined ? 1 : estimateSlowness(view.slowness, now - view.reportedAt);
			return describeView(view, view.serviceMs * slownessNow, roundTripMs);
		},
		recordReport(server, report, now) {
			const view = getOrCreate(server);
			view.running = report.running ?? view.running;
			view.waiting = report.waiting ?? view.waiting;
			view.serviceMs = report.serviceMs ?? view.serviceMs;
			view.failureShare = report.failureShare ?? view.failureShare;
			view.slowness = report.slowness;
			view.leastUrgent = report.leastUrgent;
			view.waitingByPriority = report.waitingByPriority;
			view.ownInFlightAtReport = view.ownInFlight;
			view.reportedAt = now;
		},
		recordRoundTrip(server, route, roundTripMs) {
			const view = getOrCreate(server);
			roundTrips.record(server, route, Math.max(0, roundTripMs));
			view.roundTripMs = (view.roundTripMs * (1 - smoothingFactor)) + (Math.max(0, roundTripMs) * smoothingFactor);
		},
		recordStart(server) {
			getOrCreate(server).ownInFlight++;
		},
		recordEnd(server) {
			const view = getOrCreate(server);
			view.ownInFlight = Math.max(0, view.ownInFlight - 1);
		},
		recordLimit(server, limitPerSecond) {
			const limited = views.get(server)?.limitPerSecond;
			if (limitPerSecond !== undefined || limited !== undefined) {
				const view = getOrCreate(server);
				Object.assign(view, applyNamedLimit(view, limitPerSecond));
			}
		},
		recordLimited(server, waitMs, now) {
			const view = getOrCreate(server);
			Object.assign(view, applyLimitRefusal(view, waitMs, now));
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
