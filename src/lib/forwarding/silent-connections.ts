/**
 * Notices that connections to a backend server may have gone silent: they look
 * open, and nothing that is sent on them arrives. Nothing but a request that
 * goes unanswered shows it, and every idle connection would cost one.
 *
 * @module
 */

/** @internal */
export type SilentConnections = {
	/** Notes that a request is sent; yields a function that notes its end. */
	readonly begin: (now: number) => () => void;
	/** Whether the connections that are open should be used no more: a request has waited for far longer than requests take. */
	readonly areDoubtful: (serviceMs: number, now: number) => boolean;
};

/** A request that has waited for so many times the average is taken for lost: the users' longest work is six times the mean. */
const lostFactor = 8;

/** And for this long at least, in milliseconds: averages of short work vary more. New connections instead of good ones cost a server a millisecond of a slot each. */
const leastLostMs = 500;

/**
 * @returns What has seen no request yet.
 * @internal
 */
export function createSilentConnections(): SilentConnections {
	/** When requests under way were sent, the oldest first. */
	const sent = new Set<{readonly at: number}>();
	/** Requests that were sent before this tell nothing new. Steady milliseconds. */
	let doubtedAt = 0;
	return {
		begin(now) {
			const request = {at: now};
			sent.add(request);
			return () => {
				sent.delete(request);
			};
		},
		areDoubtful(serviceMs, now) {
			const limitMs = Math.max(leastLostMs, serviceMs * lostFactor);
			for (const {at} of sent) {
				if (now - at < limitMs) {
					return false;
				}

				if (at > doubtedAt) {
					doubtedAt = now;
					return true;
				}
			}

			return false;
		},
	};
}
