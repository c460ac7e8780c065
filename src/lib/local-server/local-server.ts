/**
 * The state that a node holds of the backend server beside it, from the server's
 * announcements. A lifetime is one start of a server.
 *
 * @module
 */
import {type Address, type BackendServerId} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';

/** One announcement of a backend server. @internal */
export type ServerAnnouncement = {
	readonly lifetime: ServerLifetime;
	readonly service: string;
	/** Version of the software that the server runs. */
	readonly version: string;
	readonly address: Address;
	readonly slots: number;
	readonly isDraining: boolean;
	/** How long the server stays slow after its start, in milliseconds. */
	readonly coldMs: number;
	/** Increases with each announcement of a lifetime, so that a late announcement is recognised. */
	readonly sequence: number;
};

/** A backend server's message that it leaves. @internal */
export type ServerLeave = {
	readonly id: BackendServerId;
	/** Start time of the lifetime that leaves, in milliseconds since the epoch; `undefined` if the message does not name it. */
	readonly startedAt: number | undefined;
};

/** One lifetime, with its latest announcement. @internal */
export type LocalServer = {
	readonly announcement: ServerAnnouncement;
	/** When that announcement arrived, in steady milliseconds. */
	readonly heardAt: number;
	/** Whether it has announced a drain or has left. Never reset for this lifetime. */
	readonly isLeaving: boolean;
	/** When it may get requests again after it could not be reached, in steady milliseconds; 0 if it was reachable. */
	readonly avoidUntil: number;
	/** Until this time, in steady milliseconds, a leave with its id but no start time may come from the lifetime that it replaced; 0 if it replaced none. */
	readonly ambiguousLeaveUntil: number;
};

/** A lifetime that this node regards as ended. @internal */
export type EndedLifetime = {
	readonly lifetime: ServerLifetime;
	/** When the message that ended it arrived, in steady milliseconds. */
	readonly heardAt: number;
};

/** @internal */
export type LocalServerState = {
	/** The lifetime that is in use. */
	readonly current: LocalServer | undefined;
	/** Lifetimes that left, or whose address is used by another server. Their further messages are ignored. */
	readonly ended: readonly EndedLifetime[];
	/** Lifetimes that were replaced or never used, and that have not left. */
	readonly inactive: readonly LocalServer[];
	/** Leaves without a start time that arrived before any announcement of their server. */
	readonly unmatchedLeaves: ReadonlyArray<{readonly id: BackendServerId; readonly heardAt: number}>;
};

/** What a message changed in the state. @internal */
export type ServerChange = 'none' | 'announced' | 'draining' | 'changed';

/** @internal */
export type ServerTransition = {readonly state: LocalServerState; readonly change: ServerChange};

/**
 * The number of lifetimes remembered in each list. Messages arrive seconds late, and a VM does not see this many starts in
 * that time. The bound also holds if other senders announce more lifetimes.
 */
const rememberedLifetimeCount = 64;

/** @internal */
export const noLocalServer: LocalServerState = {
	current: undefined, ended: [], inactive: [], unmatchedLeaves: [],
};

/**
 * Appends to a bounded list, and evicts the oldest item if the list is full.
 *
 * @param list - The list.
 * @param next - The item to append.
 * @returns The new list.
 * @internal
 */
export function addBounded<Item>(list: readonly Item[], next: Item): readonly Item[] {
	return [...list, next].slice(-rememberedLifetimeCount);
}
