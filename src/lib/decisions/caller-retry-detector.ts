/**
 * Detects retries of callers. A request states how much time its caller has
 * left; a caller that was refused before has less time left than callers
 * of the same route have in their first request.
 *
 * @module
 */

/** @internal */
export type CallerRetryDetector = {
	/** Records the time left of a caller; returns how many milliseconds ago it sent its first request, 0 if this is the first one. */
	readonly recordCall: (route: string, timeLeftMs: number) => number;
	/** Removes the state of all routes except these. */
	readonly retain: (routes: ReadonlySet<string>) => void;
};

/** A caller with less than this share of the longest time left is retrying. Retry delays are longer than the remaining share, and the time to connect is shorter. */
const retryThresholdShare = 0.93;

/**
 * @returns A detector without any recorded call.
 * @internal
 */
export function createCallerRetryDetector(): CallerRetryDetector {
	const longestTimeLeftMs = new Map<string, number>();
	return {
		recordCall(route, timeLeftMs) {
			const longest = Math.max(timeLeftMs, longestTimeLeftMs.get(route) ?? 0);
			longestTimeLeftMs.set(route, longest);
			return timeLeftMs < longest * retryThresholdShare ? longest - timeLeftMs : 0;
		},
		retain(routes) {
			for (const route of longestTimeLeftMs.keys()) {
				if (!routes.has(route)) {
					longestTimeLeftMs.delete(route);
				}
			}
		},
	};
}
