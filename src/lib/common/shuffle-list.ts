/**
 * Random order.
 *
 * @module
 */

/**
 * Puts a list in random order.
 *
 * @param list - The list; it stays as it is.
 * @param random - Yields numbers from 0 up to 1.
 * @returns The shuffled copy.
 * @internal
 */
export function shuffleList<T>(list: readonly T[], random: () => number): readonly T[] {
	const copy = [...list];
	for (let index = copy.length - 1; index > 0; index--) {
		const other = Math.floor(random() * (index + 1));
		const held = copy[index] as T;
		copy[index] = copy[other] as T;
		copy[other] = held;
	}

	return copy;
}
