/**
 * The verdict on one attempt of a request: may a backend server have run it?
 *
 * Whether a request may be sent again rests on this type and on nothing else,
 * so only the places that know may say `not-run`: the gate beside the backend
 * server, and a sender that has not sent a byte yet.
 *
 * @module
 */

/** @public */
export type Verdict = 'not-run' | 'may-have-run' | 'ran';

/** @public */
export const verdicts: readonly Verdict[] = ['not-run', 'may-have-run', 'ran'];

/**
 * Reads a verdict that came over the wire.
 *
 * @param text - The header's value.
 * @returns The verdict. A value that is missing or unknown is `may-have-run`, the one that promises nothing.
 * @internal
 */
export function parseVerdict(text: string | undefined): Verdict {
	return verdicts.find(verdict => verdict === text) ?? 'may-have-run';
}

/**
 * Joins the verdicts of two attempts of the same request.
 *
 * @param first - The earlier attempt's verdict.
 * @param second - The later attempt's verdict.
 * @returns What holds for both together.
 * @internal
 */
export function mergeVerdicts(first: Verdict, second: Verdict): Verdict {
	if (first === 'ran' || second === 'ran') {
		return 'ran';
	}

	return first === 'may-have-run' || second === 'may-have-run' ? 'may-have-run' : 'not-run';
}
