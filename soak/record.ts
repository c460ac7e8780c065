/**
 * What a soak has seen from outside the program: by callers, backend servers,
 * the store and the operating system. Checks look at nothing else.
 *
 * @module
 */
import {type WireRun} from '../stand-ins/wire-server/wire-server.js';
import {type SoakRoute} from './soak-config.js';

/** One request as its caller saw it. Times are Unix milliseconds. */
export type CallRecord = {
	readonly id: string;
	readonly node: string;
	readonly route: SoakRoute;
	readonly method: string;
	readonly target: string;
	readonly body: string;
	readonly timeLeftMs: number;
	readonly sentAt: number;
	readonly endedAt: number;
	/** 0 if the connection ended without a whole answer. */
	readonly status: number;
	readonly text: string;
	readonly signature: string | undefined;
	readonly echoedId: string | undefined;
	/** The caller left before the answer. */
	readonly hasLeft: boolean;
};

/** One run of a request, as the backend server saw it. */
export type RunRecord = WireRun & {
	/** Id and start of the server. */
	readonly server: string;
	readonly service: string;
	/** The node beside it. */
	readonly node: string;
};

/** A node acknowledged that a server drains or leaves. */
export type DrainRecord = {readonly server: string; readonly node: string; readonly ackedAt: number};

/** How a process ended. */
export type LifetimeEnd =
	| {readonly type: 'running'}
	/** After SIGTERM, with this code or by this signal. */
	| {
		readonly type: 'stopped';
		readonly code: number | undefined;
		readonly signal: string | undefined;
		readonly at: number;
		readonly askedAt: number;
		/** It was paused between SIGTERM and its end. */
		readonly wasHeld: boolean;
		/** It had been ready: before, it has nothing to lose and may not have come to take over its signals. */
		readonly wasReady: boolean;
	}
	| {readonly type: 'killed'; readonly at: number}
	/** Nobody asked it to. */
	| {readonly type: 'unasked'; readonly code: number | undefined; readonly signal: string | undefined; readonly at: number};

/** One run of a node's process. */
export type Lifetime = {readonly node: string; readonly startedAt: number; readonly end: LifetimeEnd};

/** A configuration that the store has acknowledged. Its index counts from 0. */
export type ChangeRecord = {readonly index: number; readonly writtenAt: number};

/** What a disturbance harms. */
export type DisturbedPart = 'node' | 'store-link' | 'server' | 'store';

/** A time during which something was not as it should be. */
export type Disturbance = {
	readonly part: DisturbedPart;
	/** The node that is disturbed, or beside the server that is; none for the store. */
	readonly node: string | undefined;
	readonly what: string;
	/** Asked for in good order: SIGTERM or SIGHUP. */
	readonly isPlanned: boolean;
	readonly from: number;
	readonly to: number;
};

/** All that a soak has seen until now. */
export type SoakRecord = {
	readonly calls: readonly CallRecord[];
	readonly runs: readonly RunRecord[];
	readonly drains: readonly DrainRecord[];
	readonly lifetimes: readonly Lifetime[];
	readonly changes: readonly ChangeRecord[];
	readonly disturbances: readonly Disturbance[];
	/** Nodes that are ready at the end; none while it runs. */
	readonly ending: {readonly lastFaultAt: number; readonly ready: ReadonlyMap<string, boolean>} | undefined;
};

/** A promise that was broken. */
export type Violation = {
	readonly promise: string;
	readonly what: string;
	readonly at: number;
	/** The request that shows it. */
	readonly call?: string;
};

/**
 * @param record - What was seen.
 * @param from - Unix milliseconds.
 * @param to - Unix milliseconds.
 * @param matches - Which disturbances count.
 * @returns Whether one of them overlaps that time.
 */
export function isDisturbed(record: SoakRecord, from: number, to: number, matches: (disturbance: Disturbance) => boolean): boolean {
	return record.disturbances.some(disturbance => disturbance.from <= to && disturbance.to >= from && matches(disturbance));
}

/**
 * @param values - Any values.
 * @param getKey - What they are collected by.
 * @returns The values of each key, in order.
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
