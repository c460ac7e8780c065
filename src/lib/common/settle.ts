/**
 * Waits for promises whose failure is an answer like any other.
 *
 * @module
 */

/**
 * @param promise - May fail.
 * @returns What it yields, or `undefined` if it failed.
 * @internal
 */
export async function settle<T>(promise: Promise<T>): Promise<T | undefined> {
	try {
		return await promise;
	} catch {
		return undefined;
	}
}
