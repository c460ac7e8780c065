import assert from 'node:assert/strict';
import test from 'node:test';
import {createReturningCallers} from './returning-callers.js';

test('a caller with less time left than others of its route has come before', () => {
	const callers = createReturningCallers();
	assert.equal(callers.note('logs', 2500), 0);
	assert.equal(callers.note('logs', 2490), 0);
	assert.equal(callers.note('logs', 2200), 300);
	assert.equal(callers.note('uploads', 2200), 0);
	// Somebody with more patience shows that the first one had come before.
	assert.equal(callers.note('logs', 3000), 0);
	assert.equal(callers.note('logs', 2500), 500);
});

test('routes that are gone are forgotten', () => {
	const callers = createReturningCallers();
	callers.note('logs', 2500);
	callers.retain(new Set(['uploads']));
	assert.equal(callers.note('logs', 1000), 0);
});
