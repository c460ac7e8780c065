/**
 * Simulates a backend server and its gate. The gate uses the slot queue of real
 * nodes.
 *
 * @module
 */
import {
	admitToQueue, createSlotQueue, describePriorities, estimateWaitMs, finishRequest, recordRefusal, removeFromQueue, type FullCause, type QueuedRequest, type SlotQueue,
} from '../../src/lib/decisions/slot-queue.js';
import {
	admitLimited, createLimiterState, estimateTokenWaitMs, type LimiterState,
} from '../../src/lib/server-notices/limiter-state.js';
import {createFairShares} from '../../src/lib/decisions/fair-shares.js';
import {type PoolLoad} from '../../src/lib/admission/slot-pool.js';
import {type EventQueue} from './event-queue.js';
import {type Policy} from './policy.js';

/** A request at a gate. Times are simulated milliseconds. */
export type GateRequest = {
	readonly rank: number;
	readonly mayWaitMs: number;
	readonly deadlineAt: number;
	/** Runs the request. Calls back when it releases its slot, with whether it was answered: only then its duration counts for the service time. */
	readonly run: (handleFinish: (isAnswered: boolean) => void) => void;
	readonly handleFull: (retryAfterMs: number, cause: FullCause) => void;
	readonly workspace: string | undefined;
	/** The limit of the server is used up. */
	readonly handleLimited: (retryAfterMs: number) => void;
};

/** A simulated server with its gate. `node` is the index of its node, and `speed` a factor of its work rate. */
export type ModelServer = {
	readonly id: string;
	readonly service: string;
	readonly node: number;
	readonly slots: number;
	readonly speed: number;
	/** Returns the limit that the server names, in requests per second. */
	readonly getLimit: () => number | undefined;
	readonly requestSlot: (request: GateRequest) => () => void;
	readonly getLoad: () => PoolLoad;
};

type ModelServerOptions = Pick<ModelServer, 'id' | 'service' | 'node' | 'slots' | 'speed' | 'getLimit'>;

/**
 * @param options - Identity, node, slots and speed of the server.
 * @param events - The event queue of the simulation.
 * @param policy - The rules of the gate.
 * @returns An idle server.
 */
export function createModelServer(options: ModelServerOptions, events: EventQueue, policy: Pick<Policy, 'maximumWaitFactor' | 'arePrioritiesReported'>): ModelServer {
	const {maximumWaitFactor, arePrioritiesReported} = policy;
	let queue: SlotQueue = createSlotQueue(options.slots);
	let nextId = 1;
	let limiter: LimiterState | undefined;
	const waiting = new Map<number, GateRequest>();

	const shares = createFairShares(0);

	/** Counts a request that arrives towards the share of its workspace. */
	const addToShare = ({workspace}: GateRequest, now: number): Pick<QueuedRequest, 'startTag' | 'isOverShare'> => workspace === undefined
		? {}
		: {isOverShare: shares.isOverShare(workspace, now), startTag: shares.stamp(workspace, queue.serviceMs, now)};

	const releaseShare = ({workspace}: GateRequest): void => {
		if (workspace !== undefined) {
			shares.giveBack(workspace, queue.serviceMs, events.getNow());
		}
	};

	const run = (request: GateRequest, {startTag}: QueuedRequest): void => {
		if (request.workspace !== undefined && startTag !== undefined) {
			shares.recordStart(request.workspace, startTag, events.getNow());
		}

		const startedAt = events.getNow();
		request.run(isAnswered => {
			const step = finishRequest(queue, isAnswered ? events.getNow() - startedAt : undefined, events.getNow());
			queue = step.queue;
			for (const started of step.started) {
				const next = waiting.get(started.id);
				waiting.delete(started.id);
				if (next !== undefined) {
					run(next, started);
				}
			}
		});
	};

	const evict = (queued: QueuedRequest): void => {
		const {id} = queued;
		const request = waiting.get(id);
		if (request !== undefined) {
			waiting.delete(id);
			queue = recordRefusal(removeFromQueue(queue, id), queued, events.getNow());
			releaseShare(request);
			request.handleFull(estimateWaitMs(queue, queued), 'no-slot');
		}
	};

	/** Returns how long the limit delays a request, in milliseconds; takes a token if that is 0. The model does not queue for tokens. */
	const takeToken = (id: number, rank: number, now: number): number => {
		const limit = options.getLimit();
		if (limit === undefined) {
			limiter = undefined;
			return 0;
		}

		limiter ??= createLimiterState(limit, now);
		const waitMs = estimateTokenWaitMs(limiter, {caller: '', rank}, now);
		limiter = admitLimited(limiter, {
			id, caller: '', rank, mayWaitMs: 0,
		}, now).state;
		return waitMs;
	};

	return {
		...options,
		requestSlot(request) {
			const now = events.getNow();
			const limitWaitMs = takeToken(nextId, request.rank, now);
			if (limitWaitMs > 0) {
				request.handleLimited(limitWaitMs);
				return () => undefined;
			}

			const id = nextId++;
			const waitUntil = Math.min(now + (request.mayWaitMs * maximumWaitFactor), request.deadlineAt);
			const queued: QueuedRequest = {
				id, rank: request.rank, startBy: now + request.mayWaitMs, waitUntil, ...addToShare(request, now),
			};
			const step = admitToQueue(queue, queued, now);
			queue = step.queue;
			switch (step.decision.type) {
				case 'run': {
					run(request, queued);
					break;
				}

				case 'full': {
					releaseShare(request);
					request.handleFull(step.decision.retryAfterMs, step.decision.cause);
					break;
				}

				case 'wait': {
					waiting.set(id, request);
					if (step.decision.evicted !== undefined) {
						evict(step.decision.evicted);
					}

					events.schedule(waitUntil - now, () => {
						evict(queued);
					});
					break;
				}
			}

			return () => {
				if (waiting.delete(id)) {
					queue = removeFromQueue(queue, id);
				}
			};
		},
		getLoad: () => ({
			running: queue.running, waiting: queue.waiting.length, serviceMs: queue.serviceMs, ...arePrioritiesReported ? describePriorities(queue, events.getNow()) : {},
		}),
	};
}
