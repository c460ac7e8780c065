import assert from 'node:assert/strict';
import test from 'node:test';
import {createYoungGenerationTuner, applyGrowthFactor} from './young-generation-tuner.js';

test('the young generation may grow only under a high rate of requests', () => {
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

test('V8 accepts the flag at run time', () => {
	assert.doesNotThrow(() => {
		applyGrowthFactor(1);
		applyGrowthFactor(2);
	});
});
