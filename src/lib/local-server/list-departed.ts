/**
 * Lists the lifetimes that the state of the local server excludes from requests
 * for good. They must be excluded after a restart of the node, too.
 *
 * @module
 */
import {toLifetimeKey, unknownStart, type ServerLifetime} from '../common/server-lifetime.js';
import {type LocalServerState} from './local-server.js';

function listDeparted({current, ended, unmatchedLeaves}: LocalServerState): readonly ServerLifetime[] {
	return [
		...current?.isLeaving ? [current.announcement.lifetime] : [],
		...ended.map(({lifetime}) => lifetime),
		// If servers announce their start time, the lifetime becomes known with the next announcement.
		...unmatchedLeaves.map(({id}) => ({id, startedAt: unknownStart})),
	];
}

/**
 * Lists the lifetimes that a message has excluded from requests for good.
 *
 * @param before - The state before the message.
 * @param after - The state after it.
 * @returns The lifetimes that drain or have left by `after`, and did not by `before`.
 * @internal
 */
export function listNewlyDeparted(before: LocalServerState, after: LocalServerState): readonly ServerLifetime[] {
	const known = new Set(listDeparted(before).map(lifetime => toLifetimeKey(lifetime)));
	return listDeparted(after).filter(lifetime => !known.has(toLifetimeKey(lifetime)));
}
