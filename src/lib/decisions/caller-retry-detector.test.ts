import assert from 'node:assert/strict';
import test from 'node:test';
import {createCallerRetryDetector} from './caller-retry-detector.js';

test('a caller with less time left than others of its route is retrying', () => {
	const detector = createCallerRetryDetector();
	assert.equal(detector.recordCall('logs', 2500), 0);
	assert.equal(detector.recordCall('logs', 2490), 0);
	assert.equal(detector.recordCall('logs', 2200), 300);
	assert.equal(detector.recordCall('uploads', 2200), 0);
	// A caller with more time left shows that the first one was retrying.
	assert.equal(detector.recordCall('logs', 3000), 0);
	assert.equal(detector.recordCall('logs', 2500), 500);
});

test('removed routes no longer count', () => {
	const detector = createCallerRetryDetector();
	detector.recordCall('logs', 2500);
	detector.retain(new Set(['uploads']));
	assert.equal(detector.recordCall('logs', 1000), 0);
});
