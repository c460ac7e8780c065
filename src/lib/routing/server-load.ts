/**
 * Load and failures of each backend server, as observed by this node on its own
 * calls. These observations take precedence over the directory and over health
 * endpoints.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type BackendServerId} from '../common/ids.js';
import {
	applyLimitRefusal, applyNamedLimit, unlimitedView, type LimitView,
} from '../server-notices/limit-view.js';

/** Load and failures of one server. @internal */
export type ServerLoad = LimitView & {
	/** Requests of this node that are in flight to the server. */
	readonly inFlight: number;
	/** Requests executing or queued at the gate of the server, according to its last response. */
	readonly reportedRequests: number;
	/** When the gate last reported, in milliseconds since the epoch; 0 if never. */
	readonly reportedAt: number;
	/** When this node first considered the server, in milliseconds since the epoch. Slow start is measured from then. */
	readonly firstSeenAt: number;
	/** End of the ejection of the server, in milliseconds since the epoch; 0 if it is not ejected. */
	readonly ejectedUntil: number;
	/** The lifetime that said in a response that it leaves; `undefined` if none did. */
	readonly leaving: LeavingServer | undefined;
	/** Number of consecutive failures. */
	readonly failures: number;
	/** Exponentially weighted moving average of the milliseconds until a response began; 0 if there is none yet. */
	readonly latencyMs: number;
	/** When the latency was last recorded, in milliseconds since the epoch. */
	readonly latencyAt: number;
};

/** The lifetime of a server, and the run of the node beside it, at the time when the server said that it leaves. @internal */
export type LeavingServer = {readonly startedAt: number; readonly epoch: number};

/** @internal */
export type ServerLoads = {
	readonly get: (id: BackendServerId) => ServerLoad;
	/** Records that a request is sent to the server. */
	readonly recordStart: (id: BackendServerId) => void;
	/** Records that a request to the server has ended. */
	readonly recordEnd: (id: BackendServerId) => void;
	/** Records how long it took until the response began, or until the request timed out. */
	readonly recordLatency: (id: BackendServerId, milliseconds: number) => void;
	/** Records the number of requests that a gate reported. Ends an ejection of the server. */
	readonly recordReport: (id: BackendServerId, requests: number) => void;
	/** Ejects a server; each consecutive failure extends the ejection by `baseMs`. Returns its duration in milliseconds. */
	readonly eject: (id: BackendServerId, baseMs: number) => number;
	/** Records the limit that a response of the server names, or that it names none. */
	readonly recordLimit: (id: BackendServerId, limitPerSecond: number | undefined) => void;
	/** Records that the gate refused a request since the limit is used up for the given time. Each consecutive refusal doubles the time. */
	readonly recordLimited: (id: BackendServerId, waitMs: number) => void;
	/** Records that the server said in a response that it leaves. */
	readonly recordLeaving: (id: BackendServerId, leaving: LeavingServer) => void;
	/** Removes the servers for which `isKnown` returns false, except those with requests in flight. */
	readonly retain: (isKnown: (id: BackendServerId) => boolean) => void;
};

/** Limit of an ejection, as a multiple of `baseMs`. */
const maximumEjectionFactor = 8;

/** Weight of the newest latency in the moving average. */
const latencyWeight = 0.2;

function createLoad(now: number): ServerLoad {
	return {
		inFlight: 0, reportedRequests: 0, reportedAt: 0, firstSeenAt: now, ejectedUntil: 0, failures: 0, latencyMs: 0, latencyAt: 0, leaving: undefined, ...unlimitedView,
	};
}

/**
 * Creates an empty table of server loads.
 *
 * @returns The table.
 * @internal
 */
export function createServerLoads(): ServerLoads {
	const loads = new Map<BackendServerId, ServerLoad>();

	const get = (id: BackendServerId): ServerLoad => {
		const known = loads.get(id);
		if (known !== undefined) {
			return known;
		}

		const load = createLoad(readNow());
		loads.set(id, load);
		return load;
	};

	const update = (id: BackendServerId, changes: Partial<ServerLoad>): void => {
		loads.set(id, {...get(id), ...changes});
	};

	return {
		get,
		recordStart(id) {
			update(id, {inFlight: get(id).inFlight + 1});
		},
		recordEnd(id) {
			update(id, {inFlight: Math.max(0, get(id).inFlight - 1)});
		},
		recordLatency(id, milliseconds) {
			const {latencyMs} = get(id);
			const average = latencyMs === 0 ? milliseconds : (latencyMs * (1 - latencyWeight)) + (milliseconds * latencyWeight);
			update(id, {latencyMs: average, latencyAt: readNow()});
		},
		recordReport(id, requests) {
			update(id, {
				reportedRequests: requests, reportedAt: readNow(), failures: 0, ejectedUntil: 0,
			});
		},
		eject(id, baseMs) {
			const failures = get(id).failures + 1;
			const forMs = baseMs * Math.min(maximumEjectionFactor, failures);
			update(id, {failures, ejectedUntil: readNow() + forMs});
			return forMs;
		},
		recordLimit(id, limitPerSecond) {
			const load = get(id);
			if (limitPerSecond !== undefined || load.limitPerSecond !== undefined) {
				update(id, applyNamedLimit(load, limitPerSecond));
			}
		},
		recordLimited(id, waitMs) {
			update(id, applyLimitRefusal(get(id), waitMs, readNow()));
		},
		recordLeaving(id, leaving) {
			update(id, {leaving});
		},
		retain(isKnown) {
			for (const [id, load] of loads) {
				if (load.inFlight === 0 && !isKnown(id)) {
					loads.delete(id);
				}
			}
		},
	};
}
