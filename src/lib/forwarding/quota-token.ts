/**
 * The token of a request from the quota of its workspace, from its acquisition to its return.
 *
 * @module
 */
import {type QuotaDecision} from '../quotas/quotas.js';
import {type RouteRule} from '../route-config/route-config.js';

/** The longest wait for a token of a quota, in milliseconds, and the longest as a share of the latency objective. A caller that is refused returns after 300 ms or more, so that waiting is better. */
const maxQuotaWaitMs = 300;
const quotaWaitShare = 0.4;

/** @internal */
export type GrantedToken = Extract<QuotaDecision, {readonly type: 'granted'}>;

/** Stands for the token of a request without a quota. @internal */
export const noToken: GrantedToken = {type: 'granted', hasWaited: false, giveBack: () => undefined};

/** How a request got its token, for logs and metrics. @internal */
export type TokenUse = 'granted' | 'waited' | 'returned';

/**
 * @param token - The token of a request.
 * @param mayHaveRun - Whether the request may have been executed, so that the token is used.
 * @returns How the request got it; `undefined` without a quota.
 * @internal
 */
export function describeToken(token: GrantedToken, mayHaveRun: boolean): TokenUse | undefined {
	if (token === noToken) {
		return undefined;
	}

	if (!mayHaveRun) {
		return 'returned';
	}

	return token.hasWaited ? 'waited' : 'granted';
}

/**
 * Gives a token back whose request was certainly not executed.
 *
 * @param token - The token; `undefined` if the request got none.
 * @param mayHaveRun - Whether the request may have been executed.
 * @internal
 */
export function releaseToken(token: GrantedToken | undefined, mayHaveRun: boolean): void {
	if (!mayHaveRun) {
		token?.giveBack();
	}
}

/**
 * @param route - The route of a request.
 * @returns The longest wait for its token, in milliseconds.
 * @internal
 */
export function computeMaxTokenWaitMs({targetLatencyMs}: Pick<RouteRule, 'targetLatencyMs'>): number {
	return Math.min(maxQuotaWaitMs, targetLatencyMs * quotaWaitShare);
}
