/**
 * Limits the memory that all buffered request bodies of a node use together.
 *
 * @module
 */

/** @internal */
export type ByteBudget = {
	/** Reserves bytes and returns true, or returns false if the limit would be exceeded. */
	readonly tryAcquire: (bytes: number) => boolean;
	readonly release: (bytes: number) => void;
};

/** A budget without a limit, for bodies whose sender is already limited. @internal */
export const unlimitedBudget: ByteBudget = {tryAcquire: () => true, release: () => undefined};

/**
 * Creates a budget with nothing reserved.
 *
 * @param limit - Maximum bytes reserved at the same time.
 * @returns The budget.
 * @internal
 */
export function createByteBudget(limit: number): ByteBudget {
	let held = 0;
	return {
		tryAcquire(bytes) {
			if (held + bytes > limit) {
				return false;
			}

			held += bytes;
			return true;
		},
		release(bytes) {
			held -= bytes;
		},
	};
}
