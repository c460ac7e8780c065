/**
 * When a node may hand its system more bytes for the link of its VM: the decision part. What the system has taken
 * leaves in its order, and whatever is sent next waits behind it, so that large answers are handed over no faster than
 * the link carries them.
 *
 * @module
 */
import {computeLinkPace} from '../decisions/link-demand.js';

/** @internal */
export type LinkPacer = {
	/** Bytes that are handed over in one piece at the most. */
	readonly pieceBytes: number;
	/** Notes bytes that were handed over. Small ones are noted as well, and never wait. */
	readonly record: (bytes: number, now: number) => void;
	/** Milliseconds until the next piece may be handed over. */
	readonly computeWaitMs: (now: number) => number;
};

/** What the link is handed ahead of time, in milliseconds of it: enough that it does not run dry between two turns of a busy process. */
const burstMs = 20;

/**
 * @param linkMbps - Megabits a second of the link; 0 if they are not known, so that nothing waits.
 * @returns The pacer of a link that carries nothing yet.
 * @internal
 */
export function createLinkPacer(linkMbps: number): LinkPacer {
	const bytesPerMs = computeLinkPace(linkMbps);
	/** When the link has carried all that was handed over, in steady milliseconds. */
	let drainedAt = 0;
	return {
		pieceBytes: Math.ceil(bytesPerMs * burstMs),
		record(bytes, now) {
			drainedAt = Math.max(drainedAt, now) + (bytes / bytesPerMs);
		},
		computeWaitMs: now => Math.max(0, drainedAt - now - burstMs),
	};
}
