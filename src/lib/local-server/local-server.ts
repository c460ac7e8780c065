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
	/** Ids that left or were replaced: nothing they still say counts. */
	readonly formerIds: readonly BackendServerId[];
};

/** What an announcement changed. @internal */
export type ServerNews = 'none' | 'announced' | 'draining' | 'changed';

/** @internal */
export type ServerStep = {readonly state: LocalServerState; readonly news: ServerNews};

/** Former ids that are remembered; late announcements are seconds late, and a VM does not see this many servers in that time. */
const rememberedIds = 16;

/** @internal */
export const noLocalServer: LocalServerState = {current: undefined, formerIds: []};

function addFormerId(state: LocalServerState): readonly BackendServerId[] {
	return state.current === undefined ? state.formerIds : [...state.formerIds, state.current.announcement.id].slice(-rememberedIds);
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
	if (state.formerIds.includes(announcement.id)) {
		return {state, news: 'none'};
	}

	if (current?.announcement.id !== announcement.id) {
		const next: LocalServer = {
			announcement, heardAt: now, isLeaving: announcement.isDraining, doubtedUntil: 0,
		};
		return {state: {current: next, formerIds: addFormerId(state)}, news: announcement.isDraining ? 'draining' : 'announced'};
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
		const formerIds = state.formerIds.includes(id) ? state.formerIds : [...state.formerIds, id].slice(-rememberedIds);
		return {state: {...state, formerIds}, news: 'none'};
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
 * Forgets the server, because another has its address: the next announcement tells which.
 *
 * @param state - What is known.
 * @returns What is known afterwards.
 * @internal
 */
export function forgetServer(state: LocalServerState): LocalServerState {
	return {current: undefined, formerIds: addFormerId(state)};
}
