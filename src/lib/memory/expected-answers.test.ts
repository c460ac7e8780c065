import assert from 'node:assert/strict';
import test from 'node:test';
import {createExpectedAnswers} from './expected-answers.js';

// Guards against a cost for ordinary requests: short answers need no room of their own.
test('short answers are not reserved for', () => {
	const expected = createExpectedAnswers(80_000_000);
	expected.record('r', 10_000);
	assert.equal(expected.estimate('r'), 0);
	assert.equal(expected.estimate('unknown'), 0);
});

test('long answers of a route are reserved for, up to a share of the bound, and no longer once they are short', () => {
	const expected = createExpectedAnswers(1_000_000);
	for (let count = 0; count < 50; count++) {
		expected.record('r', 50_000);
	}

	assert.ok(expected.estimate('r') > 40_000);
	expected.record('r', 500_000_000);
	assert.equal(expected.estimate('r'), 100_000);
	for (let count = 0; count < 100; count++) {
		expected.record('r', 100);
	}

	assert.equal(expected.estimate('r'), 0);
});
