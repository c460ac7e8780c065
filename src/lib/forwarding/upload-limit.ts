/**
 * Limits how many large request bodies are received over the link of this VM at the same time.
 * More concurrent bodies do not increase the throughput of a slow link: they delay each
 * other and every small response sent meanwhile.
 *
 * @module
 */
import {createSlotPool, type SlotOutcome, type SlotRequest} from '../admission/slot-pool.js';
import {readAwakeMs} from '../common/clock.js';

/** A large request body that holds one place of the limit. @internal */
export type Upload = {
	/** Releases the place, when the body is complete or will not arrive. */
	readonly end: (isComplete: boolean) => void;
};

/** @internal */
export type UploadLimit = {
	/** Waits for a place on the link. Returns the upload, or the slot outcome that says why no place was granted. */
	readonly acquire: (request: SlotRequest) => Promise<Upload | Exclude<SlotOutcome, {readonly type: 'run'}>>;
};

/** Bandwidth per concurrent upload, in megabits per second. The users' uploads have 60 KB on average; at this rate one takes 140 ms, a part of the shortest latency objective. */
const mbpsPerUpload = 3.5;

/** Minimum number of concurrent uploads, for the slowest links: one proceeds while the other waits for its sender. */
const minUploadCount = 2;

/**
 * Computes how many large bodies a link carries at the same time in one direction.
 *
 * @param linkMbps - Bandwidth of the link in megabits per second.
 * @returns The maximum number of concurrent uploads.
 * @internal
 */
export function computeMaxUploads(linkMbps: number): number {
	return Math.max(minUploadCount, Math.floor(linkMbps / mbpsPerUpload));
}

/**
 * Creates the limit for a link without uploads.
 *
 * @param linkMbps - Bandwidth of the link in megabits per second.
 * @returns The limit.
 * @internal
 */
export function createUploadLimit(linkMbps: number): UploadLimit {
	const slots = createSlotPool(computeMaxUploads(linkMbps));
	return {
		async acquire(request) {
			const outcome = await slots.acquire(request);
			if (outcome.type !== 'run') {
				return outcome;
			}

			const startedAt = readAwakeMs();
			let isEnded = false;
			return {
				end(isComplete) {
					if (!isEnded) {
						isEnded = true;
						slots.release(isComplete ? readAwakeMs() - startedAt : undefined);
					}
				},
			};
		},
	};
}
