/**
 * Decides whether a lifetime of a backend server that is not the one in use
 * shows, by going on to speak, that it is the one that lives.
 *
 * The start tells which of two lifetimes of one id is the newer, unless the
 * server's clock went back between them. Then the newer one has the earlier
 * start, and nothing but the silence of the other shows it: words that are late
 * come while the newer one speaks.
 *
 * @module
 */
import {compareLifetimes, type ServerLifetime} from '../common/server-lifetime.js';
import {type LocalServer, type LocalServerState} from './local-server.js';

/** A lifetime that spoke within this time is there, and another one's words are late ones. Milliseconds: twice the longest time between two announcements that users have. */
const silenceTimeoutMs = 3000;

type HeardLifetime = {readonly lifetime: ServerLifetime; readonly heardAt: number};

function listLaterStarts({current, inactive, ended}: LocalServerState, lifetime: ServerLifetime): readonly HeardLifetime[] {
	const heard = [...current === undefined ? [] : [current], ...inactive].map(({announcement, heardAt}) => ({lifetime: announcement.lifetime, heardAt}));
	return [...heard, ...ended].filter(later => compareLifetimes(later.lifetime, lifetime) === 'later');
}

/**
 * @param state - What is known.
 * @param lifetime - A lifetime that spoke.
 * @returns Whether a later start of the same id is known.
 * @internal
 */
export function isSuperseded(state: LocalServerState, lifetime: ServerLifetime): boolean {
	return listLaterStarts(state, lifetime).length > 0;
}

/**
 * Judges a word of a lifetime that is not in use, whose count has grown since the word before.
 *
 * @param state - What is known.
 * @param before - The lifetime, as it was heard before this word.
 * @param now - Steady milliseconds.
 * @returns Whether it takes the place of the one in use.
 * @internal
 */
export function mayReplaceCurrent(state: LocalServerState, before: LocalServer, now: number): boolean {
	const {current} = state;
	const {lifetime} = before.announcement;
	// Two words, with a count that grows, since the later start spoke last: it goes on, and the other does not.
	const hasFallenSilent = (later: HeardLifetime): boolean => now - later.heardAt > silenceTimeoutMs && before.heardAt > later.heardAt;
	const isCurrentInactive = current === undefined || current.isLeaving || now - current.heardAt > silenceTimeoutMs;
	return isCurrentInactive && listLaterStarts(state, lifetime).every(later => hasFallenSilent(later));
}
