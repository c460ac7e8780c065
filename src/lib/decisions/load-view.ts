/**
 * What a node knows of the load of backend servers: what their gates last
 * said, and what this node itself has sent since.
 *
 * @module
 */
import {type BackendServerId} from '../common/ids.js';

/** What is known of one server. @internal */
export type ServerView = {
	readonly running: number;
	readonly waiting: number;
	/** Average milliseconds that a request takes; 0 if nothing is known. */
	readonly serviceMs: number;
	readonly failureShare: number;
	/** Requests of this node that are under way there. */
	readonly own: number;
	/** Of these, the ones that were under way when the gate last spoke. */
	readonly ownThen: number;
	/** Average milliseconds that requests of this node spend on the way there and back: a VM that is slow or far shows here, and for large bodies a link that is full. */
	readonly wayMs: number;
	/** When the gate last spoke, in steady milliseconds. */
	readonly heardAt: number;
};

/** @internal */
export type LoadView = {
	/** What is known of a server, for a request of a route. */
	readonly get: (id: BackendServerId, route?: string) => ServerView;
	readonly hear: (id: BackendServerId, report: Partial<Pick<ServerView, 'running' | 'waiting' | 'serviceMs' | 'failureShare'>>, now: number) => void;
	/** Notes how long a request of a route spent on the way there and back. */
	readonly noteWay: (id: BackendServerId, route: string, wayMs: number) => void;
	readonly begin: (id: BackendServerId) => void;
	readonly end: (id: BackendServerId) => void;
	readonly retain: (isKnown: (id: BackendServerId) => boolean) => void;
};

/** Weight of the newest request in the average time on the way: some five requests make it. */
const wayWeight = 0.2;

const unknownServer: ServerView = {
	running: 0, waiting: 0, serviceMs: 0, failureShare: 0, own: 0, ownThen: 0, wayMs: 0, heardAt: 0,
};

/**
 * @param view - What is known of a server.
 * @returns Requests in work and waiting there, as far as this node can tell.
 * @internal
 */
export function estimateRequests(view: ServerView): number {
	return Math.max(view.own, view.running + view.waiting + view.own - view.ownThen);
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
export function estimateSlotWait(view: ServerView, slots: number, now: number): number {
	const requests = estimateRequests(view);
	if (requests < slots) {
		return 0;
	}

	const slotMs = view.serviceMs / Math.max(1, slots);
	const endedSince = slotMs === 0 ? 0 : Math.max(0, now - view.heardAt) / slotMs;
	const waiting = Math.max(0, requests - slots - endedSince);
	return (waiting + 1) * slotMs;
}

/** Averages of the requests of one route at one server. */
type RouteAverages = {
	readonly get: (id: BackendServerId, route: string) => number | undefined;
	readonly note: (id: BackendServerId, route: string, value: number) => void;
	readonly delete: (id: BackendServerId) => void;
};

function createRouteAverages(weight: number): RouteAverages {
	const servers = new Map<BackendServerId, Map<string, number>>();
	return {
		get: (id, route) => servers.get(id)?.get(route),
		note(id, route, value) {
			const averages = servers.get(id) ?? new Map<string, number>();
			const known = averages.get(route);
			averages.set(route, known === undefined ? value : (known * (1 - weight)) + (value * weight));
			servers.set(id, averages);
		},
		delete(id) {
			servers.delete(id);
		},
	};
}

/**
 * @returns A view of nothing.
 * @internal
 */
export function createLoadView(): LoadView {
	const views = new Map<BackendServerId, ServerView>();
	const ways = createRouteAverages(wayWeight);
	const get = (id: BackendServerId): ServerView => views.get(id) ?? unknownServer;
	return {
		get(id, route = '') {
			const view = get(id);
			return {...view, wayMs: ways.get(id, route) ?? view.wayMs};
		},
		hear(id, report, now) {
			const view = get(id);
			views.set(id, {
				...view, ...report, ownThen: view.own, heardAt: now,
			});
		},
		noteWay(id, route, wayMs) {
			const view = get(id);
			ways.note(id, route, Math.max(0, wayMs));
			views.set(id, {...view, wayMs: (view.wayMs * (1 - wayWeight)) + (Math.max(0, wayMs) * wayWeight)});
		},
		begin(id) {
			const view = get(id);
			views.set(id, {...view, own: view.own + 1});
		},
		end(id) {
			const view = get(id);
			views.set(id, {...view, own: Math.max(0, view.own - 1)});
		},
		retain(isKnown) {
			for (const [id, view] of views) {
				if (view.own === 0 && !isKnown(id)) {
					views.delete(id);
					ways.delete(id);
				}
			}
		},
	};
}
