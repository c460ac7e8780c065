/**
 * The backend server beside a node, as it announces itself. The decision part:
 * time is handed in.
 *
 * @module
 */
import {type Address, type BackendServerId} from '../common/ids.js';

/** One announcement of a backend server. @internal */
export type ServerAnnouncement = {
	readonly id: BackendServerId;
	readonly service: string;
	readonly address: Address;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Milliseconds for which it stays slow after its start. */
	readonly coldMs: number;
	/** Grows with each announcement, so that a late one is recognised. */
	readonly sequence: number;
};

/** @internal */
export type LocalServer = {
	readonly announcement: ServerAnnouncement;
	/** Steady milliseconds. */
	readonly heardAt: number;
	/** It said that it drains or leaves: final for this id. */
	readonly isLeaving: boolean;
	/** It could not be reached; it gets no work before this time. Steady milliseconds. */
	readonly doubtedUntil: number;
};

/** @internal */
export type LocalServerState = {
	readonly current: LocalServer | undefined;
	/** Ids that said that they leave, or whose address another has: nothing they still say counts. */
	readonly goneIds: readonly BackendServerId[];
	/** Servers that gave way to another announcement without having left. */
	readonly replaced: readonly LocalServer[];
};

/** What an announcement changed. @internal */
export type ServerNews = 'none' | 'announced' | 'draining' | 'changed';

/** @internal */
export type ServerStep = {readonly state: LocalServerState; readonly news: ServerNews};

/** Former servers that are remembered; late announcements are seconds late, and a VM does not see this many servers in that time. */
const rememberedServers = 16;

/** A server that announced itself within this time is there, and another one's announcement is a late one. Milliseconds: twice the longest time between two announcements that users have. */
const freshMs = 3000;

/** @internal */
export const noLocalServer: LocalServerState = {current: undefined, goneIds: [], replaced: []};

function addGoneId({goneIds, replaced, ...state}: LocalServerState, id: BackendServerId): LocalServerState {
	return {
		...state,
		goneIds: goneIds.includes(id) ? goneIds : [...goneIds, id].slice(-rememberedServers),
		replaced: replaced.filter(({announcement}) => announcement.id !== id),
	};
}

/** Whether an announcement of a server that another has replaced shows that it is there after all: the other one's may have been the late one. */
function isBack(state: LocalServerState, before: LocalServer, announcement: ServerAnnouncement, now: number): boolean {
	const {current} = state;
	const isOtherSilent = current === undefined || current.isLeaving || now - current.heardAt > freshMs;
	return isOtherSilent && announcement.sequence > before.announcement.sequence;
}

/** Puts another server in the place of the one that was there. */
function replaceServer(state: LocalServerState, announcement: ServerAnnouncement, now: number): ServerStep {
	const {current: former} = state;
	const current: LocalServer = {
		announcement, heardAt: now, isLeaving: announcement.isDraining, doubtedUntil: 0,
	};
	const others = state.replaced.filter(server => server.announcement.id !== announcement.id);
	const replaced = former === undefined ? others : [...others, former].slice(-rememberedServers);
	const next = {...state, current, replaced};
	return {
		state: former?.isLeaving ? addGoneId(next, former.announcement.id) : next,
		news: announcement.isDraining ? 'draining' : 'announced',
	};
}

/**
 * Takes in an announcement. What is late or comes from an earlier server changes nothing.
 *
 * @param state - What is known.
 * @param announcement - The announcement.
 * @param now - Steady milliseconds.
 * @returns What is known afterwards, and what is new.
 * @internal
 */
export function acceptAnnouncement(state: LocalServerState, announcement: ServerAnnouncement, now: number): ServerStep {
	const {current} = state;
	if (state.goneIds.includes(announcement.id)) {
		return {state, news: 'none'};
	}

	if (current?.announcement.id !== announcement.id) {
		const before = state.replaced.find(server => server.announcement.id === announcement.id);
		if (before === undefined || isBack(state, before, announcement, now)) {
			return replaceServer(state, announcement, now);
		}

		// It is not taken back, but a word that it leaves is acknowledged, and binds.
		return {state: announcement.isDraining ? addGoneId(state, announcement.id) : state, news: 'none'};
	}

	if (announcement.sequence <= current.announcement.sequence) {
		return {state, news: 'none'};
	}

	const next: LocalServer = {
		announcement, heardAt: now, isLeaving: current.isLeaving || announcement.isDraining, doubtedUntil: current.doubtedUntil,
	};
	if (next.isLeaving && !current.isLeaving) {
		return {state: {...state, current: next}, news: 'draining'};
	}

	const isChanged = current.announcement.slots !== announcement.slots;
	return {state: {...state, current: next}, news: isChanged ? 'changed' : 'none'};
}

/**
 * Takes in that a server leaves, whether or not it said before that it drains.
 *
 * @param state - What is known.
 * @param id - The server.
 * @returns What is known afterwards, and what is new.
 * @internal
 */
export function acceptLeave(state: LocalServerState, id: BackendServerId): ServerStep {
	const {current} = state;
	if (current?.announcement.id !== id) {
		// It may have been served by an earlier run of this node; its late announcements must not bring it back.
		return {state: addGoneId(state, id), news: 'none'};
	}

	if (current.isLeaving) {
		return {state, news: 'none'};
	}

	return {state: {...state, current: {...current, isLeaving: true}}, news: 'draining'};
}

/**
 * Doubts a server that could not be reached.
 *
 * @param state - What is known.
 * @param until - Steady milliseconds.
 * @returns What is known afterwards.
 * @internal
 */
export function doubtServer(state: LocalServerState, until: number): LocalServerState {
	return state.current === undefined ? state : {...state, current: {...state.current, doubtedUntil: until}};
}

/**
 * Forgets a server, because another has its address: the next announcement tells which.
 *
 * @param state - What is known.
 * @param id - The server that was asked and is not there.
 * @returns What is known afterwards.
 * @internal
 */
export function forgetServer(state: LocalServerState, id: BackendServerId): LocalServerState {
	const {current} = state;
	return addGoneId({...state, current: current?.announcement.id === id ? undefined : current}, id);
}
