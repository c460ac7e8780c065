/**
 * Keeps the slots of one backend server: hands them out, lets requests wait,
 * and ends their wait in time. What becomes of each request is decided in
 * `slot-queue.ts`.
 *
 * @module
 */
import {trimTimerMs, readSteadyMs} from '../common/clock.js';
import {
	admitToQueue, createSlotQueue, estimateWaitMs, finishRequest, removeFromQueue, resizeSlots,
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
	readonly listenForEnd: (handleEnd: () => void) => () => void;
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
export type SlotKeeper = {
	readonly acquire: (request: SlotRequest) => Promise<SlotOutcome>;
	/** Gives a slot back; `tookMs` is `undefined` if that tells nothing of the server's speed. */
	readonly release: (tookMs: number | undefined) => void;
	readonly resize: (slots: number) => void;
	/** The server is there no more: nobody has to wait any longer. */
	readonly end: () => void;
	readonly describe: () => {readonly running: number; readonly waiting: number; readonly serviceMs: number};
};

/** A request that was taken waits for so many times the wait that was expected at the most: estimates are rough. */
const patience = 2;

type Waiter = (outcome: 'run' | 'late' | 'cancelled' | 'gone') => void;

/**
 * @param count - Requests that may be at the server at once.
 * @returns The keeper of a server that is idle.
 * @internal
 */
export function createSlotKeeper(count: number): SlotKeeper {
	let queue: SlotQueue = createSlotQueue(count);
	let nextId = 1;
	const waiters = new Map<number, Waiter>();

	const startAll = (started: readonly QueuedRequest[]): void => {
		for (const {id} of started) {
			waiters.get(id)?.('run');
		}
	};

	const waitForSlot = async (queued: QueuedRequest, request: SlotRequest): Promise<SlotOutcome> => new Promise(resolve => {
		let stopListening = (): void => undefined;
		const finish: Waiter = outcome => {
			clearTimeout(timer);
			stopListening();
			waiters.delete(queued.id);
			if (outcome !== 'run') {
				queue = removeFromQueue(queue, queued.id);
			}

			resolve(outcome === 'late' ? {type: 'full', reason: 'no slot came free in time', retryAfterMs: estimateWaitMs(queue, request.rank)} : {type: outcome});
		};

		const timer = setTimeout(() => {
			finish('late');
		}, trimTimerMs(queued.waitUntil - readSteadyMs()));
		waiters.set(queued.id, finish);
		stopListening = request.listenForEnd(() => {
			finish('cancelled');
		});
	});

	const resize = (slots: number): void => {
		const step = resizeSlots(queue, slots, readSteadyMs());
		queue = step.queue;
		startAll(step.started);
	};

	return {
		async acquire(request) {
			const now = readSteadyMs();
			const queued: QueuedRequest = {
				id: nextId++,
				rank: request.rank,
				startBy: now + request.mayWaitMs,
				waitUntil: Math.min(now + (request.mayWaitMs * patience), request.lastAt),
			};
			const step = admitToQueue(queue, queued, now);
			queue = step.queue;
			switch (step.decision.type) {
				case 'run': {
					return {type: 'run'};
				}

				case 'full': {
					return {type: 'full', reason: 'no slot in time', retryAfterMs: step.decision.retryAfterMs};
				}

				case 'wait': {
					const {evicted: displaced} = step.decision;
					if (displaced !== undefined) {
						waiters.get(displaced.id)?.('late');
					}

					return waitForSlot(queued, request);
				}
			}
		},
		release(tookMs) {
			const step = finishRequest(queue, tookMs, readSteadyMs());
			queue = step.queue;
			startAll(step.started);
		},
		resize,
		end() {
			for (const finish of waiters.values()) {
				finish('gone');
			}
		},
		describe: () => ({running: queue.running, waiting: queue.waiting.length, serviceMs: queue.serviceMs}),
	};
}
