/**
 * Whose turn it is in a round of heartbeats: the decision part. Nodes take
 * turns by their place in a list, so a round visits those that are due and no
 * others, however many there are.
 *
 * @module
 */

/** Silent nodes get a heartbeat once in so many rounds: most of them are gone. @internal */
export const silentNodeRounds = 4;

/**
 * @param length - How many nodes the list holds.
 * @param every - Rounds between two turns of one node.
 * @param round - Number of the round.
 * @returns Places of those whose turn it is, in order.
 * @internal
 */
export function listDuePositions(length: number, every: number, round: number): readonly number[] {
	const positions: number[] = [];
	for (let position = (every - (round % every)) % every; position < length; position += every) {
		positions.push(position);
	}

	return positions;
}

/**
 * @param position - The position of a silent node whose turn it is.
 * @param every - Rounds between two turns of one node.
 * @param round - Number of the round.
 * @returns Whether it gets a heartbeat in this turn.
 * @internal
 */
export function isSilentNodeDue(position: number, every: number, round: number): boolean {
	return (position + round) % (every * Math.ceil(silentNodeRounds / every)) === 0;
}
