import assert from 'node:assert/strict';
import test from 'node:test';
import {computeRewatchDelayMs, maxFollowDelayMs, shouldGiveUpAnswer} from './answer-pace.js';

test('the delay before the next watch counts from the beginning of the answer', () => {
	assert.equal(computeRewatchDelayMs(0, 0), 450);
	assert.equal(computeRewatchDelayMs(400, 0), 50);
	assert.equal(computeRewatchDelayMs(2000, 0.99), 0);
	assert.ok(computeRewatchDelayMs(0, 0.999) < maxFollowDelayMs);
});

test('an answer is given up at its second change, and only if it arrives slowly', () => {
	assert.equal(shouldGiveUpAnswer({changes: 1, elapsedMs: 5000}), false);
	assert.equal(shouldGiveUpAnswer({changes: 12, elapsedMs: 50}), false);
	assert.equal(shouldGiveUpAnswer({changes: 2, elapsedMs: 150}), true);
});
