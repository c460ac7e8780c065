import assert from 'node:assert/strict';
import test from 'node:test';
import {computeRetryAfterMs} from './retry-after.js';

test('a caller retries when a slot may be free, and not before its latency objective has passed', () => {
	assert.equal(computeRetryAfterMs({waitMs: 900, targetLatencyMs: 200, isOverloaded: true}, () => 0), 900);
	assert.equal(computeRetryAfterMs({waitMs: 0, targetLatencyMs: 200, isOverloaded: true}, () => 0), 200);
});

test('retry delays have jitter, so that callers refused together do not retry together', () => {
	assert.equal(computeRetryAfterMs({waitMs: 0, targetLatencyMs: 200, isOverloaded: true}, () => 0.5), 250);
});

test('a caller that was refused for another reason than missing slots retries while a response can still be in time', () => {
	assert.equal(computeRetryAfterMs({waitMs: 0, targetLatencyMs: 200, isOverloaded: false}, () => 0), 30);
});
