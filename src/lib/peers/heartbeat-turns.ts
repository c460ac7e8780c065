/**
 * Whose turn it is in a round of heartbeats: the decision part. Nodes take
 * turns by their place in a list, so a round visits those that are due and no
 * others, however many there are.
 *
 * @module
 */

/** Silent nodes get a heartbeat once in so many rounds: most of them are gone. @internal */
export const quietRounds = 4;

/**
 * @param length - How many nodes the list holds.
 * @param every - Rounds between two turns of one node.
 * @param round - Number of the round.
 * @returns Places of those whose turn it is, in order.
 * @internal
 */
export function listTurns(length: number, every: number, round: number): readonly number[] {
	const places: number[] = [];
	for (let place = (every - (round % every)) % every; place < length; place += every) {
		places.push(place);
	}

	return places;
}

/**
 * @param place - The place of a silent node whose turn it is.
 * @param every - Rounds between two turns of one node.
 * @param round - Number of the round.
 * @returns Whether it gets a heartbeat in this turn.
 * @internal
 */
export function hasQuietTurn(place: number, every: number, round: number): boolean {
	return (place + round) % (every * Math.ceil(quietRounds / every)) === 0;
}
