/**
 * Estimates the demand of large responses on the network link of a VM: how long a response may wait for the link, and how long the
 * response to a request that starts now will wait. If a server answers faster than the link can transmit, all responses are late,
 * however many slots are free.
 *
 * @module
 */
import {type CallState, computeWorkMs} from './plan-attempt.js';
import {type Candidate} from './rank-servers.js';

/** Share of a link that large responses may use. The rest is for packet headers, acknowledgements and heartbeats, which are not counted. */
const usableLinkShare = 0.9;

/**
 * @param linkMbps - Capacity of a link in megabits per second; 0 if unknown, so that nothing waits.
 * @returns Rate in bytes per millisecond at which large responses are sent over it.
 * @internal
 */
export function computeLinkBytesPerMs(linkMbps: number): number {
	return linkMbps > 0 ? linkMbps * 1000 / 8 * usableLinkShare : Number.POSITIVE_INFINITY;
}

/** Wait for the link that is acceptable even for a response that is already late, so that it can still use a nearly idle link. */
const minWaitMs = 100;

/**
 * @param call - A call whose response is large.
 * @param server - The server that would answer it.
 * @returns Milliseconds for which the response may wait for the link of the server's VM. If it waited longer, it would be late and delay others that can still be in time.
 * @internal
 */
export function computeMaxResponseWaitMs({targetLatencyMs, ageMs}: Pick<CallState, 'targetLatencyMs' | 'ageMs'>, server: Candidate): number {
	return Math.max(minWaitMs, targetLatencyMs - ageMs - computeWorkMs(server));
}

/** Large responses that the server beside this node is producing. @internal */
export type LinkDemand = {
	/** Records that the server starts to produce a large response. Returns a function to call when it ends, with the size of the response in bytes; 0 if there was no response. */
	readonly begin: () => (bytes: number) => void;
	/** Returns for how many milliseconds the response to a request that starts now will wait, if `heldBytes` are queued for the link and the server takes `serviceMs`. */
	readonly estimateWaitMs: (heldBytes: number, serviceMs: number) => number;
};

/** Weight of the newest response in the moving average of response sizes. */
const smoothingFactor = 0.1;

/**
 * @param linkMbps - Capacity of the link in megabits per second; 0 if unknown.
 * @returns The demand of an idle server.
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
