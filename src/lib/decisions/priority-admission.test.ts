import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toBackendServerId} from '../common/ids.js';
import {toLifetimeKey} from '../common/server-lifetime.js';
import {computeRank} from './call-rank.js';
import {estimateSlotWaitMs, createLoadView, isPriorityHeldBack} from './load-view.js';
import {decodePriorityLoad, encodePriorityLoad} from './priority-admission.js';
import {
	admitToQueue, createSlotQueue, describePriorities, finishRequest, type QueuedRequest, type SlotDecision, type SlotQueue,
} from './slot-queue.js';

const createRequest = (id: number, priority: number, now: number, mayWaitMs: number): QueuedRequest => ({
	id, rank: computeRank({priority, targetLatencyMs: 500}, {isNestedCall: false}), startBy: now + mayWaitMs, waitUntil: now + (mayWaitMs * 2),
});

/** A gate with two slots, in use, at which a request of the highest priority was refused at time 0. */
function createShortQueue(): SlotQueue {
	let queue = createSlotQueue(2);
	for (const id of [1, 2, 3, 4, 5, 6]) {
		queue = admitToQueue(queue, createRequest(id, 0, 0, 100), 0).queue;
	}

	return queue;
}

const getType = (decision: SlotDecision): string => decision.type === 'full' && decision.cause === 'more-urgent' ? 'held back' : decision.type;

test('overload: less urgent requests do not queue where more urgent ones were refused a moment ago', () => {
	const queue = createShortQueue();
	assert.equal(describePriorities(queue, 10).leastUrgent, 0);
	assert.equal(getType(admitToQueue(queue, createRequest(9, 1, 10, 400), 10).decision), 'held back');
	assert.equal(getType(admitToQueue(queue, createRequest(9, 0, 10, 400), 10).decision), 'wait');
});

test('a free slot is given to any request, also where more urgent ones were refused', () => {
	let queue = createShortQueue();
	while (queue.running + queue.waiting.length >= queue.slots) {
		queue = finishRequest(queue, 60, 20).queue;
	}

	assert.equal(describePriorities(queue, 20).leastUrgent, undefined);
	assert.equal(admitToQueue(queue, createRequest(9, 3, 20, 0), 20).decision.type, 'run');
});

test('a gate accepts less urgent requests again within a second after the last refusal', () => {
	const queue = createShortQueue();
	assert.equal(describePriorities(queue, 999).leastUrgent, undefined);
	assert.equal(getType(admitToQueue(queue, createRequest(9, 1, 999, 400), 999).decision), 'wait');
});

test('a request that only looks for a free slot does not hold back others', () => {
	let queue = createSlotQueue(1);
	queue = admitToQueue(queue, createRequest(1, 0, 0, 100), 0).queue;
	queue = admitToQueue(queue, createRequest(2, 0, 0, 0), 0).queue;
	assert.equal(describePriorities(queue, 0).leastUrgent, undefined);
});

test('nested calls go before requests of the highest priority, whatever their objective', () => {
	const nested = computeRank({priority: 3, targetLatencyMs: 20_000}, {isNestedCall: true});
	assert.ok(nested < computeRank({priority: 0, targetLatencyMs: 50}, {isNestedCall: false}));
	assert.equal(getType(admitToQueue(createShortQueue(), {...createRequest(9, 0, 10, 400), rank: nested}, 10).decision), 'wait');
});

test('entries expect no wait behind less urgent requests, and forget a report after half a second', () => {
	const server = toLifetimeKey({id: toBackendServerId('a'), startedAt: 1});
	const loads = createLoadView();
	loads.recordReport(server, {
		running: 2, waiting: 6, serviceMs: 100, leastUrgent: 0, waitingByPriority: [1, 5],
	}, 1000);
	const view = loads.get(server);
	assert.equal(estimateSlotWaitMs(view, 2, 1000, 0), 100);
	assert.equal(estimateSlotWaitMs(view, 2, 1000, 1), 350);
	assert.equal(isPriorityHeldBack(view, 0, 1100), false);
	assert.equal(isPriorityHeldBack(view, 1, 1100), true);
	assert.equal(isPriorityHeldBack(view, 1, 1500), false);
	loads.recordReport(server, {running: 2, waiting: 0, serviceMs: 100}, 1100);
	assert.equal(isPriorityHeldBack(loads.get(server), 1, 1100), false);
});

test('property: the load by priority is decoded as it was encoded, and absent or malformed numbers are ignored', () => {
	const loads = fc.record({
		leastUrgent: fc.integer({min: 0, max: 9}), waitingByPriority: fc.array(fc.integer({min: 0, max: 99}), {minLength: 1, maxLength: 4}),
	}, {requiredKeys: [], noNullPrototype: true});
	fc.assert(fc.property(loads, load => {
		assert.deepEqual(decodePriorityLoad(encodePriorityLoad(load)[0]), load);
	}));
	for (const values of [undefined, null, 0, 'x', {}, [], [-2], ['1'], [1.5], [null], [0, -1], [0, 1, 1, 1, 1, 1], [0, Number.NaN]]) {
		assert.deepEqual(decodePriorityLoad(values), {});
	}
});

test('property: nothing is refused while a slot is free, and a more urgent request is never held back for a less urgent one', () => {
	const arrivals = fc.array(fc.record({priority: fc.integer({min: 0, max: 3}), mayWaitMs: fc.integer({min: 0, max: 300}), ends: fc.integer({min: 0, max: 2})}), {maxLength: 80});
	fc.assert(fc.property(arrivals, requests => {
		let queue = createSlotQueue(2);
		let mostUrgentRefused = Number.POSITIVE_INFINITY;
		for (const [id, {priority, mayWaitMs, ends}] of requests.entries()) {
			const now = id * 10;
			for (let count = 0; count < ends && queue.running > 0; count++) {
				queue = finishRequest(queue, 60, now).queue;
			}

			const isIdle = queue.running < queue.slots && queue.waiting.length === 0;
			const {decision, queue: next} = admitToQueue(queue, createRequest(id, priority, now, mayWaitMs), now);
			queue = next;
			assert.ok(!isIdle || decision.type === 'run');
			if (getType(decision) === 'held back') {
				assert.ok(mostUrgentRefused < priority);
			} else if (decision.type === 'full') {
				mostUrgentRefused = Math.min(mostUrgentRefused, priority);
			}
		}
	}));
});
