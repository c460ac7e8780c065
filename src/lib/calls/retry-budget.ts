/**
 * Limits retries to a small share of the calls, so that they cannot amplify an
 * overload.
 *
 * @module
 */
import {type CallSettings} from '../settings/settings.js';

/** Token bucket of retries; each call adds a fraction of a token. @internal */
export type RetryBudget = {
	readonly recordCall: () => void;
	/** Takes one retry from the budget; returns `false` if none is left. */
	readonly tryAcquire: () => boolean;
};

/**
 * @param settings - The tokens that each call adds, and the capacity of the bucket.
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
