import assert from 'node:assert/strict';
import test from 'node:test';
import {
	applyLimitRefusal, applyNamedLimit, unlimitedView, type LimitView,
} from './limit-view.js';

const refuseTimes = (times: number, waitMs: number): LimitView => {
	let view = applyNamedLimit(unlimitedView, 10);
	for (let time = 0; time < times; time++) {
		view = applyLimitRefusal(view, waitMs, 1000);
	}

	return view;
};

test('each refusal in a row doubles the time for which a server is avoided, up to two seconds', () => {
	assert.deepEqual([1, 2, 3, 4].map(times => refuseTimes(times, 40).limitedUntil), [1040, 1080, 1160, 1320]);
	assert.equal(refuseTimes(30, 40).limitedUntil, 3000);
});

test('a response halves the count of refusals, and one without a limit ends all that is known', () => {
	const view = refuseTimes(3, 40);
	assert.equal(applyNamedLimit(view, 10).limitRefusals, 1);
	assert.equal(applyNamedLimit(view, 10).limitedUntil, view.limitedUntil);
	assert.deepEqual(applyNamedLimit(view, undefined), unlimitedView);
});
