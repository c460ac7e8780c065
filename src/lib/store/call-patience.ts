/**
 * How long a call on the store may go without an answer: the decision part. A
 * store that answers seldom fails, and then a new connection is better than
 * waiting; one that is slow would never answer if each call were given up and
 * begun anew just before its answer.
 *
 * @module
 */

/** @internal */
export type CallPatience = {
	/** Milliseconds that the next call may take. */
	readonly getMs: () => number;
	/** Notes that a call was answered, and after how many milliseconds. */
	readonly noteAnswer: (tookMs: number) => void;
	/** Notes that a call was given up after so many milliseconds without an answer. */
	readonly noteSilence: (limitMs: number) => void;
};

/** A usual store answers in a few milliseconds. */
const leastMs = 700;

/** Beyond this a change could not be in force in time. Milliseconds. */
const mostMs = 2000;

/** A slow store's next answer may take this much longer than its last. */
const margin = 2;

const trimPatience = (ms: number): number => Math.min(mostMs, Math.max(leastMs, ms));

/**
 * @returns The patience with a store of which nothing is known.
 * @internal
 */
export function createCallPatience(): CallPatience {
	let patienceMs = leastMs;
	return {
		getMs: () => patienceMs,
		noteAnswer(tookMs) {
			patienceMs = trimPatience(tookMs * margin);
		},
		noteSilence(limitMs) {
			// Calls that were under way together are one silence.
			patienceMs = Math.max(patienceMs, trimPatience(limitMs * margin));
		},
	};
}
