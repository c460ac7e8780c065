/**
 * What this node has seen of each backend server on its own calls. It goes
 * before anything that the directory or a health endpoint says.
 *
 * @module
 */
import {readNow} from '../common/clock.js';
import {type BackendServerId} from '../common/ids.js';

/** What is known of one server. @internal */
export type ServerLoad = {
	/** This node's own requests that the server is working on. */
	readonly inFlight: number;
	/** Requests in work and waiting, by the gate's last answer. */
	readonly reportedRequests: number;
	/** When the gate last answered, in milliseconds since the epoch. */
	readonly reportedAt: number;
	/** When this node first knew of the server. */
	readonly firstSeenAt: number;
	/** Until when the server is left out. */
	readonly ejectedUntil: number;
	/** Failures in a row. */
	readonly failures: number;
	/** Average milliseconds until an answer began, the latest counting most; 0 while nothing is known. */
	readonly latencyMs: number;
	readonly latencyAt: number;
};

/** @internal */
export type ServerLoads = {
	readonly get: (id: BackendServerId) => ServerLoad;
	readonly recordStart: (id: BackendServerId) => void;
	readonly recordEnd: (id: BackendServerId) => void;
	/** Notes how long an answer took to begin, or how long was waited in vain. */
	readonly recordLatency: (id: BackendServerId, milliseconds: number) => void;
	readonly recordReport: (id: BackendServerId, requests: number) => void;
	/** Leaves a server out for a while, longer each time in a row; yields for how many milliseconds. */
	readonly eject: (id: BackendServerId, baseMs: number) => number;
	readonly retain: (isKnown: (id: BackendServerId) => boolean) => void;
};

const maximumEjectionFactor = 8;

/** Weight of the newest observation in the average. */
const latencyWeight = 0.2;

function createLoad(now: number): ServerLoad {
	return {
		inFlight: 0, reportedRequests: 0, reportedAt: 0, firstSeenAt: now, ejectedUntil: 0, failures: 0, latencyMs: 0, latencyAt: 0,
	};
}

/**
 * @returns Loads of servers that nothing is known of yet.
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
		retain(isKnown) {
			for (const [id, load] of loads) {
				if (load.inFlight === 0 && !isKnown(id)) {
					loads.delete(id);
				}
			}
		},
	};
}
