/**
 * Keeps the slots of one backend server: hands them out, lets requests wait,
 * and ends their wait in time. What becomes of each request is decided in
 * `slot-queue.ts`.
 *
 * @module
 */
import {trimTimerMs, readSteadyMs} from '../common/clock.js';
import {
	admitToSlot, createSlotQueue, estimateWait, releaseToNext, removeQueued, resizeSlots,
	type QueuedRequest, type SlotQueue,
} from '../decisions/slot-queue.js';

/** A request that asks for a slot. @internal */
export type SlotRequest = {
	/** 0 goes first. */
	readonly rank: number;
	/** Milliseconds that it may be expected to wait. */
	readonly mayWaitMs: number;
	/** When its wait is over at the latest, in steady milliseconds. */
	readonly lastAt: number;
	/** Calls back once when nobody waits for it any more; yields a function that takes that back. */
	readonly listenForCancel: (handleCancel: () => void) => () => void;
};

/** What became of it. @internal */
export type SlotOutcome =
	/** It holds a slot, which has to be released. */
	| {readonly type: 'run'}
	| {readonly type: 'full'; readonly reason: string; readonly retryAfterMs: number}
	| {readonly type: 'cancelled'}
	/** The server is there no more. */
	| {readonly type: 'gone'};

/** @internal */
export type SlotPool = {
	readonly acquire: (request: SlotRequest) => Promise<SlotOutcome>;
	/** Gives a slot back; `tookMs` is `undefined` if that tells nothing of the server's speed. */
	readonly release: (tookMs: number | undefined) => void;
	readonly resize: (slots: number) => void;
	/** The server is there no more: nobody has to wait any longer. */
	readonly close: () => void;
	readonly describe: () => {readonly running: number; readonly waiting: number; readonly serviceMs: number};
};

/** A request that was taken waits for so many times the wait that was expected at the most: estimates are rough. */
const waitToleranceFactor = 2;

type FinishWait = (outcome: 'run' | 'late' | 'cancelled' | 'gone') => void;

/**
 * @param count - Requests that may be at the server at once.
 * @returns The keeper of a server that is idle.
 * @internal
 */
export function createSlotPool(count: number): SlotPool {
	let queue: SlotQueue = createSlotQueue(count);
	let nextId = 1;
	const finishById = new Map<number, FinishWait>();

	const startQueued = (started: readonly QueuedRequest[]): void => {
		for (const {id} of started) {
			finishById.get(id)?.('run');
		}
	};

	const waitForSlot = async (queued: QueuedRequest, request: SlotRequest): Promise<SlotOutcome> => new Promise(resolve => {
		let stopListening = (): void => undefined;
		const finish: FinishWait = outcome => {
			clearTimeout(timer);
			stopListening();
			finishById.delete(queued.id);
			if (outcome !== 'run') {
				queue = removeQueued(queue, queued.id);
			}

			resolve(outcome === 'late' ? {type: 'full', reason: 'no slot came free in time', retryAfterMs: estimateWait(queue, request.rank)} : {type: outcome});
		};

		const timer = setTimeout(() => {
			finish('late');
		}, trimTimerMs(queued.waitUntil - readSteadyMs()));
		finishById.set(queued.id, finish);
		stopListening = request.listenForCancel(() => {
			finish('cancelled');
		});
	});

	const resize = (slots: number): void => {
		const step = resizeSlots(queue, slots, readSteadyMs());
		queue = step.queue;
		startQueued(step.started);
	};

	return {
		async acquire(request) {
			const now = readSteadyMs();
			const queued: QueuedRequest = {
				id: nextId++,
				rank: request.rank,
				startBy: now + request.mayWaitMs,
				waitUntil: Math.min(now + (request.mayWaitMs * waitToleranceFactor), request.lastAt),
			};
			const step = admitToSlot(queue, queued, now);
			queue = step.queue;
			switch (step.decision.type) {
				case 'run': {
					return {type: 'run'};
				}

				case 'full': {
					return {type: 'full', reason: 'no slot in time', retryAfterMs: step.decision.retryAfterMs};
				}

				case 'wait': {
					const {displaced} = step.decision;
					if (displaced !== undefined) {
						finishById.get(displaced.id)?.('late');
					}

					return waitForSlot(queued, request);
				}
			}
		},
		release(tookMs) {
			const step = releaseToNext(queue, tookMs, readSteadyMs());
			queue = step.queue;
			startQueued(step.started);
		},
		resize,
		close() {
			for (const finish of finishById.values()) {
				finish('gone');
			}
		},
		describe: () => ({running: queue.running, waiting: queue.waiting.length, serviceMs: queue.serviceMs}),
	};
}
