import assert from 'node:assert/strict';
import test from 'node:test';
import {computeCredit} from './experiment.js';
import {runPattern} from './mesh-model.js';
import {patterns, type Pattern} from './pattern.js';
import {policies, type Policy} from './policy.js';

const getPattern = (name: string): Pattern => patterns.find(pattern => pattern.name === name)!;
const getPolicy = (name: string): Policy => policies.find(policy => policy.name === name)!;

test('the same seed yields the same figures, another one others', () => {
	const run = (seed: number): string => JSON.stringify([...runPattern({...getPattern('calm'), lengthMs: 4000}, getPolicy('standard'), seed)]);
	assert.equal(run(1), run(1));
	assert.notEqual(run(1), run(2));
});

test('nobody is counted twice', () => {
	for (const pattern of ['burst', 'shedding']) {
		const tally = runPattern({...getPattern(pattern), lengthMs: 6000}, getPolicy('standard'), 1);
		for (const [kind, {asked, inTime, late, refusedAtOnce, refusedLate, failed}] of tally) {
			assert.ok(asked > 0 && inTime + late + refusedAtOnce + refusedLate + failed <= asked, `${pattern}: ${kind}`);
		}
	}
});

test('overload of one service: most of what is served is in time, and what is refused is refused at once', () => {
	const pattern = getPattern('overload');
	const tally = runPattern(pattern, getPolicy('standard'), 1);
	const {asked, inTime, late, refusedAtOnce, refusedLate} = tally.get('page')!;
	assert.ok(inTime / asked > 0.6, `in time ${inTime / asked}`);
	assert.ok(late < inTime / 4, `late ${late / asked}`);
	assert.ok(refusedLate < refusedAtOnce / 5, `refused later ${refusedLate / asked}`);
	const before = runPattern(pattern, getPolicy('waits by share of the time left'), 1);
	assert.ok(computeCredit(pattern, tally) > computeCredit(pattern, before) + 0.1);
});

test('with room for all, everybody is served, nearly all in time', () => {
	const {asked, inTime, late, refusedAtOnce, refusedLate} = runPattern(getPattern('calm'), getPolicy('standard'), 1).get('page')!;
	assert.ok(inTime / asked > 0.85 && (inTime + late) / asked > 0.97, `${inTime} and ${late} of ${asked}`);
	assert.ok(refusedAtOnce + refusedLate < asked * 0.005);
});

test('calls of servers are served while their service is short', () => {
	const {asked, inTime, late} = runPattern(getPattern('overload'), getPolicy('standard'), 1).get('look-up')!;
	assert.ok((inTime + late) / asked > 0.95, `${inTime + late} of ${asked}`);
});
