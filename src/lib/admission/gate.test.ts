import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {type WorkClass} from '../policy/decision.js';
import {type AdmissionSettings} from '../settings/settings.js';
import {
	admitRequest, createGateState, releaseSlot, type GateState, type WaitingRequest,
} from './gate-state.js';
import {createGate} from './gate.js';

const settings: AdmissionSettings = {
	queuePerSlot: 2, maximumWaitMs: 500, targetWaitMs: 50, bulkShare: 0.5, announcementLifeMs: 6000,
};

function createRequest(id: number, workClass: WorkClass = 'interactive', arrivedAt = 0): WaitingRequest {
	return {
		id, workClass, arrivedAt, deadline: arrivedAt + 10_000,
	};
}

function fillGate(slots: number, workClass: WorkClass, count: number): GateState {
	let state = createGateState(slots);
	for (let id = 0; id < count; id++) {
		({state} = admitRequest(state, settings, createRequest(id, workClass)));
	}

	return state;
}

test('requests fill the slots, then the queue, and further ones are refused with a retry delay', () => {
	const full = fillGate(2, 'interactive', 6);
	assert.equal(full.inUse.interactive, 2);
	assert.equal(full.queue.length, 4);
	const {admission} = admitRequest(full, settings, createRequest(9));
	assert.ok(admission.type === 'shed' && admission.retryAfterMs > 0);
});

test('bulk requests leave slots free for interactive ones, and do not queue ahead of them', () => {
	const busy = fillGate(4, 'bulk', 4);
	assert.deepEqual(busy.inUse, {interactive: 0, bulk: 2});
	assert.equal(admitRequest(busy, settings, createRequest(9)).admission.type, 'run');
});

test('the oldest request starts first while waits are short, the newest when they are long', () => {
	const full = fillGate(1, 'interactive', 3);
	assert.equal(releaseSlot(full, settings, {workClass: 'interactive', tookMs: 1}, 10).started[0]?.id, 1);
	assert.equal(releaseSlot(full, settings, {workClass: 'interactive', tookMs: 1}, 200).started[0]?.id, 2);
});

test('a request that cannot start before its deadline is refused immediately', () => {
	const full = {...fillGate(1, 'interactive', 2), serviceMs: 400};
	const {admission} = admitRequest(full, settings, {...createRequest(5), deadline: 100});
	assert.equal(admission.type, 'shed');
});

test('property: in any sequence of arrivals and releases, no more requests run than there are slots', () => {
	const operations = fc.array(fc.record({isArrival: fc.boolean(), workClass: fc.constantFrom<WorkClass>('interactive', 'bulk')}), {maxLength: 80});
	fc.assert(fc.property(operations, fc.integer({min: 1, max: 5}), (steps, slots) => {
		let state = createGateState(slots);
		for (const [id, {isArrival, workClass}] of steps.entries()) {
			if (isArrival) {
				({state} = admitRequest(state, settings, createRequest(id, workClass, id)));
			} else if (state.inUse[workClass] > 0) {
				({state} = releaseSlot(state, settings, {workClass, tookMs: 5}, id));
			}

			assert.ok(state.inUse.interactive + state.inUse.bulk <= slots);
			assert.ok(state.queue.length <= Math.ceil(slots * settings.queuePerSlot));
		}
	}));
});

test('a queued request gets the slot that another request releases, and a second release has no effect', async () => {
	const gate = createGate(1, settings);
	const first = (await gate.acquire({workClass: 'interactive', deadline: Date.now() + 1000}))._unsafeUnwrap();
	const second = gate.acquire({workClass: 'interactive', deadline: Date.now() + 1000});
	first.release();
	first.release();
	assert.equal((await second).isOk(), true);
	assert.equal(gate.countRequests(), 1);
});

test('the wait ends at the maximum wait or when the caller cancels, and a draining gate refuses; none of these requests run', async t => {
	t.mock.timers.enable({apis: ['setTimeout', 'Date']});
	const gate = createGate(1, settings);
	await gate.acquire({workClass: 'interactive', deadline: Date.now() + 10_000});
	const late = gate.acquire({workClass: 'interactive', deadline: Date.now() + 10_000});
	t.mock.timers.tick(settings.maximumWaitMs);
	assert.equal((await late)._unsafeUnwrapErr().type, 'shed');

	const leaving = new AbortController();
	const cancelled = gate.acquire({workClass: 'interactive', deadline: Date.now() + 10_000, signal: leaving.signal});
	leaving.abort();
	assert.equal((await cancelled)._unsafeUnwrapErr().type, 'cancelled');

	gate.startDraining();
	assert.equal((await gate.acquire({workClass: 'interactive', deadline: Date.now() + 10_000}))._unsafeUnwrapErr().type, 'draining');
	assert.equal(gate.countRequests(), 1);
});
