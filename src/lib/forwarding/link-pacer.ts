/**
 * Token bucket that decides when a node may write more bytes to the link of its VM. The operating system sends bytes in
 * the order in which they are written, so later writes wait behind earlier ones. Large responses are therefore written no
 * faster than the link carries them.
 *
 * @module
 */
import {computeLinkBytesPerMs} from '../decisions/link-demand.js';

/** @internal */
export type LinkPacer = {
	/** Maximum bytes per write. */
	readonly pieceBytes: number;
	/** Records written bytes. Small frames are recorded too, but never wait. */
	readonly record: (bytes: number, now: number) => void;
	/** Returns the milliseconds until the next write is allowed. */
	readonly computeWaitMs: (now: number) => number;
	/** Returns how long the link takes to carry that many bytes alone, in milliseconds. */
	readonly computeSendMs: (bytes: number) => number;
	/** Returns the milliseconds until the link has carried what was written and that many bytes more. */
	readonly estimateMs: (bytes: number, now: number) => number;
};

/** How far writes may be ahead of the link. Enough to keep the link busy between two event loop iterations of a busy process. */
const burstMs = 20;

/**
 * Creates the pacer of an idle link.
 *
 * @param linkMbps - Bandwidth of the link in megabits per second; 0 if unknown, so that no write waits.
 * @returns The pacer.
 * @internal
 */
export function createLinkPacer(linkMbps: number): LinkPacer {
	const bytesPerMs = computeLinkBytesPerMs(linkMbps);
	/** Time at which the link has carried all written bytes, in steady milliseconds. */
	let drainedAt = 0;
	return {
		pieceBytes: Math.ceil(bytesPerMs * burstMs),
		record(bytes, now) {
			drainedAt = Math.max(drainedAt, now) + (bytes / bytesPerMs);
		},
		computeWaitMs: now => Math.max(0, drainedAt - now - burstMs),
		computeSendMs: bytes => bytes / bytesPerMs,
		estimateMs: (bytes, now) => Math.max(0, drainedAt - now) + (bytes / bytesPerMs),
	};
}
