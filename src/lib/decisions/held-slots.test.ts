import assert from 'node:assert/strict';
import test from 'node:test';
import {
	getNextDeadline, releaseExpired, releaseReported, type HeldRequest,
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
