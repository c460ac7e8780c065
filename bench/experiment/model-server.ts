/**
 * Simulates a backend server and its gate. The gate uses the slot queue of real
 * nodes.
 *
 * @module
 */
import {type BackendServerId} from '../../src/lib/common/ids.js';
import {type LifetimeKey} from '../../src/lib/common/server-lifetime.js';
import {createLinkDemand, computeLinkBytesPerMs} from '../../src/lib/decisions/link-demand.js';
import {getRelativeSlowness} from '../../src/lib/decisions/slowness.js';
import {
	admitToQueue, createSlotQueue, estimateWaitMs, finishRequest, getAverageServiceMs, recordReportedSlowness, removeFromQueue, type SlotQueue,
} from '../../src/lib/decisions/slot-queue.js';
import {
	admitLimited, createLimiterState, estimateTokenWaitMs, type LimiterState,
} from '../../src/lib/server-notices/limiter-state.js';
import {createLoadReports} from '../../src/lib/server-notices/load-reports.js';
import {type EventQueue} from './event-queue.js';

/** A request at a gate. Times are simulated milliseconds. */
export type GateRequest = {
	readonly rank: number;
	readonly mayWaitMs: number;
	readonly deadlineAt: number;
	/** Bytes of a large response, and how long it may wait for the link; `undefined` if the response is small. */
	readonly largeResponse?: {readonly bytes: number; readonly mayWaitMs: number} | undefined;
	/** Runs the request. Calls back when it releases its slot, with whether it was answered: only then its duration counts for the service time. */
	readonly run: (handleFinish: (isAnswered: boolean) => void) => void;
	/** The gate turns the request away if its server is slower than this, as a factor of its average service time. */
	readonly maxSlowness: number | undefined;
	readonly handleSlow: () => void;
	readonly handleFull: (retryAfterMs: number) => void;
	/** The limit of the server is used up. */
	readonly handleLimited: (retryAfterMs: number) => void;
};

/** A simulated server with its gate. `node` is the index of its node, and `speed` a factor of its work rate. */
export type ModelServer = {
	readonly id: BackendServerId;
	readonly lifetime: LifetimeKey;
	readonly service: string;
	readonly node: number;
	readonly slots: number;
	readonly speed: number;
	/** Returns the limit that the server names, in requests per second. */
	readonly getLimit: () => number | undefined;
	/** Capacity of the link of the VM in megabits per second; 0 if unlimited. */
	readonly linkMbps: number;
	/** Returns the slowness that the server reports in its responses; `undefined` if it does not. */
	readonly getSlowness: () => number | undefined;
	/** Puts a large response on the link. Returns the milliseconds until it is sent. */
	readonly sendLarge: (bytes: number) => number;
	readonly requestSlot: (request: GateRequest) => () => void;
	readonly getLoad: () => {readonly running: number; readonly waiting: number; readonly serviceMs: number; readonly slowness?: number};
};

type ModelServerOptions = Pick<ModelServer, 'id' | 'lifetime' | 'service' | 'node' | 'slots' | 'speed' | 'getLimit' | 'linkMbps' | 'getSlowness'>;

/**
 * @param options - Identity, node, slots and speed of the server.
 * @param events - The event queue of the simulation.
 * @param maximumWaitFactor - A waiting request is evicted after its allowed wait multiplied by this factor.
 * @returns An idle server.
 */
export function createModelServer(options: ModelServerOptions, events: EventQueue, maximumWaitFactor: number): ModelServer {
	let queue: SlotQueue = createSlotQueue(options.slots);
	let nextId = 1;
	let limiter: LimiterState | undefined;
	const waiting = new Map<number, GateRequest>();
	const reports = createLoadReports();
	const linkDemand = createLinkDemand(options.linkMbps);
	const linkBytesPerMs = computeLinkBytesPerMs(options.linkMbps);
	let linkFreeAt = 0;

	const countQueuedBytes = (): number => Math.max(0, linkFreeAt - events.getNow()) * (options.linkMbps === 0 ? 0 : linkBytesPerMs);

	/** Records the report of a response. */
	const recordReport = (): void => {
		const slowness = options.getSlowness();
		if (slowness !== undefined) {
			queue = recordReportedSlowness(queue, slowness, events.getNow());
			reports.record({
				running: queue.running, waiting: 0, slots: options.slots, slowness,
			}, queue.running, events.getNow());
		}
	};

	const run = (request: GateRequest): void => {
		const startedAt = events.getNow();
		const endRun = reports.startRun();
		const endLarge = request.largeResponse === undefined ? undefined : linkDemand.begin();
		request.run(isAnswered => {
			endLarge?.(isAnswered ? request.largeResponse?.bytes ?? 0 : 0);
			if (isAnswered) {
				recordReport();
			}

			const step = finishRequest(queue, isAnswered ? events.getNow() - startedAt : undefined, events.getNow(), endRun());
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

			if ((getRelativeSlowness(queue.slowness, now) ?? 1) > (request.maxSlowness ?? Number.POSITIVE_INFINITY)) {
				request.handleSlow();
				return () => undefined;
			}

			const linkWaitMs = request.largeResponse === undefined ? 0 : linkDemand.estimateWaitMs(countQueuedBytes(), getAverageServiceMs(queue));
			if (linkWaitMs > (request.largeResponse?.mayWaitMs ?? 0)) {
				request.handleFull(linkWaitMs);
				return () => undefined;
			}

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
		sendLarge(bytes) {
			linkFreeAt = Math.max(linkFreeAt, events.getNow()) + (bytes / linkBytesPerMs);
			return linkFreeAt - events.getNow();
		},
		getLoad() {
			const slowness = getRelativeSlowness(queue.slowness, events.getNow());
			const load = {running: queue.running, waiting: queue.waiting.length, serviceMs: getAverageServiceMs(queue)};
			return slowness === undefined ? load : {...load, slowness};
		},
	};
}
