/**
 * The backend server beside a node, as it announces itself: what is held of it.
 *
 * @module
 */
import {type Address, type BackendServerId} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';

/** One announcement of a backend server. @internal */
export type ServerAnnouncement = {
	readonly lifetime: ServerLifetime;
	readonly service: string;
	readonly address: Address;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Milliseconds for which it stays slow after its start. */
	readonly coldMs: number;
	/** Grows with each announcement of a lifetime, so that a late one is recognised. */
	readonly sequence: number;
};

/** A backend server's word that it leaves. @internal */
export type ServerLeave = {
	readonly id: BackendServerId;
	/** Which start of it leaves, in milliseconds since the epoch; `undefined` if it did not say. */
	readonly startedAt: number | undefined;
};

/** One lifetime, as it was last heard. @internal */
export type LocalServer = {
	readonly announcement: ServerAnnouncement;
	/** Steady milliseconds. */
	readonly heardAt: number;
	/** It said that it drains or leaves: final for this lifetime. */
	readonly isLeaving: boolean;
	/** It could not be reached; it gets no work before this time. Steady milliseconds. */
	readonly avoidUntil: number;
	/** Until then, in steady milliseconds, a word of its id without a start is taken for an earlier lifetime's; 0 if there was none. */
	readonly ambiguousLeaveUntil: number;
};

/** A lifetime that has ended for this node. @internal */
export type EndedLifetime = {
	readonly lifetime: ServerLifetime;
	/** When this node learnt it, in steady milliseconds. */
	readonly heardAt: number;
};

/** @internal */
export type LocalServerState = {
	readonly current: LocalServer | undefined;
	/** Lifetimes that said that they leave, or whose address another has: nothing they still say counts. */
	readonly ended: readonly EndedLifetime[];
	/** Lifetimes that gave way to another one, or were never taken, without having left. */
	readonly inactive: readonly LocalServer[];
	/** Servers that said that they leave, but not which start of them, before this node had heard of any. */
	readonly unmatchedLeaves: ReadonlyArray<{readonly id: BackendServerId; readonly heardAt: number}>;
};

/** What a word changed. @internal */
export type ServerChange = 'none' | 'announced' | 'draining' | 'changed';

/** @internal */
export type ServerTransition = {readonly state: LocalServerState; readonly change: ServerChange};

/** Lifetimes of each kind that are remembered; late words are seconds late, and a VM does not see this many starts in that time, whatever other writers say. */
const rememberedLifetimeCount = 64;

/** @internal */
export const noLocalServer: LocalServerState = {
	current: undefined, ended: [], inactive: [], unmatchedLeaves: [],
};

/**
 * @param list - What is remembered.
 * @param next - What is added.
 * @returns Both, without what was remembered longest if that is too much.
 * @internal
 */
export function addBounded<Item>(list: readonly Item[], next: Item): readonly Item[] {
	return [...list, next].slice(-rememberedLifetimeCount);
}
