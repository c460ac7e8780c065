/**
 * Takes in what backend servers say to the node beside them, in whatever order
 * it arrives. The decision part: time is handed in.
 *
 * Of one id, a later start replaces an earlier one at once, as if that one had
 * crashed, and inherits nothing of it. What an earlier start still says counts
 * for itself only, and never brings it back while the later one is heard.
 *
 * @module
 */
import {type BackendServerId} from '../common/ids.js';
import {compareLifetimes, isSameLifetime, type ServerLifetime} from '../common/server-lifetime.js';
import {
	addBounded, type LocalServer, type LocalServerState, type ServerAnnouncement, type ServerLeave, type ServerTransition,
} from './local-server.js';
import {isSuperseded, mayReplaceCurrent} from './lifetime-succession.js';

/** A word may arrive so many milliseconds after what was said behind it: users' words are seconds late, and servers start again within one. */
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

/** Puts another lifetime in the place of the one that was there. */
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

/** Takes in a word of a lifetime that has given way, or that a later start of its id was heard before. */
function acceptInactive(state: LocalServerState, announcement: ServerAnnouncement, now: number): ServerTransition {
	const {lifetime, sequence, isDraining} = announcement;
	if (isDraining) {
		// It is not taken back, but a word that it leaves is acknowledged, and binds.
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

/** Takes in a word of the lifetime that is in use. */
function acceptCurrent(state: LocalServerState, current: LocalServer, announcement: ServerAnnouncement, now: number): ServerTransition {
	if (announcement.sequence <= current.announcement.sequence) {
		// Nothing of a late word counts, but that the server leaves: it is acknowledged, and no later word takes it back.
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

/** Finds the lifetime behind a word that a server of this id leaves, which came before anything else was heard of it: the first one that is heard. */
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
 * Takes in an announcement. What is late or comes from an earlier lifetime changes nothing of the one in use.
 *
 * @param before - What is known.
 * @param announcement - The announcement.
 * @param now - Steady milliseconds.
 * @returns What is known afterwards, and what is new.
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

	// Of two servers with different ids nothing tells which was first: the one that drains loses least by being the earlier one.
	const hasUnrelatedCurrent = current !== undefined && !current.isLeaving && compareLifetimes(current.announcement.lifetime, lifetime) === 'unrelated';
	if (announcement.isDraining && hasUnrelatedCurrent) {
		return {state: addEnded(state, lifetime, now), change: 'none'};
	}

	const isKnown = inactive.some(server => isSameLifetime(server.announcement.lifetime, lifetime));
	return isKnown || isSuperseded(state, lifetime) ? acceptInactive(state, announcement, now) : replaceServer(state, announcement, now);
}

/** Takes in that a lifetime leaves that is not the one in use. */
function leaveOther(state: LocalServerState, lifetime: ServerLifetime, now: number): ServerTransition {
	const {current} = state;
	const isKnown = state.inactive.some(server => isSameLifetime(server.announcement.lifetime, lifetime));
	const next = addEnded(state, lifetime, now);
	// A start that nothing was heard of, later than the one in use: that one has ended without a word.
	const isCurrentReplaced = current !== undefined && !isKnown && !isEnded(state, lifetime) && compareLifetimes(current.announcement.lifetime, lifetime) === 'earlier';
	return isCurrentReplaced ? leaveCurrent(next, current) : {state: next, change: 'none'};
}

/**
 * Tells whether a word that a server leaves may be a late one of an earlier start: it does not say which start leaves, and the one in use has
 * just followed another. Taken in, it would shut out the new one for as long as it lives; it must not be acknowledged either, since the new one may mean it.
 *
 * @param state - What is known.
 * @param leave - The word.
 * @param now - Steady milliseconds.
 * @returns Whether nobody can tell which start it is of.
 * @internal
 */
export function isAmbiguousLeave({current}: LocalServerState, {id, startedAt}: ServerLeave, now: number): boolean {
	return startedAt === undefined && current?.announcement.lifetime.id === id && now < current.ambiguousLeaveUntil;
}

/** Takes in that a server leaves which did not say which start of it does: the lifetime in use. */
function leaveWithoutStart(state: LocalServerState, id: BackendServerId, now: number): ServerTransition {
	const {current, inactive} = state;
	if (current?.announcement.lifetime.id === id) {
		return leaveCurrent(state, current);
	}

	const known = inactive.map(({announcement}) => announcement.lifetime).filter(lifetime => lifetime.id === id);
	if (known.length > 0 || state.ended.some(({lifetime}) => lifetime.id === id)) {
		return {state: addAllEnded(state, known, now), change: 'none'};
	}

	// It may have been served by an earlier run of this node; its late announcements must not bring it back.
	return {state: {...state, unmatchedLeaves: addBounded(state.unmatchedLeaves.filter(leave => leave.id !== id), {id, heardAt: now})}, change: 'none'};
}

/**
 * Takes in that a server leaves, whether or not it said before that it drains.
 *
 * @param state - What is known.
 * @param leave - The server, and which start of it if it said so.
 * @param now - Steady milliseconds.
 * @returns What is known afterwards, and what is new.
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
 * Doubts a server that could not be reached.
 *
 * @param state - What is known.
 * @param lifetime - The one that was asked.
 * @param until - Steady milliseconds.
 * @returns What is known afterwards.
 * @internal
 */
export function noteServerUnreachable(state: LocalServerState, lifetime: ServerLifetime, until: number): LocalServerState {
	const {current} = state;
	return current !== undefined && isSameLifetime(current.announcement.lifetime, lifetime) ? {...state, current: {...current, avoidUntil: until}} : state;
}

/**
 * Forgets a server, because another has its address: the next announcement tells which.
 *
 * @param state - What is known.
 * @param lifetime - The one that was asked and is not there.
 * @param now - Steady milliseconds.
 * @returns What is known afterwards.
 * @internal
 */
export function forgetServer(state: LocalServerState, lifetime: ServerLifetime, now: number): LocalServerState {
	const {current} = state;
	const isCurrent = current !== undefined && isSameLifetime(current.announcement.lifetime, lifetime);
	return addEnded({...state, current: isCurrent ? undefined : current}, lifetime, now);
}
