/**
 * The gate of one backend server: grants slots, queues requests, and refuses
 * requests that cannot start in time. A refused request was not executed.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {readNow} from '../common/clock.js';
import {type WorkClass} from '../policy/decision.js';
import {type AdmissionSettings} from '../settings/settings.js';
import {
	admitRequest, countRequests, createGateState, releaseSlot, removeWaiting, resizeGate,
	type GateState, type WaitingRequest,
} from './gate-state.js';

/** Why a request was refused. It was not executed. @public */
export type GateRefusal = {
	readonly type: 'shed' | 'draining' | 'cancelled';
	readonly retryAfterMs: number;
};

/** A slot in use. Its holder has to release it; further calls of `release` have no effect. @public */
export type Slot = {readonly release: () => void; readonly waitedMs: number};

/** @public */
export type SlotRequest = {
	readonly workClass: WorkClass;
	/** When the caller's timeout ends, in milliseconds since the epoch. */
	readonly deadline: number;
	readonly signal?: AbortSignal;
};

/** @public */
export type Gate = {
	/** Waits for a slot. */
	readonly acquire: (request: SlotRequest) => Promise<Result<Slot, GateRefusal>>;
	/** Refuses new requests; requests that run or wait continue. */
	readonly startDraining: () => void;
	readonly setSlots: (slots: number) => void;
	readonly countRequests: () => number;
	/** Refuses new requests and all queued ones. */
	readonly dispose: () => void;
};

type AcquireResult = Result<Slot, GateRefusal>;

/** Retry delay of a draining server, which is likely to have been replaced by then. */
const drainRetryAfterMs = 1000;

/**
 * Creates the gate of a server.
 *
 * @param slots - The number of requests that the server processes concurrently.
 * @param settings - Limits of the queue.
 * @returns The gate.
 * @public
 */
export function createGate(slots: number, settings: AdmissionSettings): Gate {
	let state: GateState = createGateState(slots);
	let isDraining = false;
	let nextId = 1;
	const waiting = new Map<number, (outcome: AcquireResult) => void>();

	const createSlot = (workClass: WorkClass, arrivedAt: number): Slot => {
		const startedAt = readNow();
		let isReleased = false;
		return {
			waitedMs: startedAt - arrivedAt,
			release() {
				if (isReleased) {
					return;
				}

				isReleased = true;
				const now = readNow();
				const step = releaseSlot(state, settings, {workClass, tookMs: now - startedAt}, now);
				state = step.state;
				startQueued(step.started);
			},
		};
	};

	const startQueued = (started: readonly WaitingRequest[]): void => {
		for (const {id, workClass, arrivedAt} of started) {
			waiting.get(id)?.(ok(createSlot(workClass, arrivedAt)));
		}
	};

	const waitForSlot = async (request: WaitingRequest, signal: AbortSignal | undefined): Promise<AcquireResult> => new Promise(resolve => {
		const finish = (outcome: AcquireResult): void => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', cancel);
			waiting.delete(request.id);
			resolve(outcome);
		};

		const refuseQueued = (type: GateRefusal['type']): void => {
			state = removeWaiting(state, request.id);
			finish(err({type, retryAfterMs: Math.max(100, Math.ceil(state.serviceMs))}));
		};

		const cancel = (): void => {
			refuseQueued('cancelled');
		};

		const waitMs = Math.min(request.deadline - request.arrivedAt, settings.maximumWaitMs);
		const timer = setTimeout(() => {
			refuseQueued('shed');
		}, waitMs);
		signal?.addEventListener('abort', cancel);
		waiting.set(request.id, finish);
	});

	return {
		async acquire({workClass, deadline, signal}) {
			if (isDraining) {
				return err({type: 'draining', retryAfterMs: drainRetryAfterMs});
			}

			const request: WaitingRequest = {
				id: nextId++, workClass, arrivedAt: readNow(), deadline,
			};
			const step = admitRequest(state, settings, request);
			state = step.state;
			switch (step.admission.type) {
				case 'run': {
					return ok(createSlot(workClass, request.arrivedAt));
				}

				case 'shed': {
					return err({type: 'shed', retryAfterMs: step.admission.retryAfterMs});
				}

				case 'wait': {
					return waitForSlot(request, signal);
				}
			}
		},
		startDraining() {
			isDraining = true;
		},
		setSlots(count) {
			const step = resizeGate(state, settings, count, readNow());
			state = step.state;
			startQueued(step.started);
		},
		countRequests: () => countRequests(state),
		dispose() {
			isDraining = true;
			for (const [id, finish] of waiting) {
				state = removeWaiting(state, id);
				finish(err({type: 'draining', retryAfterMs: drainRetryAfterMs}));
			}
		},
	};
}
