/**
 * Decides whether another lifetime of a backend server replaces the one in use,
 * because it keeps sending announcements while the one in use is silent.
 *
 * Of two lifetimes of one id, the one with the later start time is the newer,
 * unless the server's clock went back between them. Then the newer lifetime has
 * the earlier start time, and only the silence of the other one shows this:
 * late messages of an ended lifetime arrive while the newer one is sending.
 *
 * @module
 */
import {compareLifetimes, type ServerLifetime} from '../common/server-lifetime.js';
import {type LocalServer, type LocalServerState} from './local-server.js';

/**
 * A lifetime that was heard within this time is alive, and announcements of other lifetimes are late. Twice the longest
 * interval between two announcements that users configure.
 */
const silenceTimeoutMs = 3000;

type HeardLifetime = {readonly lifetime: ServerLifetime; readonly heardAt: number};

/** Lists the known lifetimes of the same id with a later start time, and when each was last heard. */
function listLaterStarts({current, inactive, ended}: LocalServerState, lifetime: ServerLifetime): readonly HeardLifetime[] {
	const heard = [...current === undefined ? [] : [current], ...inactive].map(({announcement, heardAt}) => ({lifetime: announcement.lifetime, heardAt}));
	return [...heard, ...ended].filter(later => compareLifetimes(later.lifetime, lifetime) === 'later');
}

/**
 * Returns whether a lifetime of the same id with a later start time is known.
 *
 * @param state - The state of the local server.
 * @param lifetime - The lifetime that sent an announcement.
 * @returns Whether a later start is known.
 * @internal
 */
export function isSuperseded(state: LocalServerState, lifetime: ServerLifetime): boolean {
	return listLaterStarts(state, lifetime).length > 0;
}

/**
 * Decides whether a lifetime that is not in use replaces the one in use. Called for an announcement with a higher sequence number than the previous announcement of the same lifetime.
 *
 * @param state - The state of the local server.
 * @param before - The lifetime, with its previous announcement.
 * @param now - Steady milliseconds.
 * @returns Whether the lifetime replaces the one in use.
 * @internal
 */
export function mayReplaceCurrent(state: LocalServerState, before: LocalServer, now: number): boolean {
	const {current} = state;
	const {lifetime} = before.announcement;
	// Two announcements with increasing sequence numbers since the later start was last heard: this lifetime keeps sending, the other does not.
	const hasFallenSilent = (later: HeardLifetime): boolean => now - later.heardAt > silenceTimeoutMs && before.heardAt > later.heardAt;
	const isCurrentInactive = current === undefined || current.isLeaving || now - current.heardAt > silenceTimeoutMs;
	return isCurrentInactive && listLaterStarts(state, lifetime).every(later => hasFallenSilent(later));
}
