/**
 * One start of a backend server. A server may start again under the id that it
 * had, and then holds and knows nothing of before: whatever is known of a server
 * is known of one lifetime.
 *
 * @module
 */
import {type BackendServerId} from './ids.js';

/** One start of a backend server. @internal */
export type ServerLifetime = {
	readonly id: BackendServerId;
	/** Milliseconds since the epoch by the clock of the server's machine, which may jump: it tells lifetimes of one id apart and means nothing beside any other clock. `unknownStart` if the server does not say it. */
	readonly startedAt: number;
};

/** Stands for the start of a server that does not say when it started: earlier than any start. @internal */
export const unknownStart = 0;

/**
 * @param lifetime - A lifetime.
 * @returns Whether its server said when it started.
 * @internal
 */
export const isStartKnown = ({startedAt}: ServerLifetime): boolean => startedAt !== unknownStart;

/** A lifetime as text, for keys of maps and members of sets. @internal */
export type LifetimeKey = string & {readonly __kind: 'LifetimeKey'};

/** How a lifetime stands to another one. @internal */
export type LifetimeOrder =
	| 'same'
	/** It is an earlier start of the same id. */
	| 'earlier'
	/** It is a later start of the same id. */
	| 'later'
	/** They have different ids: nothing tells which was first. */
	| 'unrelated';

/**
 * Compares two lifetimes: the only place that does.
 *
 * @param left - One of them.
 * @param right - The other one.
 * @returns How the first stands to the second.
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
 * @param left - One lifetime.
 * @param right - Another one.
 * @returns Whether they are the same one.
 * @internal
 */
export function isSameLifetime(left: ServerLifetime, right: ServerLifetime): boolean {
	return compareLifetimes(left, right) === 'same';
}

/**
 * @param lifetime - A lifetime.
 * @returns Text that no other lifetime has.
 * @internal
 */
export function toLifetimeKey({id, startedAt}: ServerLifetime): LifetimeKey {
	return `${startedAt} ${id}` as LifetimeKey;
}
