import assert from 'node:assert/strict';
import test from 'node:test';
import {createServiceTimes, type ServiceTimes} from './service-times.js';

function recordMany(times: ServiceTimes, count: number, getMs: (index: number) => number): void {
	for (let index = 0; index < count; index++) {
		times.record(getMs(index));
	}
}

/** Three in a hundred requests take seven times as long. */
const getMixedMs = (index: number): number => index % 33 === 0 ? 420 : 60;

test('there is no percentile until there are enough samples for one', () => {
	const times = createServiceTimes();
	recordMany(times, 19, getMixedMs);
	assert.equal(times.getPercentile(), undefined);
	times.record(60);
	assert.ok(times.getPercentile()! >= 400);
});

// Guards against a threshold that the longest honest requests exceed.
test('the percentile covers the few requests that take many times as long', () => {
	const times = createServiceTimes();
	recordMany(times, 5000, getMixedMs);
	const percentile = times.getPercentile()!;
	assert.ok(percentile >= 410 && percentile <= 430, `${percentile} ms`);
});

test('the percentile follows a server that became faster, and is never unknown again', () => {
	const times = createServiceTimes();
	recordMany(times, 1000, () => 800);
	for (let index = 0; index < 1100; index++) {
		times.record(20);
		assert.ok(times.getPercentile() !== undefined);
	}

	assert.ok(times.getPercentile()! <= 21);
});
