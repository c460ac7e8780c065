/**
 * Estimates how long the answers of a route are, so that a request is refused before it
 * is sent if its answer would find no room.
 *
 * @module
 */

/** @internal */
export type ExpectedAnswers = {
	/** Records the length of an answer, in bytes. */
	readonly record: (route: string, bytes: number) => void;
	/** Returns the room that the answer of a request needs, in bytes; 0 for a route whose answers are short. */
	readonly estimate: (route: string) => number;
};

/** Answers up to this length on average are not reserved for. */
const shortAnswerBytes = 16_384;

/** Weight of the latest answer in the average of its route. */
const latestWeight = 0.125;

/** Share of the bound that a reservation takes at the most, so that a single answer near the bound is not refused for its own reservation. */
const maxReservedShare = 0.1;

/** Routes that are remembered. Beyond them, all are forgotten: the averages are soon known again. */
const maxRoutes = 1000;

/**
 * @param limitBytes - The bound on bodies and answers.
 * @returns Estimates without any answer.
 * @internal
 */
export function createExpectedAnswers(limitBytes: number): ExpectedAnswers {
	const means = new Map<string, number>();
	return {
		record(route, bytes) {
			const mean = means.get(route) ?? 0;
			if (mean === 0 && bytes <= shortAnswerBytes) {
				return;
			}

			if (means.size >= maxRoutes) {
				means.clear();
			}

			means.set(route, mean + ((bytes - mean) * latestWeight));
		},
		estimate(route) {
			const mean = means.get(route) ?? 0;
			return mean <= shortAnswerBytes ? 0 : Math.min(mean, limitBytes * maxReservedShare);
		},
	};
}
