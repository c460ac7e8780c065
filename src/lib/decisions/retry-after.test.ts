import assert from 'node:assert/strict';
import test from 'node:test';
import {computeRetryAfterMs} from './retry-after.js';

test('a caller comes back when a slot may be free, and not before its objective has passed', () => {
	assert.equal(computeRetryAfterMs({waitMs: 900, targetLatencyMs: 200, isOverloaded: true}, () => 0), 900);
	assert.equal(computeRetryAfterMs({waitMs: 0, targetLatencyMs: 200, isOverloaded: true}, () => 0), 200);
});

test('those who were refused together do not come back together', () => {
	assert.equal(computeRetryAfterMs({waitMs: 0, targetLatencyMs: 200, isOverloaded: true}, () => 0.5), 250);
});

test('a caller that was not refused for want of a slot comes back while an answer can still be in time', () => {
	assert.equal(computeRetryAfterMs({waitMs: 0, targetLatencyMs: 200, isOverloaded: false}, () => 0), 30);
});
