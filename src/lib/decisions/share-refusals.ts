/**
 * What an entry knows of workspaces over their share. Entries refuse most requests
 * by the expected wait, which does not tell workspaces apart. Gates say in their
 * refusals that a workspace is over its share; the entry then refuses its
 * requests for a short time, or until one of them gets a slot, and leaves the gates to the
 * others.
 *
 * @module
 */

/** @internal */
export type ShareRefusals = {
	/** Records that a gate refused a request since its workspace is over its share. */
	readonly record: (workspace: string, now: number) => void;
	/** Records that a request of the workspace got a slot. */
	readonly recordGrant: (workspace: string) => void;
	readonly isOverShare: (workspace: string, now: number) => boolean;
};

/** Number of refusals after which a workspace counts as over its share. One gate sees too few requests of a small workspace to be sure. */
const minRefusals = 2;

/** How long refusals of gates are remembered, in milliseconds. @internal */
export const shareMemoryMs = 500;

/**
 * @returns No refusals.
 * @internal
 */
export function createShareRefusals(): ShareRefusals {
	const refusals = new Map<string, {readonly count: number; readonly until: number}>();
	return {
		record(workspace, now) {
			const known = refusals.get(workspace);
			const count = known === undefined || known.until <= now ? 0 : known.count;
			refusals.set(workspace, {count: count + 1, until: now + shareMemoryMs});
		},
		recordGrant(workspace) {
			refusals.delete(workspace);
		},
		isOverShare(workspace, now) {
			const known = refusals.get(workspace);
			if (known !== undefined && known.until <= now) {
				refusals.delete(workspace);
				return false;
			}

			return known !== undefined && known.count >= minRefusals;
		},
	};
}
