/**
 * Tells callers that come back from those that come for the first time. A
 * caller says how long it will still wait; one that was refused before has less
 * time left than the callers of its route have at first.
 *
 * @module
 */

/** @internal */
export type CallerRetryDetector = {
	/** Notes how long a caller will wait; yields how long ago it first asked, in milliseconds, 0 if it asks for the first time. */
	readonly recordCall: (route: string, timeLeftMs: number) => number;
	/** Forgets routes that are gone. */
	readonly retain: (routes: ReadonlySet<string>) => void;
};

/** A caller with less than this share of the longest time left has come before. Times to come back are longer than the rest; what a connection takes is shorter. */
const retryThresholdShare = 0.93;

/**
 * @returns What has seen no caller yet.
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
