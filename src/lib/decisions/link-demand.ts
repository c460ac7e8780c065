/**
 * Answers that share the link of a VM: how long one may wait for it, and how long one to a request that begins now is to
 * wait. What a server answers faster than the link carries is late for all, however many of its slots are free.
 *
 * @module
 */
import {type CallState, computeWorkMs} from './plan-attempt.js';
import {type Candidate} from './rank-servers.js';

/** Part of a link that large answers may fill. The rest is for headers of packets, acknowledgements and heartbeats, which are not counted. */
const usableLinkShare = 0.9;

/**
 * @param linkMbps - Megabits a second of a link; 0 if they are not known, so that nothing waits.
 * @returns Bytes a millisecond at which large answers leave over it.
 * @internal
 */
export function computeLinkBytesPerMs(linkMbps: number): number {
	return linkMbps > 0 ? linkMbps * 1000 / 8 * usableLinkShare : Number.POSITIVE_INFINITY;
}

/** An answer that is late already may wait this long: a link that is nearly free is as good as a slot that is. Milliseconds. */
const minWaitMs = 100;

/**
 * @param call - A call whose answer is large.
 * @param server - The server that would answer it.
 * @returns Milliseconds for which its answer may wait for the link of the server's VM. One that waited longer would be late, and make others late that can still be in time.
 * @internal
 */
export function computeMaxResponseWaitMs({targetLatencyMs, ageMs}: Pick<CallState, 'targetLatencyMs' | 'ageMs'>, server: Candidate): number {
	return Math.max(minWaitMs, targetLatencyMs - ageMs - computeWorkMs(server));
}

/** Large answers that the server of a node is at work on. @internal */
export type LinkDemand = {
	/** Notes that the server begins to work on one; yields what is called with the bytes of the answer, 0 if none came. */
	readonly begin: () => (bytes: number) => void;
	/** Milliseconds for which the answer to a request that begins now is to wait, with so many bytes waiting and work that takes so long. */
	readonly estimateWaitMs: (heldBytes: number, serviceMs: number) => number;
};

/** Weight of the newest answer in what an answer is expected to have. */
const smoothingFactor = 0.1;

/**
 * @param linkMbps - Megabits a second of the link; 0 if they are not known.
 * @returns The demand of a server that is at work on nothing.
 * @internal
 */
export function createLinkDemand(linkMbps: number): LinkDemand {
	const bytesPerMs = computeLinkBytesPerMs(linkMbps);
	let inFlight = 0;
	let averageBytes: number | undefined;
	return {
		begin() {
			inFlight++;
			return bytes => {
				inFlight--;
				if (bytes > 0) {
					averageBytes = averageBytes === undefined ? bytes : averageBytes + ((bytes - averageBytes) * smoothingFactor);
				}
			};
		},
		estimateWaitMs: (heldBytes, serviceMs) => Math.max(0, ((heldBytes + (inFlight * (averageBytes ?? 0))) / bytesPerMs) - serviceMs),
	};
}
