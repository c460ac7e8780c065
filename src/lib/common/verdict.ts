/**
 * The verdict on an attempt of a request: whether a backend server may have
 * executed it.
 *
 * Only the verdict decides whether a request may be sent again. Therefore only
 * code with certain knowledge may return `not-run`: the gate beside the backend
 * server, and a sender that has not sent a byte yet.
 *
 * @module
 */

/** @public */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** @public */
export const verdicts: readonly Verdict[] = ['not-run', 'may-have-run', 'ran'];

/**
 * Parses a verdict from a message header.
 *
 * @param text - The value of the header.
 * @returns The verdict. A missing or unknown value is `may-have-run`, which guarantees nothing.
 * @internal
 */
export function parseVerdict(text: string | undefined): Verdict {
	return verdicts.find(verdict => verdict === text) ?? 'may-have-run';
}

/**
 * Merges the verdicts of two attempts of the same request.
 *
 * @param first - The verdict of the earlier attempt.
 * @param second - The verdict of the later attempt.
 * @returns The verdict for both attempts together.
 * @internal
 */
export function mergeVerdicts(first: Verdict, second: Verdict): Verdict {
	if (first === 'ran' || second === 'ran') {
		return 'ran';
	}

	return first === 'may-have-run' || second === 'may-have-run' ? 'may-have-run' : 'not-run';
}
