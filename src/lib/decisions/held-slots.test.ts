import assert from 'node:assert/strict';
import test from 'node:test';
import {
	computeLateWaitMs, getNextDeadline, releaseExpired, releaseReported, type HeldRequest, type OpenRequests,
} from './held-slots.js';

const createHeld = (id: number, deadlineAt: number): HeldRequest => ({
	id, call: `call-${id}`, sentAt: 0, heldAt: 10, deadlineAt,
});

const held = [createHeld(1, 300), createHeld(2, 100), createHeld(3, 200)];

const listIds = (requests: ReadonlyArray<{readonly id: number}>): readonly number[] => requests.map(({id}) => id);

// Guards against a slot that is given to another request while the server still works on the one before.
test('as many requests stay held as the server may still have, and the first ones are released', () => {
	const step = releaseReported(held, 1);
	assert.deepEqual([listIds(step.released), listIds(step.held)], [[1, 2], [3]]);
	assert.deepEqual(releaseReported(held, 5).released, []);
	assert.deepEqual(releaseReported(held, -1).held, []);
});

test('a request is released at its deadline', () => {
	assert.equal(getNextDeadline(held), 100);
	const step = releaseExpired(held, 200);
	assert.deepEqual([listIds(step.released), listIds(step.held)], [[2, 3], [1]]);
	assert.equal(getNextDeadline([]), undefined);
});

/** Six slots, whose callers leave after 60 ms of work that takes 150. */
const leavingCallers: OpenRequests = {
	expected: 5, held: 0, slotLimit: 6, ageMs: 60, serviceMs: 150,
};

// Guards against slots that are held until the deadlines, because the callers of all requests left and no response reports that the server is free.
test('callers that leave all slots at once: the last two responses are awaited', () => {
	const waits = [0, 1, 2, 3, 4, 5].map(held => computeLateWaitMs({...leavingCallers, held, expected: 5 - held}));
	assert.deepEqual(waits, [undefined, undefined, undefined, undefined, 300, 300]);
});

// Guards against work for callers that left at a server that is not short of slots.
test('callers that leave an idle server: the connection is closed', () => {
	assert.equal(computeLateWaitMs({...leavingCallers, expected: 0, held: 0}), undefined);
	assert.equal(computeLateWaitMs({...leavingCallers, expected: 0, held: 1}), undefined);
	assert.equal(computeLateWaitMs({
		...leavingCallers, expected: 1, held: 0, ageMs: 140,
	}), undefined);
});

// Guards against slots that are held after the work, since the close hides its end.
test('callers that leave shortly before the response: it is awaited for half a service time', () => {
	assert.equal(computeLateWaitMs({...leavingCallers, ageMs: 140}), 85);
	assert.equal(computeLateWaitMs({...leavingCallers, ageMs: 112}), undefined);
	assert.equal(computeLateWaitMs({...leavingCallers, ageMs: 226}), undefined);
});

// Guards against work for a caller that left half a second ago.
test('callers that leave long work: the connection is closed after 300 ms', () => {
	assert.equal(computeLateWaitMs({...leavingCallers, ageMs: 1000, serviceMs: 1200}), 300);
});
