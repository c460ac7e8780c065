/**
 * Bounds what bodies may hold of a node's memory together.
 *
 * @module
 */

/** @internal */
export type ByteBudget = {
	/** Takes bytes if they are left. */
	readonly tryAcquire: (bytes: number) => boolean;
	readonly release: (bytes: number) => void;
};

/** A budget that never runs out, for bodies whose sender is bounded already. @internal */
export const unlimitedBudget: ByteBudget = {tryAcquire: () => true, release: () => undefined};

/**
 * @param limit - Bytes that may be held at once.
 * @returns A budget of which nothing is taken.
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
