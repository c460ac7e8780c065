/**
 * Detects half-open connections to a backend server: they look open, but nothing
 * sent on them arrives. Only a request that gets no answer reveals a half-open connection. Without
 * this detector, each idle half-open connection would cost one request.
 *
 * @module
 */

/** @internal */
export type HalfOpenDetector = {
	/** Records that a request is sent; returns a function that records its end. */
	readonly recordRequest: (now: number) => () => void;
	/** Returns whether the open connections should no longer be used, because a request has waited far longer than requests take. */
	readonly areSuspected: (serviceMs: number, now: number) => boolean;
};

/** A request is considered lost after this multiple of the mean service time. The longest requests of the users take six times the mean. */
const suspectFactor = 8;

/** Minimum wait before a request is considered lost, because the mean service time of short requests varies more. Replacing a working connection by mistake costs the server one millisecond of a slot. */
const minSuspectMs = 500;

/**
 * Creates a detector for the connections to one backend server.
 *
 * @returns The detector, with no request recorded.
 * @internal
 */
export function createHalfOpenDetector(): HalfOpenDetector {
	/** When the requests in flight were sent, oldest first. In milliseconds of the steady clock. */
	const pendingRequests = new Set<{readonly at: number}>();
	/** When the connections were last suspected. Requests sent earlier do not cause another suspicion. In milliseconds of the steady clock. */
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
