/**
 * Updates the state of the local server with the announcements and leaves that
 * it sends, which may arrive in any order. Pure functions: the caller passes the
 * time.
 *
 * A later start of an id replaces an earlier one immediately, as if that one had
 * crashed, and inherits none of its state. Further messages of the earlier start
 * concern only that start, and never put it back into use while the later one
 * is heard.
 *
 * @module
 */
import {type BackendServerId} from '../common/ids.js';
import {compareLifetimes, isSameLifetime, type ServerLifetime} from '../common/server-lifetime.js';
import {
	addBounded, type LocalServer, type LocalServerState, type ServerAnnouncement, type ServerLeave, type ServerTransition,
} from './local-server.js';
import {isSuperseded, mayReplaceCurrent} from './lifetime-succession.js';

/** The longest time by which a message may arrive after messages that were sent later: messages of users' servers arrive seconds late, and servers restart within a second. */
const maximumMessageDelayMs = 5000;

function withoutLifetime(servers: readonly LocalServer[], lifetime: ServerLifetime): readonly LocalServer[] {
	return servers.filter(({announcement}) => !isSameLifetime(announcement.lifetime, lifetime));
}

function isEnded({ended}: LocalServerState, lifetime: ServerLifetime): boolean {
	return ended.some(known => isSameLifetime(known.lifetime, lifetime));
}

function addEnded(state: LocalServerState, lifetime: ServerLifetime, now: number): LocalServerState {
	return {
		...state,
		ended: isEnded(state, lifetime) ? state.ended : addBounded(state.ended, {lifetime, heardAt: now}),
		inactive: withoutLifetime(state.inactive, lifetime),
	};
}

function addAllEnded(state: LocalServerState, lifetimes: readonly ServerLifetime[], now: number): LocalServerState {
	let next = state;
	for (const lifetime of lifetimes) {
		next = addEnded(next, lifetime, now);
	}

	return next;
}

/** Puts another lifetime into use. */
function replaceServer(state: LocalServerState, announcement: ServerAnnouncement, now: number): ServerTransition {
	const {current: former} = state;
	const isSameId = former?.announcement.lifetime.id === announcement.lifetime.id;
	const current: LocalServer = {
		announcement, heardAt: now, isLeaving: announcement.isDraining, avoidUntil: 0, ambiguousLeaveUntil: isSameId ? now + maximumMessageDelayMs : 0,
	};
	const inactive = withoutLifetime(state.inactive, announcement.lifetime);
	const next = {...state, current, inactive: former === undefined ? inactive : addBounded(inactive, former)};
	return {
		state: former?.isLeaving ? addEnded(next, former.announcement.lifetime, former.heardAt) : next,
		change: announcement.isDraining ? 'draining' : 'announced',
	};
}

/** Applies an announcement of a lifetime that is not in use: it was replaced, or a later start of its id is known. */
function acceptInactive(state: LocalServerState, announcement: ServerAnnouncement, now: number): ServerTransition {
	const {lifetime, sequence, isDraining} = announcement;
	if (isDraining) {
		// The lifetime is not in use, but its drain is acknowledged, so the node must not use it later.
		return {state: addEnded(state, lifetime, now), change: 'none'};
	}

	const before = state.inactive.find(server => isSameLifetime(server.announcement.lifetime, lifetime));
	if (before !== undefined && sequence <= before.announcement.sequence) {
		return {state, change: 'none'};
	}

	if (before !== undefined && mayReplaceCurrent(state, before, now)) {
		return replaceServer(state, announcement, now);
	}

	const heard: LocalServer = {
		announcement, heardAt: now, isLeaving: false, avoidUntil: 0, ambiguousLeaveUntil: 0,
	};
	return {state: {...state, inactive: addBounded(withoutLifetime(state.inactive, lifetime), heard)}, change: 'none'};
}

function leaveCurrent(state: LocalServerState, current: LocalServer): ServerTransition {
	return current.isLeaving ? {state, change: 'none'} : {state: {...state, current: {...current, isLeaving: true}}, change: 'draining'};
}

/** Applies an announcement of the lifetime that is in use. */
function acceptCurrent(state: LocalServerState, current: LocalServer, announcement: ServerAnnouncement, now: number): ServerTransition {
	if (announcement.sequence <= current.announcement.sequence) {
		// Of a late announcement only the drain applies: it is acknowledged, and no later announcement revokes it.
		return announcement.isDraining ? leaveCurrent(state, current) : {state, change: 'none'};
	}

	const next: LocalServer = {
		...current, announcement, heardAt: now, isLeaving: current.isLeaving || announcement.isDraining,
	};
	if (next.isLeaving && !current.isLeaving) {
		return {state: {...state, current: next}, change: 'draining'};
	}

	const isChanged = current.announcement.slots !== announcement.slots;
	return {state: {...state, current: next}, change: isChanged ? 'changed' : 'none'};
}

/** Applies a leave without a start time that arrived before any announcement of its server: it ends the first lifetime that is heard within `maximumMessageDelayMs`. */
function applyUnmatchedLeave(state: LocalServerState, {lifetime}: ServerAnnouncement, now: number): LocalServerState {
	const {id} = lifetime;
	const leave = state.unmatchedLeaves.find(known => known.id === id);
	if (leave === undefined) {
		return state;
	}

	const next = {...state, unmatchedLeaves: state.unmatchedLeaves.filter(known => known.id !== id)};
	return now - leave.heardAt <= maximumMessageDelayMs ? addEnded(next, lifetime, now) : next;
}

