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
export type TrialWaitContext = {
	/** Milliseconds that a trial of a request has to wait; 0 if it may begin. */
	readonly getSettleMs: (fingerprint: Fingerprint) => number;
	/** Told when a request is asked for while another of it waits. */
	readonly handleRepeated: (fingerprint: Fingerprint) => void;
};

/** @internal */
export type TrialWait = {
	/** Waits until a trial may be judged again; yields nothing to wait for if it may be now. */
	readonly join: (fingerprint: Fingerprint) => Promise<void> | undefined;
};

/**
 * @param context - How long trials wait, and who is told.
 * @returns Waits, none begun.
 * @internal
 */
export function createTrialWait({getSettleMs, handleRepeated}: TrialWaitContext): TrialWait {
	/** The request that waits, by what it asks for; at most one of each. */
	const waiting = new Map<Fingerprint, AbortController>();

	const wait = async (fingerprint: Fingerprint, settleMs: number): Promise<void> => {
		const isOver = new AbortController();
		waiting.set(fingerprint, isOver);
		await waitFor(settleMs, isOver.signal);
		waiting.delete(fingerprint);
	};

	return {
		join(fingerprint): Promise<void> | undefined {
			const first = waiting.get(fingerprint);
			if (first !== undefined) {
				handleRepeated(fingerprint);
				first.abort();
				return undefined;
			}

			const settleMs = getSettleMs(fingerprint);
			return settleMs > 0 ? wait(fingerprint, settleMs) : undefined;
		},
	};
}
