import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {computeMaxSlowness} from './slow-server.js';

test('a gate turns a request away if its server is clearly slower than the entry expected', () => {
	assert.equal(computeMaxSlowness({slowness: 1, reportedAt: 0}, 0, 0), 1.3);
	assert.equal(computeMaxSlowness({slowness: 2, reportedAt: 0}, 0, 0), 2.6);
	// The older the report, the closer to the average is what the entry expected.
	assert.equal(computeMaxSlowness({slowness: 2, reportedAt: 0}, 0, 300)!.toFixed(2), '1.95');
	assert.equal(computeMaxSlowness({slowness: 0.5, reportedAt: 0}, 0, 0), 1.15);
});

// Guards against requests that go from gate to gate while all VMs are slow.
test('at most two gates turn a request away, and none where servers report nothing', () => {
	assert.ok(computeMaxSlowness({slowness: 1, reportedAt: 0}, 1, 0) !== undefined);
	assert.equal(computeMaxSlowness({slowness: 1, reportedAt: 0}, 2, 0), undefined);
	assert.equal(computeMaxSlowness({slowness: undefined, reportedAt: 0}, 0, 0), undefined);
});

test('property: a server that is as slow as the entry has just heard never turns the request away', () => {
	fc.assert(fc.property(fc.double({min: 0.01, max: 100, noNaN: true}), slowness => {
		assert.ok(computeMaxSlowness({slowness, reportedAt: 5}, 0, 5)! > slowness);
	}));
});