/**
 * Applies an announcement. One that is late or comes from an earlier lifetime does not change the lifetime in use, except
 * that a late drain still applies.
 *
 * @param before - The state of the local server.
 * @param announcement - The announcement.
 * @param now - Steady milliseconds.
 * @returns The next state, and what changed.
 * @internal
 */
export function acceptAnnouncement(before: LocalServerState, announcement: ServerAnnouncement, now: number): ServerTransition {
	const {lifetime} = announcement;
	const state = applyUnmatchedLeave(before, announcement, now);
	const {current, inactive} = state;
	if (isEnded(state, lifetime)) {
		return {state, change: 'none'};
	}

	if (current !== undefined && isSameLifetime(current.announcement.lifetime, lifetime)) {
		return acceptCurrent(state, current, announcement, now);
	}

	// The order of two servers with different ids is unknown. The one that drains is taken as the earlier, because it would get no requests anyway.
	const hasUnrelatedCurrent = current !== undefined && !current.isLeaving && compareLifetimes(current.announcement.lifetime, lifetime) === 'unrelated';
	if (announcement.isDraining && hasUnrelatedCurrent) {
		return {state: addEnded(state, lifetime, now), change: 'none'};
	}

	const isKnown = inactive.some(server => isSameLifetime(server.announcement.lifetime, lifetime));
	return isKnown || isSuperseded(state, lifetime) ? acceptInactive(state, announcement, now) : replaceServer(state, announcement, now);
}

/** Applies the leave of a lifetime that is not in use. */
function leaveOther(state: LocalServerState, lifetime: ServerLifetime, now: number): ServerTransition {
	const {current} = state;
	const isKnown = state.inactive.some(server => isSameLifetime(server.announcement.lifetime, lifetime));
	const next = addEnded(state, lifetime, now);
	// The leave names a later start that has not been heard yet: the lifetime in use has ended without a leave.
	const isCurrentReplaced = current !== undefined && !isKnown && !isEnded(state, lifetime) && compareLifetimes(current.announcement.lifetime, lifetime) === 'earlier';
	return isCurrentReplaced ? leaveCurrent(next, current) : {state: next, change: 'none'};
}

/**
 * Returns whether a leave may be a late message of an earlier start: it has no start time, and the lifetime in use has just
 * replaced another one of the same id. Applying it could exclude the new lifetime from requests for as long as
 * it runs. The leave must not be acknowledged either, because the new lifetime may have sent it.
 *
 * @param state - The state of the local server.
 * @param leave - The leave.
 * @param now - Steady milliseconds.
 * @returns Whether the start that leaves cannot be determined.
 * @internal
 */
export function isAmbiguousLeave({current}: LocalServerState, {id, startedAt}: ServerLeave, now: number): boolean {
	return startedAt === undefined && current?.announcement.lifetime.id === id && now < current.ambiguousLeaveUntil;
}

/** Applies a leave without a start time: to the lifetime in use if it has the id, otherwise to all known lifetimes of the id. */
function leaveWithoutStart(state: LocalServerState, id: BackendServerId, now: number): ServerTransition {
	const {current, inactive} = state;
	if (current?.announcement.lifetime.id === id) {
		return leaveCurrent(state, current);
	}

	const known = inactive.map(({announcement}) => announcement.lifetime).filter(lifetime => lifetime.id === id);
	if (known.length > 0 || state.ended.some(({lifetime}) => lifetime.id === id)) {
		return {state: addAllEnded(state, known, now), change: 'none'};
	}

	// An earlier run of this node may have served the server; its late announcements must not put it into use again.
	return {state: {...state, unmatchedLeaves: addBounded(state.unmatchedLeaves.filter(leave => leave.id !== id), {id, heardAt: now})}, change: 'none'};
}

/**
 * Applies a leave, whether or not the server announced a drain before.
 *
 * @param state - The state of the local server.
 * @param leave - The leave.
 * @param now - Steady milliseconds.
 * @returns The next state, and what changed.
 * @internal
 */
export function acceptLeave(state: LocalServerState, leave: ServerLeave, now: number): ServerTransition {
	const {id, startedAt} = leave;
	if (isAmbiguousLeave(state, leave, now)) {
		return {state, change: 'none'};
	}

	if (startedAt === undefined) {
		return leaveWithoutStart(state, id, now);
	}

	const {current} = state;
	const lifetime = {id, startedAt};
	return current !== undefined && isSameLifetime(current.announcement.lifetime, lifetime)
		? leaveCurrent(state, current)
		: leaveOther(state, lifetime, now);
}

/**
 * Records that a server could not be reached, so that it gets no requests for a while.
 *
 * @param state - The state of the local server.
 * @param lifetime - The lifetime to which a request was sent.
 * @param until - When it may get requests again, in steady milliseconds.
 * @returns The next state.
 * @internal
 */
export function noteServerUnreachable(state: LocalServerState, lifetime: ServerLifetime, until: number): LocalServerState {
	const {current} = state;
	return current !== undefined && isSameLifetime(current.announcement.lifetime, lifetime) ? {...state, current: {...current, avoidUntil: until}} : state;
}

/**
 * Ends a lifetime because another server now responds at its address. The next announcement identifies that server.
 *
 * @param state - The state of the local server.
 * @param lifetime - The lifetime that ends. A request to it was answered by the other server.
 * @param now - Steady milliseconds.
 * @returns The next state.
 * @internal
 */
export function forgetServer(state: LocalServerState, lifetime: ServerLifetime, now: number): LocalServerState {
	const {current} = state;
	const isCurrent = current !== undefined && isSameLifetime(current.announcement.lifetime, lifetime);
	return addEnded({...state, current: isCurrent ? undefined : current}, lifetime, now);
}
