/**
 * Notices that connections to a backend server may have gone silent: they look
 * open, and nothing that is sent on them arrives. Nothing but a request that
 * goes unanswered shows it, and every idle connection would cost one.
 *
 * @module
 */

/** @internal */
export type HalfOpenDetector = {
	/** Notes that a request is sent; yields a function that notes its end. */
	readonly recordRequest: (now: number) => () => void;
	/** Whether the connections that are open should be used no more: a request has waited for far longer than requests take. */
	readonly areSuspected: (serviceMs: number, now: number) => boolean;
};

/** A request that has waited for so many times the average is taken for lost: the users' longest work is six times the mean. */
const suspectFactor = 8;

/** And for this long at least, in milliseconds: averages of short work vary more. New connections instead of good ones cost a server a millisecond of a slot each. */
const minSuspectMs = 500;

/**
 * @returns What has seen no request yet.
 * @internal
 */
export function createHalfOpenDetector(): HalfOpenDetector {
	/** When requests under way were sent, the oldest first. */
	const pendingRequests = new Set<{readonly at: number}>();
	/** Requests that were sent before this tell nothing new. Steady milliseconds. */
	let suspectedAt = 0;
	return {
		recordRequest(now) {
			const request = {at: now};
			pendingRequests.add(request);
			return () => {
				pendingRequests.delete(request);
			};
		},
		areSuspected(serviceMs, now) {
			const limitMs = Math.max(minSuspectMs, serviceMs * suspectFactor);
			for (const {at} of pendingRequests) {
				if (now - at < limitMs) {
					return false;
				}

				if (at > suspectedAt) {
					suspectedAt = now;
					return true;
				}
			}

			return false;
		},
	};
}
