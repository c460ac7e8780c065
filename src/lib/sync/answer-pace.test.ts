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
	const maxValueBytes = undefined;
	assert.equal(shouldGiveUpAnswer({changes: 1, elapsedMs: 5000, maxValueBytes}, 1000), false);
	assert.equal(shouldGiveUpAnswer({changes: 12, elapsedMs: 50, maxValueBytes}, 1000), false);
	assert.equal(shouldGiveUpAnswer({changes: 2, elapsedMs: 150, maxValueBytes}, 1000), true);
});

// Guards against waiting for the second change of an answer for as long as a whole configuration takes over a very slow link, and against giving up a change that comes alone.
test('an answer that arrives very slowly is given up if its length shows that it holds several versions', () => {
	assert.equal(shouldGiveUpAnswer({changes: 1, elapsedMs: 1100, maxValueBytes: 2000}, 1000), true);
	assert.equal(shouldGiveUpAnswer({changes: 1, elapsedMs: 1000, maxValueBytes: 2000}, 1000), false);
	assert.equal(shouldGiveUpAnswer({changes: 1, elapsedMs: 5000, maxValueBytes: 1100}, 1000), false);
	assert.equal(shouldGiveUpAnswer({changes: 1, elapsedMs: 5000, maxValueBytes: 2000}, 0), false);
});
