/**
 * Delays a request on trial for a short time after its first crash, and detects
 * whether several callers send it in that time.
 *
 * A popular page is answered all the time, and a request that was answered recently
 * is not suspected. A popular request that was in flight at a crash and that no
 * server has answered is most likely the cause of the crash.
 *
 * @module
 */
import {waitFor} from '../common/clock.js';
import {type Fingerprint} from './fingerprint.js';

/** @internal */
export type TrialDelayContext = {
	/** Returns for how many milliseconds the trial of a request has to wait; 0 if it may start. */
	readonly getDelayMs: (fingerprint: Fingerprint) => number;
	/** Called when a request arrives while the same request from another caller waits. */
	readonly handleRepeat: (fingerprint: Fingerprint) => void;
};

/** @internal */
export type TrialDelay = {
	/** Waits until the request may be checked again; returns `undefined` if it may be checked immediately. */
	readonly wait: (fingerprint: Fingerprint) => Promise<void> | undefined;
};

/**
 * @param context - The delay, and the handler of repeated requests.
 * @returns A trial delay without waiting requests.
 * @internal
 */
export function createTrialDelay({getDelayMs, handleRepeat}: TrialDelayContext): TrialDelay {
	/** Waiting requests, at most one per fingerprint; aborting the controller ends the wait. */
	const waiting = new Map<Fingerprint, AbortController>();

	const delayTrial = async (fingerprint: Fingerprint, delayMs: number): Promise<void> => {
		const controller = new AbortController();
		waiting.set(fingerprint, controller);
		await waitFor(delayMs, controller.signal);
		waiting.delete(fingerprint);
	};

	return {
		wait(fingerprint): Promise<void> | undefined {
			const first = waiting.get(fingerprint);
			if (first !== undefined) {
				handleRepeat(fingerprint);
				first.abort();
				return undefined;
			}

			const delayMs = getDelayMs(fingerprint);
			return delayMs > 0 ? delayTrial(fingerprint, delayMs) : undefined;
		},
	};
}
