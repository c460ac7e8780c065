import assert from 'node:assert/strict';
import test from 'node:test';
import {createYoungGenerationTuner, applyGrowthFactor} from './young-generation-tuner.js';

test('the young generation grows only while there is much to do', () => {
	const factors: number[] = [];
	const young = createYoungGenerationTuner(factor => {
		factors.push(factor);
	});
	young.recordLoad(15, 1000);
	young.recordLoad(90, 2000);
	young.recordLoad(120, 2000);
	young.recordLoad(20, 1000);
	assert.deepEqual(factors, [1, 2, 1]);
});

test('the engine takes the flag while it runs', () => {
	assert.doesNotThrow(() => {
		applyGrowthFactor(1);
		applyGrowthFactor(2);
	});
});
