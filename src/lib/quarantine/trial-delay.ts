/**
 * Has requests on trial wait for a moment after the first crash that accuses
 * them, and finds those that several callers ask for meanwhile.
 *
 * A page that many ask for is answered all the time, and what was answered a
 * moment ago is not accused. One that many ask for, that was in work at a crash
 * and that nobody has answered is most likely what caused it.
 *
 * @module
 */
import {waitFor} from '../common/clock.js';
import {type Fingerprint} from './fingerprint.js';

/** @internal */
export type TrialDelayContext = {
	/** Milliseconds that a trial of a request has to wait; 0 if it may begin. */
	readonly getDelayMs: (fingerprint: Fingerprint) => number;
	/** Told when a request is asked for while another of it waits. */
	readonly handleRepeat: (fingerprint: Fingerprint) => void;
};

/** @internal */
export type TrialDelay = {
	/** Waits until a trial may be judged again; yields nothing to wait for if it may be now. */
	readonly wait: (fingerprint: Fingerprint) => Promise<void> | undefined;
};

/**
 * @param context - How long trials wait, and who is told.
 * @returns Waits, none begun.
 * @internal
 */
export function createTrialDelay({getDelayMs, handleRepeat}: TrialDelayContext): TrialDelay {
	/** The request that waits, by what it asks for; at most one of each. */
	const waiting = new Map<Fingerprint, AbortController>();

	const delayTrial = async (fingerprint: Fingerprint, delayMs: number): Promise<void> => {
		const abort = new AbortController();
		waiting.set(fingerprint, abort);
		await waitFor(delayMs, abort.signal);
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
