import assert from 'node:assert/strict';
import test from 'node:test';
import {createCallerRetryDetector} from './caller-retry-detector.js';

test('a caller with less time left than others of its route has come before', () => {
	const detector = createCallerRetryDetector();
	assert.equal(detector.recordCall('logs', 2500), 0);
	assert.equal(detector.recordCall('logs', 2490), 0);
	assert.equal(detector.recordCall('logs', 2200), 300);
	assert.equal(detector.recordCall('uploads', 2200), 0);
	// Somebody with more patience shows that the first one had come before.
	assert.equal(detector.recordCall('logs', 3000), 0);
	assert.equal(detector.recordCall('logs', 2500), 500);
});

test('routes that are gone are forgotten', () => {
	const detector = createCallerRetryDetector();
	detector.recordCall('logs', 2500);
	detector.retain(new Set(['uploads']));
	assert.equal(detector.recordCall('logs', 1000), 0);
});
