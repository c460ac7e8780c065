/**
 * The lifetime of a backend server: the time from one start to its end. A server
 * may restart with the same id and then has lost its earlier state, so all state
 * about a server belongs to one lifetime.
 *
 * @module
 */
import {type BackendServerId} from './ids.js';

/** Identifies one lifetime of a backend server. @internal */
export type ServerLifetime = {
	readonly id: BackendServerId;
	/** Start time in milliseconds since the epoch by the clock of the server's machine, which may jump: it distinguishes the lifetimes of one id and must not be compared with any other clock. `unknownStart` if the server does not report it. */
	readonly startedAt: number;
};

/** Start time of a server that does not report one: earlier than any other. @internal */
export const unknownStart = 0;

/**
 * Checks whether the start time of a lifetime is known.
 *
 * @param lifetime - The lifetime.
 * @returns Whether its server reported a start time.
 * @internal
 */
export const isStartKnown = ({startedAt}: ServerLifetime): boolean => startedAt !== unknownStart;

/** A lifetime as a string, for keys of maps and members of sets. @internal */
export type LifetimeKey = string & {readonly __kind: 'LifetimeKey'};

/** The order of a lifetime relative to another one. @internal */
export type LifetimeOrder =
	| 'same'
	/** It has the same id and an earlier start. */
	| 'earlier'
	/** It has the same id and a later start. */
	| 'later'
	/** It has a different id: the order is unknown. */
	| 'unrelated';

/**
 * Compares two lifetimes. All code compares lifetimes with this function.
 *
 * @param left - The first lifetime.
 * @param right - The second lifetime.
 * @returns The order of the first relative to the second.
 * @internal
 */
export function compareLifetimes(left: ServerLifetime, right: ServerLifetime): LifetimeOrder {
	if (left.id !== right.id) {
		return 'unrelated';
	}

	if (left.startedAt === right.startedAt) {
		return 'same';
	}

	return left.startedAt < right.startedAt ? 'earlier' : 'later';
}

/**
 * Checks whether two lifetimes are the same.
 *
 * @param left - The first lifetime.
 * @param right - The second lifetime.
 * @returns Whether both have the same id and start.
 * @internal
 */
export function isSameLifetime(left: ServerLifetime, right: ServerLifetime): boolean {
	return compareLifetimes(left, right) === 'same';
}

/**
 * Returns the key of a lifetime.
 *
 * @param lifetime - The lifetime.
 * @returns A string that is unique to the lifetime.
 * @internal
 */
export function toLifetimeKey({id, startedAt}: ServerLifetime): LifetimeKey {
	return `${startedAt} ${id}` as LifetimeKey;
}
