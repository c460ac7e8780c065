/**
 * Selects the nodes that get a heartbeat in a round, by round-robin over their
 * positions in a list. Pure functions. A round visits only the nodes that are
 * due, so its cost does not depend on the length of the list.
 *
 * @module
 */

/** A silent node gets at most one heartbeat in this number of rounds, because most silent nodes have ended. @internal */
export const silentNodeRounds = 4;

/**
 * Lists the positions of the nodes that are due in a round.
 *
 * @param length - The number of nodes in the list.
 * @param every - The number of rounds between two turns of one node.
 * @param round - The number of the round.
 * @returns The positions, in ascending order.
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
 * Returns whether a silent node gets a heartbeat in one of its turns.
 *
 * @param position - The position of the silent node, which is due in the round.
 * @param every - The number of rounds between two turns of one node.
 * @param round - The number of the round.
 * @returns Whether it gets a heartbeat.
 * @internal
 */
export function isSilentNodeDue(position: number, every: number, round: number): boolean {
	return (position + round) % (every * Math.ceil(silentNodeRounds / every)) === 0;
}
