/**
 * What a soak observes from outside the nodes: at callers, backend servers, the
 * store and the operating system. Checks use nothing else.
 *
 * @module
 */
import {type HungRequest} from '../stand-ins/platform-server/hanging-queue.js';
import {type PlatformServerRun} from '../stand-ins/platform-server/platform-server.js';
import {type SoakRoute} from './soak-config.js';

/** One request as its caller observed it. Times are Unix milliseconds. */
export type CallRecord = {
	readonly id: string;
	readonly node: string;
	readonly route: SoakRoute;
	readonly method: string;
	readonly target: string;
	/** The key that the caller sent, if any. */
	readonly key: string | undefined;
	readonly body: string;
	readonly timeLeftMs: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** HTTP status; 0 if the connection ended without a complete response. */
	readonly status: number;
	/** Body of the response. */
	readonly text: string;
	readonly signature: string | undefined;
	/** Id of the request that the response belongs to, as the backend server states it. */
	readonly echoedId: string | undefined;
	/** Whether the response names a limit of its backend server, and whether it says that the server leaves. */
	readonly namesLimit: boolean;
	readonly saysLeaving: boolean;
	/** Whether the caller disconnected before the response. */
	readonly hasLeft: boolean;
	/** Whether the backend server beside the node made the call for a request that it executed. */
	readonly isNested?: boolean;
};

/** One execution of a request, as the backend server observed it. */
export type RunRecord = PlatformServerRun & {
	/** Id and start time of the server, as `id@time`. */
	readonly server: string;
	readonly service: string;
	/** The node beside the server. */
	readonly node: string;
};

/** The acknowledgement of a node that a server drains or leaves. */
export type DrainRecord = {readonly server: string; readonly node: string; readonly ackedAt: number};

/** A period during which a server named a limit in all its responses. Times are Unix milliseconds. */
export type LimitRecord = {readonly server: string; readonly perSecond: number; readonly from: number; readonly to: number};

/** A request that a server never responded to. */
export type HangRecord = HungRequest & {readonly server: string; readonly node: string};

/** How a process ended. */
export type LifetimeEnd =
	| {readonly type: 'running'}
	/** The process ended after SIGTERM, with this exit code or by this signal. */
	| {
		readonly type: 'stopped';
		readonly code: number | undefined;
		readonly signal: string | undefined;
		readonly at: number;
		readonly askedAt: number;
		/** Whether the process was paused (SIGSTOP) between SIGTERM and its end. */
		readonly wasHeld: boolean;
		/** Whether the node had been ready. Before that, it has no requests in flight and may not have installed its signal handlers. */
		readonly wasReady: boolean;
	}
	| {readonly type: 'killed'; readonly at: number}
	/** The process ended without a signal from the soak. */
	| {readonly type: 'unasked'; readonly code: number | undefined; readonly signal: string | undefined; readonly at: number};

/** One process of a node, from its start to its end. */
export type Lifetime = {readonly node: string; readonly startedAt: number; readonly end: LifetimeEnd};

/** A configuration that was written to the store. Indexes count from 0. */
export type ChangeRecord = {readonly index: number; readonly writtenAt: number};

/** The part of the mesh that a disturbance affects. */
export type DisturbedPart = 'node' | 'store-link' | 'server' | 'store';

/** A period during which a fault was in effect. Times are Unix milliseconds. */
export type Disturbance = {
	readonly part: DisturbedPart;
	/** The disturbed node, or the node beside the disturbed server; `undefined` for the store. */
	readonly node: string | undefined;
	/** Kind of the fault. */
	readonly what: string;
	/** Whether the fault is a regular operation: SIGTERM or SIGHUP. */
	readonly isPlanned: boolean;
	readonly from: number;
	readonly to: number;
};

/** Everything that a soak has observed so far. */
export type SoakRecord = {
	readonly calls: readonly CallRecord[];
	readonly runs: readonly RunRecord[];
	readonly drains: readonly DrainRecord[];
	readonly limits: readonly LimitRecord[];
	readonly hangs: readonly HangRecord[];
	readonly lifetimes: readonly Lifetime[];
	readonly changes: readonly ChangeRecord[];
	readonly disturbances: readonly Disturbance[];
	/** Which nodes are ready at the end; `undefined` while the soak runs. */
	readonly ending: {readonly lastFaultAt: number; readonly ready: ReadonlyMap<string, boolean>} | undefined;
};

/** A broken promise: a guarantee of the mesh that an observation contradicts. */
export type Violation = {
	/** Name of the promise, as the summary prints it. */
	readonly promise: string;
	/** What was observed. */
	readonly what: string;
	/** Unix milliseconds. */
	readonly at: number;
	/** Id of the request that shows the violation, if any. */
	readonly call?: string;
};

/**
 * Returns whether a disturbance overlaps a period.
 *
 * @param record - What was observed.
 * @param from - Unix milliseconds.
 * @param to - Unix milliseconds.
 * @param matches - Selects the disturbances that count.
 * @returns Whether one of them overlaps the period.
 */
export function isDisturbed(record: SoakRecord, from: number, to: number, matches: (disturbance: Disturbance) => boolean): boolean {
	return record.disturbances.some(disturbance => disturbance.from <= to && disturbance.to >= from && matches(disturbance));
}

/**
 * Groups values by a key.
 *
 * @param values - The values.
 * @param getKey - Returns the key of a value.
 * @returns The values of each key, in their original order.
 */
export function groupBy<Key, Value>(values: readonly Value[], getKey: (value: Value) => Key): ReadonlyMap<Key, readonly Value[]> {
	const groups = new Map<Key, Value[]>();
	for (const value of values) {
		const key = getKey(value);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [value]);
		} else {
			group.push(value);
		}
	}

	return groups;
}
