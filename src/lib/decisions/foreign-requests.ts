/**
 * Requests at a backend server that its gate did not send, by the load reports. It answers the load after a
 * restart of the gate, whose earlier run left work at the server that hangs when it is full.
 *
 * Requests on their way only make a report look smaller, so a lower count is believed only after a while. A
 * higher one is believed if it lasts: a health check is over before the gate could leave room for it.
 *
 * @module
 */

/** Times are milliseconds of the steady clock. @internal */
export type ForeignRequests = {
	readonly count: number;
	/** When the count was last confirmed. */
	readonly at: number;
	/** A higher count that has been reported since `at`, not long enough to be believed. */
	readonly pending: {readonly count: number; readonly at: number} | undefined;
};

/** Time after which a higher count is believed: longer than a health check takes. */
const confirmMs = 20;

/** Time after which a lower count is believed: some reports of a busy server. */
const memoryMs = 100;

/** @internal */
export const noForeignRequests: ForeignRequests = {count: 0, at: 0, pending: undefined};

/**
 * Applies the count of a report.
 *
 * @param state - The state.
 * @param count - Requests that the gate did not send, at least, by the report.
 * @param isFirst - Whether nothing was known of the server, so that the count is believed at once.
 * @param now - Current time.
 * @returns The next state.
 * @internal
 */
export function recordForeignRequests(state: ForeignRequests, count: number, isFirst: boolean, now: number): ForeignRequests {
	if (isFirst) {
		return {count, at: now, pending: undefined};
	}

	if (count === state.count) {
		return {...state, at: now};
	}

	if (count < state.count) {
		return now - state.at < memoryMs ? state : {count, at: now, pending: undefined};
	}

	const {pending} = state;
	if (pending === undefined || now - pending.at > memoryMs) {
		return {...state, pending: {count, at: now}};
	}

	return now - pending.at < confirmMs ? state : {count: Math.min(count, pending.count), at: now, pending: undefined};
}
