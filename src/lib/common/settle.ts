/**
 * Waits for promises whose rejection is not an error.
 *
 * @module
 */

/**
 * Waits for a promise that may reject.
 *
 * @param promise - The promise.
 * @returns The value of the promise, or `undefined` if it rejects.
 * @internal
 */
export async function settle<T>(promise: Promise<T>): Promise<T | undefined> {
	try {
		return await promise;
	} catch {
		return undefined;
	}
}
