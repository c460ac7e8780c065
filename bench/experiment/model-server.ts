/**
 * A backend server and the gate before it, on simulated time. The gate decides
 * by the product's own queue.
 *
 * @module
 */
import {
	admitToQueue, createSlotQueue, estimateWaitMs, finishRequest, removeFromQueue, type SlotQueue,
} from '../../src/lib/decisions/slot-queue.js';
import {type EventQueue} from './event-queue.js';

/** A request at a gate. */
export type GateRequest = {
	readonly rank: number;
	readonly mayWaitMs: number;
	readonly deadlineAt: number;
	/** Runs it; calls back when its slot is free again, and whether that tells of the server's speed. */
	readonly run: (handleFinish: (isAnswered: boolean) => void) => void;
	readonly handleFull: (retryAfterMs: number) => void;
};

/** A server. */
export type ModelServer = {
	readonly id: string;
	readonly service: string;
	readonly node: number;
	readonly slots: number;
	readonly speed: number;
	readonly requestSlot: (request: GateRequest) => () => void;
	readonly getLoad: () => {readonly running: number; readonly waiting: number; readonly serviceMs: number};
};

type ModelServerOptions = Pick<ModelServer, 'id' | 'service' | 'node' | 'slots' | 'speed'>;

/**
 * @param options - What it is and where it stands.
 * @param events - Simulated time.
 * @param maximumWaitFactor - A request that waits is put out after so many times the wait that was expected.
 * @returns The server, idle.
 */
export function createModelServer(options: ModelServerOptions, events: EventQueue, maximumWaitFactor: number): ModelServer {
	let queue: SlotQueue = createSlotQueue(options.slots);
	let nextId = 1;
	const waiting = new Map<number, GateRequest>();

	const run = (request: GateRequest): void => {
		const startedAt = events.getNow();
		request.run(isAnswered => {
			const step = finishRequest(queue, isAnswered ? events.getNow() - startedAt : undefined, events.getNow());
			queue = step.queue;
			for (const {id} of step.started) {
				const next = waiting.get(id);
				waiting.delete(id);
				if (next !== undefined) {
					run(next);
				}
			}
		});
	};

	const evict = (id: number): void => {
		const request = waiting.get(id);
		if (request !== undefined) {
			waiting.delete(id);
			queue = removeFromQueue(queue, id);
			request.handleFull(estimateWaitMs(queue, request.rank));
		}
	};

	return {
		...options,
		requestSlot(request) {
			const now = events.getNow();
			const id = nextId++;
			const waitUntil = Math.min(now + (request.mayWaitMs * maximumWaitFactor), request.deadlineAt);
			const step = admitToQueue(queue, {
				id, rank: request.rank, startBy: now + request.mayWaitMs, waitUntil,
			}, now);
			queue = step.queue;
			switch (step.decision.type) {
				case 'run': {
					run(request);
					break;
				}

				case 'full': {
					request.handleFull(step.decision.retryAfterMs);
					break;
				}

				case 'wait': {
					waiting.set(id, request);
					if (step.decision.evicted !== undefined) {
						evict(step.decision.evicted.id);
					}

					events.schedule(waitUntil - now, () => {
						evict(id);
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
		getLoad: () => ({running: queue.running, waiting: queue.waiting.length, serviceMs: queue.serviceMs}),
	};
}
