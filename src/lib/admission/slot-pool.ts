/**
 * Limits the concurrency of one backend server: grants slots, queues requests,
 * and ends their wait at its deadline. The pure decisions about each request
 * are in `slot-queue.ts`.
 *
 * @module
 */
import {clampTimerMs, readSteadyMs} from '../common/clock.js';
import {createFairShares} from '../decisions/fair-shares.js';
import {type PriorityLoad} from '../decisions/priority-admission.js';
import {
	admitToQueue, createSlotQueue, describePriorities, estimateWaitMs, finishRequest, getAverageServiceMs, recordRefusal, recordReportedSlowness, removeFromQueue, resizeSlots,
	type FullCause, type QueuedRequest, type SlotQueue,
} from '../decisions/slot-queue.js';
import {getRelativeSlowness} from '../decisions/slowness.js';

/** A request for a slot. @internal */
export type SlotRequest = {
	/** Priority; 0 is the highest. */
	readonly rank: number;
	/** The longest expected wait with which the request is queued, in milliseconds. */
	readonly mayWaitMs: number;
	/** When its wait ends at the latest, in steady milliseconds. */
	readonly lastAt: number;
	/** Name of the caller's workspace; `undefined` if it has none. */
	readonly workspace?: string | undefined;
	/** Registers a callback that is called once when the request is cancelled; returns a function that unregisters it. */
	readonly listenForCancel: (handleCancel: () => void) => () => void;
};

/** The result of asking for a slot. @internal */
export type SlotOutcome =
	/** The request holds a slot, which the caller has to release. */
	| {readonly type: 'run'}
	| {readonly type: 'full'; readonly reason: string; readonly retryAfterMs: number; readonly cause: FullCause}
	| {readonly type: 'cancelled'}
	/** The server has ended. */
	| {readonly type: 'gone'};

/** The requests of a pool, by state and by priority, and its service time. Times are milliseconds. @internal */
export type SlotLoad = PriorityLoad & {
	readonly running: number;
	readonly waiting: number;
	/** Average service time. */
	readonly serviceMs: number;
	/** How long work takes at the moment, as a factor of `serviceMs`; omitted if the server does not say. */
	readonly slowness?: number;
};

/** @internal */
export type SlotPool = {
	readonly acquire: (request: SlotRequest) => Promise<SlotOutcome>;
	/** Releases a slot. `tookMs` is the service time, or `undefined` if it says nothing about the server's speed; `slowness` is how slow the VM was meanwhile, as a factor of the usual time. */
	readonly release: (tookMs: number | undefined, slowness?: number) => void;
	/** Records how slow the VM of the server is, as a factor of the usual time. */
	readonly recordSlowness: (slowness: number) => void;
	/** Returns how slow the VM was at the last report; `undefined` if there was none. */
	readonly getSlowness: () => number | undefined;
	readonly resize: (slots: number) => void;
	/** Ends the wait of all queued requests, because the server has ended. */
	readonly close: () => void;
	readonly describe: () => SlotLoad;
	readonly countRunning: () => number;
	/** Returns the average service time in milliseconds. */
	readonly getServiceMs: () => number;
};

/** A queued request waits for at most this multiple of `mayWaitMs`, because the estimated wait is rough. */
const waitToleranceFactor = 2;

const fullReasons: Readonly<Record<FullCause, string>> = {
	'no-slot': 'no slot in time',
	'more-urgent': 'more urgent requests were refused',
	'over-share': 'the workspace is over its share, and requests of others were refused',
};

type FinishWait = (outcome: 'run' | 'late' | 'cancelled' | 'gone') => void;

/**
 * Creates the slot pool of an idle server.
 *
 * @param count - The number of requests that may be at the server at the same time.
 * @returns The pool.
 * @internal
 */
export function createSlotPool(count: number): SlotPool {
	let queue: SlotQueue = createSlotQueue(count);
	let nextId = 1;
	const finishById = new Map<number, FinishWait>();
	const shares = createFairShares(readSteadyMs());

	/** Counts a request that arrives towards the share of its workspace. */
	const addToShare = ({workspace}: SlotRequest, now: number): Pick<QueuedRequest, 'startTag' | 'isOverShare'> => workspace === undefined
		? {}
		: {isOverShare: shares.isOverShare(workspace, now), startTag: shares.stamp(workspace, queue.serviceMs, now)};

	const settleShare = ({workspace}: SlotRequest, {startTag}: QueuedRequest, hasStarted: boolean): void => {
		if (workspace === undefined || startTag === undefined) {
			return;
		}

		if (hasStarted) {
			shares.recordStart(workspace, startTag, readSteadyMs());
		} else {
			shares.giveBack(workspace, queue.serviceMs, readSteadyMs());
		}
	};

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
				queue = removeFromQueue(queue, queued.id);
			}

			settleShare(request, queued, outcome === 'run');
			if (outcome === 'late') {
				queue = recordRefusal(queue, queued, readSteadyMs());
				resolve({
					type: 'full', reason: 'no slot became free in time', retryAfterMs: estimateWaitMs(queue, queued), cause: 'no-slot',
				});
			} else {
				resolve({type: outcome});
			}
		};

		const timer = setTimeout(() => {
			finish('late');
		}, clampTimerMs(queued.waitUntil - readSteadyMs()));
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
				...addToShare(request, now),
			};
			const step = admitToQueue(queue, queued, now);
			queue = step.queue;
			switch (step.decision.type) {
				case 'run': {
					settleShare(request, queued, true);
					return {type: 'run'};
				}

				case 'full': {
					settleShare(request, queued, false);
					const {retryAfterMs, cause} = step.decision;
					return {
						type: 'full', reason: fullReasons[cause], retryAfterMs, cause,
					};
				}

				case 'wait': {
					const {evicted: displaced} = step.decision;
					if (displaced !== undefined) {
						finishById.get(displaced.id)?.('late');
					}

					return waitForSlot(queued, request);
				}
			}
		},
		release(tookMs, slowness) {
			const step = finishRequest(queue, tookMs, readSteadyMs(), slowness);
			queue = step.queue;
			startQueued(step.started);
		},
		resize,
		close() {
			for (const finish of finishById.values()) {
				finish('gone');
			}
		},
		recordSlowness(slowness) {
			queue = recordReportedSlowness(queue, slowness, readSteadyMs());
		},
		getSlowness: () => queue.slowness?.latest,
		describe() {
			const now = readSteadyMs();
			const load: {-readonly [Field in keyof SlotLoad]: SlotLoad[Field]} = {running: queue.running, waiting: queue.waiting.length, serviceMs: getAverageServiceMs(queue)};
			if (queue.waiting.length > 0 || queue.shortage !== undefined) {
				Object.assign(load, describePriorities(queue, now));
			}

			if (queue.slowness !== undefined) {
				load.slowness = getRelativeSlowness(queue.slowness, now);
			}

			return load;
		},
		countRunning: () => queue.running,
		getServiceMs: () => getAverageServiceMs(queue),
	};
}
