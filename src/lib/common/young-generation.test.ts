import assert from 'node:assert/strict';
import test from 'node:test';
import {createYoungGeneration, applyGrowthFactor} from './young-generation.js';

test('the young generation grows only while there is much to do', () => {
	const factors: number[] = [];
	const young = createYoungGeneration(factor => {
		factors.push(factor);
	});
	young.note(15, 1000);
	young.note(90, 2000);
	young.note(120, 2000);
	young.note(20, 1000);
	assert.deepEqual(factors, [1, 2, 1]);
});

test('the engine takes the flag while it runs', () => {
	assert.doesNotThrow(() => {
		applyGrowthFactor(1);
		applyGrowthFactor(2);
	});
});
