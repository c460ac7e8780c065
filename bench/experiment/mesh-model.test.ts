import assert from 'node:assert/strict';
import test from 'node:test';
import {computeCredit} from './experiment.js';
import {runPattern} from './mesh-model.js';
import {patterns, type Pattern} from './pattern.js';
import {policies, type Policy} from './policy.js';

const getPattern = (name: string): Pattern => patterns.find(pattern => pattern.name === name)!;
const getPolicy = (name: string): Policy => policies.find(policy => policy.name === name)!;

test('the same seed yields the same counts, another seed yields other counts', () => {
	const run = (seed: number): string => JSON.stringify([...runPattern({...getPattern('calm'), durationMs: 4000}, getPolicy('standard'), seed)]);
	assert.equal(run(1), run(1));
	assert.notEqual(run(1), run(2));
});

test('each request is counted at most once', () => {
	for (const pattern of ['burst', 'shedding']) {
		const counts = runPattern({...getPattern(pattern), durationMs: 6000}, getPolicy('standard'), 1);
		for (const [kind, {requests, inTime, late, refusedAtOnce, refusedLate, failed}] of counts) {
			assert.ok(requests > 0 && inTime + late + refusedAtOnce + refusedLate + failed <= requests, `${pattern}: ${kind}`);
		}
	}
});

test('overload of one service: most answers are in time and most refusals are immediate', () => {
	const pattern = getPattern('overload');
	const counts = runPattern(pattern, getPolicy('standard'), 1);
	const {requests, inTime, late, refusedAtOnce, refusedLate} = counts.get('page')!;
	assert.ok(inTime / requests > 0.6, `in time ${inTime / requests}`);
	assert.ok(late < inTime / 4, `late ${late / requests}`);
	assert.ok(refusedLate < refusedAtOnce / 5, `refused later ${refusedLate / requests}`);
	const before = runPattern(pattern, getPolicy('waits by share of the time left'), 1);
	assert.ok(computeCredit(pattern, counts) > computeCredit(pattern, before) + 0.1);
});

test('below capacity, nearly all requests are answered, most of them in time', () => {
	const {requests, inTime, late, refusedAtOnce, refusedLate} = runPattern(getPattern('calm'), getPolicy('standard'), 1).get('page')!;
	assert.ok(inTime / requests > 0.85 && (inTime + late) / requests > 0.97, `${inTime} and ${late} of ${requests}`);
	assert.ok(refusedAtOnce + refusedLate < requests * 0.005);
});

test('nested calls are answered while their service is overloaded', () => {
	const {requests, inTime, late} = runPattern(getPattern('overload'), getPolicy('standard'), 1).get('look-up')!;
	assert.ok((inTime + late) / requests > 0.95, `${inTime + late} of ${requests}`);
});
