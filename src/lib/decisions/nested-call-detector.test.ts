import assert from 'node:assert/strict';
import test from 'node:test';
import {createNestedCallDetector} from './nested-call-detector.js';

test('a route whose objective is a small part of others of its service is taken for calls of servers', () => {
	const detector = createNestedCallDetector();
	assert.equal(detector.recordCall('hall', 'publish', 250), false);
	assert.equal(detector.recordCall('hall', 'look-up', 60), true);
	assert.equal(detector.recordCall('hall', 'publish', 250), false);
	// Another objective for another service says nothing here.
	assert.equal(detector.recordCall('logview', 'page', 100), false);
});

test('objectives that are about as long are all those of callers', () => {
	const detector = createNestedCallDetector();
	assert.equal(detector.recordCall('vault', 'film', 250), false);
	assert.equal(detector.recordCall('vault', 'order', 150), false);
});

test('a route that hardly anybody uses says nothing about the others', () => {
	const detector = createNestedCallDetector();
	detector.recordCall('pages', 'idle', 1000);
	for (let count = 0; count < 100; count++) {
		detector.recordCall('pages', 'page', 200);
	}

	assert.equal(detector.recordCall('pages', 'page', 200), false);
});

test('a route that is gone, or whose objective has changed, counts no more', () => {
	const detector = createNestedCallDetector();
	detector.recordCall('hall', 'publish', 250);
	detector.retain(new Set(['look-up']));
	assert.equal(detector.recordCall('hall', 'look-up', 60), false);
	detector.recordCall('hall', 'publish', 250);
	detector.recordCall('hall', 'publish', 100);
	assert.equal(detector.recordCall('hall', 'look-up', 60), false);
});
