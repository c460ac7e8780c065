import assert from 'node:assert/strict';
import test from 'node:test';
import {planSoak, faultFreeMs} from './plan.js';

test('the same seed gives the same plan, another seed a different one', () => {
	const size = {seed: 7, seconds: 60, nodes: 8};
	assert.deepEqual(planSoak(size), planSoak(size));
	assert.notDeepEqual(planSoak(size).faults, planSoak({...size, seed: 8}).faults);
});

test('every kind of fault is generated, between the fault-free times', () => {
	const faults = Array.from({length: 10}, (_, index) => planSoak({seed: index, seconds: 60, nodes: 10}).faults).flat();
	assert.equal(new Set(faults.map(({type}) => type)).size, 21);
	assert.ok(faults.every(({atMs}) => atMs >= faultFreeMs.start && atMs < 60_000 - faultFreeMs.end));
});
