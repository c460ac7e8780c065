/**
 * Bounds how many large bodies come in over the link of this VM at once. Over a
 * slow link more of them at a time are no faster: all of them are late, and so
 * is every small answer that has to pass between them.
 *
 * @module
 */
import {createSlotPool, type SlotOutcome, type SlotRequest} from '../admission/slot-pool.js';
import {readAwakeMs} from '../common/clock.js';

/** What carries one body. @internal */
export type Transfer = {
	/** The body is here, or will not come. */
	readonly end: (isWhole: boolean) => void;
};

/** @internal */
export type TransferLimit = {
	/** Waits for a place on the link; the outcome is as that of a slot. */
	readonly acquire: (request: SlotRequest) => Promise<Transfer | Exclude<SlotOutcome, {readonly type: 'run'}>>;
};

/** Megabits a second of the link for each body that comes in at once. Uploads of the users have 60 KB on average: at this rate one takes 140 ms, a part of the shortest latency objective. */
const mbpsOfTransfer = 3.5;

/** Bodies that come in at once over the slowest links: while one waits for its sender the other moves. */
const fewestTransfers = 2;

/**
 * @param linkMbps - Megabits a second of a link.
 * @returns Large bodies that it carries at once in one direction.
 * @internal
 */
export function countTransfers(linkMbps: number): number {
	return Math.max(fewestTransfers, Math.floor(linkMbps / mbpsOfTransfer));
}

/**
 * @param linkMbps - Megabits a second of the link.
 * @returns The limit; nothing comes in yet.
 * @internal
 */
export function createTransferLimit(linkMbps: number): TransferLimit {
	const places = createSlotPool(countTransfers(linkMbps));
	return {
		async acquire(request) {
			const outcome = await places.acquire(request);
			if (outcome.type !== 'run') {
				return outcome;
			}

			const startedAt = readAwakeMs();
			let isOver = false;
			return {
				end(isWhole) {
					if (!isOver) {
						isOver = true;
						places.release(isWhole ? readAwakeMs() - startedAt : undefined);
					}
				},
			};
		},
	};
}
