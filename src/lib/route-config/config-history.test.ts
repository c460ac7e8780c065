import assert from 'node:assert/strict';
import test from 'node:test';
import {createConfigHistory, type ConfigStep} from './config-history.js';

const createStep = (from: number, characters: number): ConfigStep => ({from, to: from + 1, delta: {digest: '', steps: ['x'.repeat(characters)]}});

// Guards against whole configurations that cross slow links because a few seconds of quick changes have left the history.
test('a node that lacks the versions of several seconds of quick changes gets steps', () => {
	const history = createConfigHistory();
	for (let from = 1; from <= 100; from++) {
		history.add(createStep(from, 300));
	}

	assert.equal(history.listSteps(70)?.length, 31);
	assert.equal(history.listSteps(30), undefined);
});

test('the history takes a bounded amount of memory', () => {
	const history = createConfigHistory();
	for (let from = 1; from <= 5; from++) {
		history.add(createStep(from, 200_000));
	}

	assert.deepEqual(history.listSteps(4)?.map(({from}) => from), [4, 5]);
	assert.equal(history.listSteps(3), undefined);
	history.add(createStep(6, 600_000));
	assert.equal(history.listSteps(5), undefined);
});
