import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	admitToQueue, createSlotQueue, estimateWaitMs, finishRequest, removeFromQueue, resizeSlots, type QueuedRequest, type SlotQueue,
} from './slot-queue.js';

const createRequest = (id: number, rank = 0, waitUntil = 10_000): QueuedRequest => ({
	id, rank, waitUntil, startBy: waitUntil,
});

function admitAll(queue: SlotQueue, requests: readonly QueuedRequest[], now = 0): SlotQueue {
	let current = queue;
	for (const request of requests) {
		current = admitToQueue(current, request, now).queue;
	}

	return current;
}

test('requests run while there are free slots, then wait ordered by rank', () => {
	const queue = admitAll(createSlotQueue(1), [createRequest(1, 5), createRequest(2, 5), createRequest(3, 0), createRequest(4, 5)]);
	assert.equal(queue.running, 1);
	assert.deepEqual(queue.waiting.map(({id}) => id), [3, 2, 4]);
	assert.deepEqual(finishRequest(queue, 60, 10).started.map(({id}) => id), [3]);
});

test('a request that could not start in time is refused immediately with a retry delay', () => {
	const queue = admitAll(createSlotQueue(1), [createRequest(1), createRequest(2)]);
	const {decision, queue: after} = admitToQueue(queue, createRequest(3, 0, 100), 0);
	assert.deepEqual(decision, {type: 'full', retryAfterMs: 120, cause: 'no-slot'});
	assert.deepEqual(after, {...queue, shortage: {priority: 0, until: 300}});
	assert.equal(admitToQueue(queue, createRequest(3, 0, 0), 0).queue, queue);
	assert.equal(admitToQueue(queue, createRequest(3, 0, 0), 0).decision.type, 'full');
});

test('a request that has stopped waiting does not get the slot', () => {
	const queue = admitAll(createSlotQueue(1), [createRequest(1), createRequest(2, 0, 500), createRequest(3, 0, 900)]);
	assert.deepEqual(finishRequest(queue, 60, 600).started.map(({id}) => id), [3]);
});

test('a full queue evicts the last request of the highest rank for a request of a lower rank', () => {
	const low = Array.from({length: 4}, (_, index) => createRequest(index, 9));
	const queue = admitAll(createSlotQueue(1), low);
	const step = admitToQueue(queue, createRequest(9, 0), 0);
	assert.equal(step.decision.type === 'wait' ? step.decision.evicted?.id : undefined, 3);
	assert.equal(admitToQueue(queue, createRequest(9, 9), 0).decision.type, 'full');
});

test('a request without a service time does not change the average', () => {
	const queue = admitAll(createSlotQueue(2), [createRequest(1)]);
	assert.equal(finishRequest(queue, undefined, 0).queue.serviceMs, queue.serviceMs);
	assert.ok(finishRequest(queue, 1000, 0).queue.serviceMs > queue.serviceMs);
});

test('the first samples after a start weigh more than later ones', () => {
	let queue = createSlotQueue(1);
	for (let count = 0; count < 6; count++) {
		queue = finishRequest(queue, 180, 0).queue;
	}

	assert.ok(queue.serviceMs > 130, String(queue.serviceMs));
	for (let count = 0; count < 200; count++) {
		queue = finishRequest(queue, 180, 0).queue;
	}

	assert.ok(finishRequest(queue, 1180, 0).queue.serviceMs < 240);
});

test('additional slots start waiting requests, and removed requests do not start', () => {
	const queue = removeFromQueue(admitAll(createSlotQueue(1), [createRequest(1), createRequest(2), createRequest(3)]), 2);
	assert.deepEqual(resizeSlots(queue, 2, 0).started.map(({id}) => id), [3]);
	assert.equal(estimateWaitMs(createSlotQueue(1), {rank: 0}), 0);
});

const listInTime = (queue: SlotQueue, now: number): readonly QueuedRequest[] => queue.waiting.filter(({waitUntil}) => waitUntil > now);

test('property: no more requests run than there are slots, none is lost, and no slot is idle while a request that is in time waits', () => {
	const step = fc.oneof(
		fc.record({type: fc.constant('arrive' as const), rank: fc.integer({min: 0, max: 3}), maxWaitMs: fc.integer({min: 0, max: 500})}),
		fc.record({type: fc.constant('end' as const)}),
		fc.record({type: fc.constant('resize' as const), slots: fc.integer({min: 1, max: 4})}),
	);
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
		let queue = createSlotQueue(2);
		let now = 0;
		let slotsEver = 2;
		const open = new Set<number>();
		for (const [id, event] of steps.entries()) {
			now += 10;
			if (event.type === 'arrive') {
				const admitted = admitToQueue(queue, createRequest(id, event.rank, now + event.maxWaitMs), now);
				queue = admitted.queue;
				if (admitted.decision.type !== 'full') {
					open.add(id);
				}

				if (admitted.decision.type === 'wait' && admitted.decision.evicted !== undefined) {
					open.delete(admitted.decision.evicted.id);
				}
			} else if (event.type === 'end' && queue.running > 0) {
				queue = finishRequest(queue, 50, now).queue;
			} else if (event.type === 'resize') {
				slotsEver = Math.max(slotsEver, event.slots);
				queue = resizeSlots(queue, event.slots, now).queue;
			}

			assert.ok(queue.running <= slotsEver);
			const inTime = listInTime(queue, now);
			assert.ok(event.type === 'arrive' || queue.running >= queue.slots || inTime.length === 0);
			assert.ok(queue.waiting.every(({id: waiting}) => open.has(waiting)));
		}
	}));
});
