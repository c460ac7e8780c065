import assert from 'node:assert/strict';
import test from 'node:test';
import {createNestedCallDetector} from './nested-call-detector.js';

test('a route is taken for nested calls if its objective is a small part of another one at its service', () => {
	const detector = createNestedCallDetector();
	assert.equal(detector.recordCall('hall', 'publish', 250), false);
	assert.equal(detector.recordCall('hall', 'look-up', 60), true);
	assert.equal(detector.recordCall('hall', 'publish', 250), false);
	// Objectives of other services are not compared.
	assert.equal(detector.recordCall('logview', 'page', 100), false);
});

test('routes with similar objectives are not taken for nested calls', () => {
	const detector = createNestedCallDetector();
	assert.equal(detector.recordCall('vault', 'film', 250), false);
	assert.equal(detector.recordCall('vault', 'order', 150), false);
});

test('a route with very little traffic does not affect the others', () => {
	const detector = createNestedCallDetector();
	detector.recordCall('pages', 'idle', 1000);
	for (let count = 0; count < 100; count++) {
		detector.recordCall('pages', 'page', 200);
	}

	assert.equal(detector.recordCall('pages', 'page', 200), false);
});

test('a removed route, or one whose objective has changed, no longer affects the others', () => {
	const detector = createNestedCallDetector();
	detector.recordCall('hall', 'publish', 250);
	detector.retain(new Set(['look-up']));
	assert.equal(detector.recordCall('hall', 'look-up', 60), false);
	detector.recordCall('hall', 'publish', 250);
	detector.recordCall('hall', 'publish', 100);
	assert.equal(detector.recordCall('hall', 'look-up', 60), false);
});
