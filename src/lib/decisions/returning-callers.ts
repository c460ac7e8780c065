/**
 * Tells callers that come back from those that come for the first time. A
 * caller says how long it will still wait; one that was refused before has less
 * time left than the callers of its route have at first.
 *
 * @module
 */

/** @internal */
export type ReturningCallers = {
	/** Notes how long a caller will wait; yields how long ago it first asked, in milliseconds, 0 if it asks for the first time. */
	readonly note: (route: string, timeLeftMs: number) => number;
	/** Forgets routes that are gone. */
	readonly retain: (routes: ReadonlySet<string>) => void;
};

/** A caller with less than this share of the longest time left has come before. Times to come back are longer than the rest; what a connection takes is shorter. */
const returningShare = 0.93;

/**
 * @returns What has seen no caller yet.
 * @internal
 */
export function createReturningCallers(): ReturningCallers {
	const longestByRoute = new Map<string, number>();
	return {
		note(route, timeLeftMs) {
			const longest = Math.max(timeLeftMs, longestByRoute.get(route) ?? 0);
			longestByRoute.set(route, longest);
			return timeLeftMs < longest * returningShare ? longest - timeLeftMs : 0;
		},
		retain(routes) {
			for (const route of longestByRoute.keys()) {
				if (!routes.has(route)) {
					longestByRoute.delete(route);
				}
			}
		},
	};
}
