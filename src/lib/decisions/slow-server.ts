/**
 * Decides when a gate turns a request away because the VM of its server has become slow since the entry heard of it.
 *
 * The load it answers: VMs that change their speed several times a second. What an entry knows of a server is older than half of such a change, so the choice of the
 * entry alone hardly avoids slow servers. The gate knows better, and its refusal takes two milliseconds where the slow server would take hundreds.
 *
 * @module
 */
import {type ServerView} from './load-view.js';
import {estimateSlowness} from './slowness.js';

/** A gate turns a request away if its server is slower than expected by this factor. Smaller differences come from other work on the VM that changes all the time. */
const unexpectedFactor = 1.3;

/** A server that is slower than its average by less than this factor takes all requests. */
const minSlowness = 1.15;

/** Number of gates that may turn a request away for this reason. If more do, most servers are slow, and another hop gains nothing. @internal */
export const maxSlowRefusals = 2;

/**
 * Computes how slow the server may be that gets a request.
 *
 * @param view - The known load of the server.
 * @param slowRefusals - Number of gates that have turned the request away since their servers were slow.
 * @param now - Current time, in milliseconds of the steady clock.
 * @returns A factor of the average service time of the server, above which its gate turns the request away; `undefined` if the server gets it in any case.
 * @internal
 */
export function computeMaxSlowness({slowness, reportedAt}: Pick<ServerView, 'slowness' | 'reportedAt'>, slowRefusals: number, now: number): number | undefined {
	return slowness === undefined || slowRefusals >= maxSlowRefusals
		? undefined
		: Math.max(minSlowness, estimateSlowness(slowness, now - reportedAt) * unexpectedFactor);
}
