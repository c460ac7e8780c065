/**
 * Bounds how many large bodies come in over the link of this VM at once. Over a
 * slow link more of them at a time are no faster: all of them are late, and so
 * is every small answer that has to pass between them.
 *
 * @module
 */
import {createSlotKeeper, type SlotOutcome, type SlotRequest} from '../admission/slot-keeper.js';
import {readAwakeMs} from '../common/clock.js';

/** What carries one body. @internal */
export type Upload = {
	/** The body is here, or will not come. */
	readonly end: (isWhole: boolean) => void;
};

/** @internal */
export type UploadLimit = {
	/** Waits for a place on the link; the outcome is as that of a slot. */
	readonly acquire: (request: SlotRequest) => Promise<Upload | Exclude<SlotOutcome, {readonly type: 'run'}>>;
};

/** Megabits a second of the link for each body that comes in at once. Uploads of the users have 60 KB on average: at this rate one takes 140 ms, a part of the shortest latency objective. */
const mbpsPerUpload = 3.5;

/** Bodies that come in at once over the slowest links: while one waits for its sender the other moves. */
const minUploadCount = 2;

/**
 * @param linkMbps - Megabits a second of a link.
 * @returns Large bodies that it carries at once in one direction.
 * @internal
 */
export function computeMaxUploads(linkMbps: number): number {
	return Math.max(minUploadCount, Math.floor(linkMbps / mbpsPerUpload));
}

/**
 * @param linkMbps - Megabits a second of the link.
 * @returns The limit; nothing comes in yet.
 * @internal
 */
export function createUploadLimit(linkMbps: number): UploadLimit {
	const slots = createSlotKeeper(computeMaxUploads(linkMbps));
	return {
		async acquire(request) {
			const outcome = await slots.acquire(request);
			if (outcome.type !== 'run') {
				return outcome;
			}

			const startedAt = readAwakeMs();
			let isEnded = false;
			return {
				end(isWhole) {
					if (!isEnded) {
						isEnded = true;
						slots.release(isWhole ? readAwakeMs() - startedAt : undefined);
					}
				},
			};
		},
	};
}
