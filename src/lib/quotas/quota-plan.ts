/**
 * Derives from the operators' tolerance how a quota is handed out in tokens, so that
 * no window ever has more uses than the tolerance allows.
 *
 * A window of length W has at most `rate * (W + time to live) + burst` uses, because a
 * token is used within its time to live, and because all buckets together hold at
 * most the burst at any time.
 *
 * @module
 */

/** What operators allow beyond the quotas of workspaces. @public */
export type QuotaTolerance = {
	readonly windowMs: number;
	/** Share of `rate * window + burst` that may be exceeded. */
	readonly overage: number;
	/** Requests in addition, per window. */
	readonly slack: number;
};

/** Applies where the settings have no section for quotas. @public */
export const defaultQuotaTolerance: QuotaTolerance = {windowMs: 5000, overage: 0.1, slack: 20};

/** The quota of one workspace. @internal */
export type QuotaLimit = {
	readonly ratePerSecond: number;
	readonly burst: number;
};

/** How a quota is handed out. @internal */
export type QuotaPlan = {
	/** Tokens per millisecond, over all nodes. */
	readonly ratePerMs: number;
	/** Most tokens that the buckets of all coordinators hold together. */
	readonly burst: number;
	/** How long a granted token is valid after the entry has sent the ask. */
	readonly ttlMs: number;
	/** Number of nodes whose loan is worth a whole token if the burst of their coordinator is less than one token. */
	readonly wholeTokenNodes: number;
};

/** The longest time to live, as long as a loan: tokens and loans of a lost node then end together. */
const maxTtlMs = 1000;

/** A shorter time to live would not outlast the round trip of an ask on a busy VM. If the tolerance is too small for it, the rate is reduced. */
const minTtlMs = 200;

/** Shares of the overage and of the slack for the time to live. The rest covers requests that wait between taking a token and running. */
const ttlOverageShare = 0.7;
const ttlSlackShare = 0.25;

/** Shares of the overage and of the slack for a larger burst, which saves tokens that arrive between two asks. */
const burstOverageShare = 0.2;
const burstSlackShare = 0.25;

/** Share of the slack for whole tokens of nodes with a small part. */
const wholeTokenSlackShare = 0.4;

/**
 * @param tolerance - What the operators allow.
 * @param limit - The quota, with a rate above 0.
 * @returns The plan.
 * @internal
 */
export function computeQuotaPlan({windowMs, overage, slack}: QuotaTolerance, {ratePerSecond, burst}: QuotaLimit): QuotaPlan {
	const ratePerMs = ratePerSecond / 1000;
	const allowed = (((ratePerMs * windowMs) + burst) * (1 + overage)) + slack;
	const ttlMs = Math.min(maxTtlMs, Math.max(minTtlMs, (ttlOverageShare * overage * windowMs) + (ttlSlackShare * slack / ratePerMs)));
	const plannedBurst = Math.max(1, burst) + (burstOverageShare * overage * ratePerMs * windowMs) + (burstSlackShare * slack);
	const wholeTokenNodes = Math.max(plannedBurst < 2 ? 1 : 0, Math.min(Math.floor(plannedBurst), Math.floor(wholeTokenSlackShare * slack)));
	// A burst below two tokens needs no reserve: a coordinator then has a whole token in proportion only if all nodes lend to it.
	const wholeTokenReserve = plannedBurst < 2 ? 0 : wholeTokenNodes;
	return {
		ratePerMs: Math.max(0, Math.min(ratePerMs, (allowed - plannedBurst - wholeTokenReserve) / (windowMs + ttlMs))),
		burst: plannedBurst,
		ttlMs,
		wholeTokenNodes,
	};
}
