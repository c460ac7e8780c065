/**
 * Decides which requests a backend server processes, which wait and which are
 * refused: the pure decisions of the gate.
 *
 * @module
 */
import {type WorkClass} from '../policy/decision.js';
import {type AdmissionSettings} from '../settings/settings.js';

/** A request in the queue for a slot. @internal */
export type WaitingRequest = {
	readonly id: number;
	readonly workClass: WorkClass;
	/** Milliseconds since the epoch. */
	readonly arrivedAt: number;
	/** When its wait ends, in milliseconds since the epoch. */
	readonly deadline: number;
};

/** @internal */
export type GateState = {
	readonly slots: number;
	readonly inUse: Readonly<Record<WorkClass, number>>;
	readonly queue: readonly WaitingRequest[];
	/** Moving average of the time that a request holds a slot, in milliseconds. */
	readonly serviceMs: number;
};

/** The decision on a request that arrives. @internal */
export type Admission =
	| {readonly type: 'run'}
	| {readonly type: 'wait'}
	| {readonly type: 'shed'; readonly retryAfterMs: number};

/** @internal */
export type AdmissionStep = {readonly state: GateState; readonly admission: Admission};

/** The state after slots became free, and the queued requests that start now. @internal */
export type ReleaseStep = {readonly state: GateState; readonly started: readonly WaitingRequest[]};

const initialServiceMs = 10;

/** Weight of the newest service time in the moving average, 0 to 1. */
const newestSampleWeight = 0.1;

const minimumRetryAfterMs = 100;

/**
 * Creates the state of an idle gate.
 *
 * @param slots - The number of requests that the server processes concurrently.
 * @returns The state.
 * @internal
 */
export function createGateState(slots: number): GateState {
	return {
		slots, inUse: {interactive: 0, bulk: 0}, queue: [], serviceMs: initialServiceMs,
	};
}

/**
 * Counts the requests that run or wait.
 *
 * @param state - The state of the gate.
 * @returns The count.
 * @internal
 */
export function countRequests(state: GateState): number {
	return state.inUse.interactive + state.inUse.bulk + state.queue.length;
}

function hasSlot(state: GateState, settings: AdmissionSettings, workClass: WorkClass): boolean {
	const total = state.inUse.interactive + state.inUse.bulk;
	if (total >= state.slots) {
		return false;
	}

	// Bulk requests get only a share of the slots, so that interactive requests need not wait for an upload to end.
	const bulkSlots = Math.max(1, Math.floor(state.slots * settings.bulkShare));
	return workClass === 'interactive' || state.inUse.bulk < bulkSlots;
}

function acquireSlot(state: GateState, workClass: WorkClass): GateState {
	return {...state, inUse: {...state.inUse, [workClass]: state.inUse[workClass] + 1}};
}

function estimateWaitMs(state: GateState, workClass: WorkClass): number {
	const ahead = state.queue.filter(waiting => waiting.workClass === workClass).length;
	return (ahead + 1) * state.serviceMs / Math.max(1, state.slots);
}

/**
 * Admits, queues or sheds a request that arrives.
 *
 * @param state - The state of the gate.
 * @param settings - Limits of the queue.
 * @param request - The request, with the deadline of its caller.
 * @returns The next state and the decision on the request.
 * @internal
 */
export function admitRequest(state: GateState, settings: AdmissionSettings, request: WaitingRequest): AdmissionStep {
	const {workClass, arrivedAt} = request;
	const isFirst = !state.queue.some(waiting => waiting.workClass === workClass);
	if (isFirst && hasSlot(state, settings, workClass)) {
		return {state: acquireSlot(state, workClass), admission: {type: 'run'}};
	}

	const waitMs = estimateWaitMs(state, workClass);
	const retryAfterMs = Math.max(minimumRetryAfterMs, Math.ceil(waitMs));
	const isQueueFull = state.queue.length >= Math.ceil(state.slots * settings.queuePerSlot);
	const deadline = Math.min(request.deadline, arrivedAt + settings.maximumWaitMs);
	if (isQueueFull || arrivedAt + waitMs > deadline) {
		return {state, admission: {type: 'shed', retryAfterMs}};
	}

	return {state: {...state, queue: [...state.queue, {...request, deadline}]}, admission: {type: 'wait'}};
}

/** Returns the oldest queued request while waits are short, otherwise the newest one (adaptive LIFO): the caller of an old request is likely to time out soon. */
function findNext(state: GateState, settings: AdmissionSettings, now: number): WaitingRequest | undefined {
	const fitting = state.queue.filter(waiting => hasSlot(state, settings, waiting.workClass));
	const oldest = fitting[0];
	const isWaitShort = oldest === undefined || now - oldest.arrivedAt <= settings.targetWaitMs;
	return isWaitShort ? oldest : fitting.at(-1);
}

function startQueued(state: GateState, settings: AdmissionSettings, now: number): ReleaseStep {
	const started: WaitingRequest[] = [];
	let current = state;
	for (let next = findNext(current, settings, now); next !== undefined; next = findNext(current, settings, now)) {
		const {id} = next;
		started.push(next);
		current = acquireSlot({...current, queue: current.queue.filter(waiting => waiting.id !== id)}, next.workClass);
	}

	return {state: current, started};
}

/**
 * Releases the slot of a request that has ended.
 *
 * @param state - The state of the gate.
 * @param settings - Limits of the queue.
 * @param ended - The request's work class and how long it held the slot, in milliseconds.
 * @param now - Milliseconds since the epoch.
 * @returns The next state and the requests that start.
 * @internal
 */
export function releaseSlot(state: GateState, settings: AdmissionSettings, ended: {readonly workClass: WorkClass; readonly tookMs: number}, now: number): ReleaseStep {
	const {workClass, tookMs} = ended;
	const freed: GateState = {
		...state,
		inUse: {...state.inUse, [workClass]: Math.max(0, state.inUse[workClass] - 1)},
		serviceMs: (state.serviceMs * (1 - newestSampleWeight)) + (tookMs * newestSampleWeight),
	};
	return startQueued(freed, settings, now);
}

/**
 * Removes a request that timed out or was cancelled from the queue.
 *
 * @param state - The state of the gate.
 * @param id - Id of the request.
 * @returns The next state.
 * @internal
 */
export function removeWaiting(state: GateState, id: number): GateState {
	return {...state, queue: state.queue.filter(waiting => waiting.id !== id)};
}

/**
 * Changes the number of slots, which a server may change with a new announcement.
 *
 * @param state - The state of the gate.
 * @param settings - Limits of the queue.
 * @param slots - The new number of slots.
 * @param now - Milliseconds since the epoch.
 * @returns The next state and the requests that start.
 * @internal
 */
export function resizeGate(state: GateState, settings: AdmissionSettings, slots: number, now: number): ReleaseStep {
	return startQueued({...state, slots}, settings, now);
}
