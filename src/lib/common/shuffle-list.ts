/**
 * Shuffles lists.
 *
 * @module
 */

/**
 * Shuffles a copy of a list (Fisher-Yates).
 *
 * @param list - The list, which is not modified.
 * @param random - Returns numbers from 0 up to, but not including, 1.
 * @returns The shuffled copy.
 * @internal
 */
export function shuffleList<T>(list: readonly T[], random: () => number): readonly T[] {
	const copy = [...list];
	for (let index = copy.length - 1; index > 0; index--) {
		const other = Math.floor(random() * (index + 1));
		const element = copy[index] as T;
		copy[index] = copy[other] as T;
		copy[other] = element;
	}

	return copy;
}
