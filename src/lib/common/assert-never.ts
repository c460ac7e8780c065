/**
 * Compile-time check that a switch handles every case of a union.
 *
 * @module
 */

/**
 * Marks the last branch of a switch over a union. The call does not compile if a case is missing.
 *
 * @param value - The value, of type `never` if all cases are handled.
 * @returns Never; it throws if an unhandled value occurs at run time.
 * @internal
 */
export function assertNever(value: never): never {
	throw new Error(`unexpected case: ${JSON.stringify(value)}`);
}
