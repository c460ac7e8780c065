import assert from 'node:assert/strict';
import test from 'node:test';
import {admitAtGate, mayReceive} from './admit-version.js';
import {createSampleRecord} from './sample-rollout.js';

const target = {version: 'v2', isReplaced: false};
const other = {version: 'v1', isReplaced: false};

test('a gate admits to a version under test only requests that an entry counts', () => {
	for (const stage of ['canary', 'loading'] as const) {
		const record = createSampleRecord({stage});
		assert.equal(admitAtGate(record, target, false, true).type, 'limited');
		assert.equal(admitAtGate(record, target, true, true).type, 'admitted');
		assert.equal(admitAtGate(record, other, false, true).type, 'admitted');
	}
});

test('the only version of a service is not limited', () => {
	assert.equal(admitAtGate(createSampleRecord(), target, false, false).type, 'admitted');
	assert.ok(mayReceive(createSampleRecord(), 'v2', false));
});

test('from its roll-back on, a version gets no request, not even a counted one', () => {
	const record = createSampleRecord({stage: 'rolled-back'});
	assert.equal(admitAtGate(record, target, true, true).type, 'withheld');
	assert.ok(!mayReceive(record, 'v2', true));
	assert.ok(mayReceive(record, 'v1', true));
});

test('while a version is promoted, servers of other versions accept no requests, and none are sent there', () => {
	const record = createSampleRecord({stage: 'promoting'});
	assert.equal(admitAtGate(record, other, false, true).type, 'withheld');
	assert.equal(admitAtGate(record, target, false, true).type, 'admitted');
	assert.ok(!mayReceive(record, 'v1', true));
	assert.ok(mayReceive(record, 'v2', true));
});

test('after the completion only the replaced servers stay without requests; others of any version may come', () => {
	const record = createSampleRecord({stage: 'completed'});
	assert.equal(admitAtGate(record, {version: 'v1', isReplaced: true}, false, true).type, 'withheld');
	assert.equal(admitAtGate(record, other, false, true).type, 'admitted');
});

test('a version whose order was replaced before it was completed gets no requests', () => {
	const record = createSampleRecord({targetVersion: 'v3', rejectedVersions: ['v2']});
	assert.equal(admitAtGate(record, target, true, true).type, 'withheld');
	assert.ok(!mayReceive(record, 'v2', true));
});
