/**
 * Exhausts unions at compile time.
 *
 * @module
 */

/**
 * Stands in the last branch of a switch over a union. It fails to compile when a case is missing.
 *
 * @param value - What the compiler has proved impossible.
 * @returns Never; an error if the impossible came about.
 * @internal
 */
export function assertNever(value: never): never {
	throw new Error(`unexpected case: ${JSON.stringify(value)}`);
}
