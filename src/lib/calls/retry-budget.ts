/**
 * Keeps retries a small share of the calls, so that they cannot multiply an
 * overload.
 *
 * @module
 */
import {type CallSettings} from '../settings/settings.js';

/** @internal */
export type RetryBudget = {
	readonly recordCall: () => void;
	/** Takes a retry out of the budget if there is one. */
	readonly tryAcquire: () => boolean;
};

/**
 * @param settings - The share and the burst.
 * @returns A full budget.
 * @internal
 */
export function createRetryBudget(settings: Pick<CallSettings, 'retryShare' | 'retryBurst'>): RetryBudget {
	let tokens = settings.retryBurst;
	return {
		recordCall() {
			tokens = Math.min(settings.retryBurst, tokens + settings.retryShare);
		},
		tryAcquire() {
			if (tokens < 1) {
				return false;
			}

			tokens -= 1;
			return true;
		},
	};
}
