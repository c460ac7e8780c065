/**
 * What an entry knows of the limit of a backend server, and when it asks the gate
 * of that server again after a refusal: an exponential backoff.
 *
 * @module
 */

/** Times are milliseconds of any one clock. @internal */
export type LimitView = {
	/** Requests per second that the server takes from all nodes together; `undefined` if it names no limit. */
	readonly limitPerSecond: number | undefined;
	/** Until when the limit is expected to be used up. */
	readonly limitedUntil: number;
	/** Refusals by the limit in a row. A response halves them. */
	readonly limitRefusals: number;
};

/** The view of a server that has named no limit. @internal */
export const unlimitedView: LimitView = {limitPerSecond: undefined, limitedUntil: 0, limitRefusals: 0};

/** Longest time for which a server is avoided, in milliseconds. An entry learns only from requests that a limit has ended. */
const maxBackoffMs = 2000;

/** With each refusal in a row the time doubles, up to this power of two: many nodes may share a limit. */
const maxBackoffPower = 6;

/**
 * Applies what a response of the server names.
 *
 * @param view - What the entry knew.
 * @param limitPerSecond - The limit; `undefined` if the response names none.
 * @returns What it knows now.
 * @internal
 */
export function applyNamedLimit(view: LimitView, limitPerSecond: number | undefined): LimitView {
	return limitPerSecond === undefined
		? unlimitedView
		: {limitPerSecond, limitedUntil: view.limitedUntil, limitRefusals: Math.floor(view.limitRefusals / 2)};
}

/**
 * Applies a refusal of the gate because the limit is used up.
 *
 * @param view - What the entry knew.
 * @param waitMs - Time until the gate expects room, with jitter, in milliseconds.
 * @param now - The current time.
 * @returns What it knows now.
 * @internal
 */
export function applyLimitRefusal({limitPerSecond, limitedUntil, limitRefusals}: LimitView, waitMs: number, now: number): LimitView {
	const backoffMs = Math.min(maxBackoffMs, waitMs * (2 ** Math.min(maxBackoffPower, limitRefusals)));
	return {limitPerSecond, limitedUntil: Math.max(limitedUntil, now + backoffMs), limitRefusals: limitRefusals + 1};
}
