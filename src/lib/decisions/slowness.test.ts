import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toBackendServerId} from '../common/ids.js';
import {toLifetimeKey} from '../common/server-lifetime.js';
import {createLoadView} from './load-view.js';
import {
	createSlotQueue, estimateWaitMs, finishRequest, getAverageServiceMs, recordReportedSlowness, type SlotQueue,
} from './slot-queue.js';
import {
	estimateSlowness, getRelativeSlowness, recordSlowness, type Slowness,
} from './slowness.js';

/** Replays a VM that is 2.5 times as slow for every seventh window of 0.6 s, with a report every 30 ms. Returns what is known at the end of a usual window. */
function runReports(handle?: (slowness: number, now: number) => void): Slowness {
	let known: Slowness | undefined;
	for (let now = 0; now < 42_000; now += 30) {
		const slowness = Math.floor(now / 600) % 7 === 3 ? 2.5 : 1;
		known = recordSlowness(known, slowness, now);
		handle?.(slowness, now);
	}

	return known!;
}

test('the weight of a report halves every 300 ms, and the expectation returns to the average', () => {
	assert.equal(estimateSlowness(2.5, 0), 2.5);
	assert.equal(estimateSlowness(2.5, 300), 1.75);
	assert.equal(estimateSlowness(0.8, 600), 0.95);
	assert.ok(Math.abs(estimateSlowness(2.5, 3000) - 1) < 0.01);
});

test('the average covers several changes, so that a moment of slowness is told from a slow server', () => {
	const {mean, latest} = runReports();
	assert.equal(latest, 1);
	assert.ok(Math.abs(mean - 1.21) < 0.12, `mean ${mean}`);
	const slow = recordSlowness(runReports(), 2.5, 42_000);
	assert.ok(getRelativeSlowness(slow, 42_000)! > 1.9);
});

test('an old report is dropped', () => {
	const known = recordSlowness(undefined, 2.5, 1000);
	assert.ok(getRelativeSlowness(known, 3000) !== undefined);
	assert.equal(getRelativeSlowness(known, 3001), undefined);
	assert.equal(getRelativeSlowness(undefined, 0), undefined);
});

// Guards against a learnt service time that follows the slowness of the VM: it is multiplied by the slowness of the moment, which would count twice.
test('the learnt service time does not follow the slowness, and the estimated wait at the gate does', () => {
	let queue: SlotQueue = {...createSlotQueue(1), running: 1};
	runReports((slowness, now) => {
		queue = recordReportedSlowness({...finishRequest(queue, 100 * slowness, now, slowness).queue, running: 1}, slowness, now);
	});
	assert.ok(Math.abs(queue.serviceMs - 100) < 0.01, `${queue.serviceMs}`);
	assert.ok(Math.abs(getAverageServiceMs(queue) - 121) < 12, `${getAverageServiceMs(queue)}`);
	assert.ok(Math.abs(estimateWaitMs(queue, {rank: 0}) - 100) < 0.01);
	assert.ok(Math.abs(estimateWaitMs(recordReportedSlowness(queue, 2.5, 42_000), {rank: 0}) - 250) < 0.01);
});

test('without reports the learnt service time is the plain average', () => {
	const {queue} = finishRequest({...createSlotQueue(1), running: 1}, 140, 0);
	assert.equal(getAverageServiceMs(queue), queue.serviceMs);
	assert.equal(queue.serviceMs, 80);
});

test('the view of an entry expects the slowness of the last report, weighted by its age, until a report has none', () => {
	const loads = createLoadView();
	const server = toLifetimeKey({id: toBackendServerId('i-1'), startedAt: 1});
	loads.recordReport(server, {serviceMs: 100, slowness: 2}, 1000);
	assert.equal(loads.get(server, 'logs', 1000).serviceMs, 200);
	assert.equal(loads.get(server, 'logs', 1300).serviceMs, 150);
	assert.equal(loads.get(server).serviceMs, 100);
	loads.recordReport(server, {serviceMs: 110}, 1400);
	assert.equal(loads.get(server, 'logs', 1400).serviceMs, 110);
});

test('property: the expectation lies between the report and the average', () => {
	const factor = fc.double({min: 0.01, max: 100, noNaN: true});
	fc.assert(fc.property(factor, fc.nat(10_000), (relative, ageMs) => {
		const expected = estimateSlowness(relative, ageMs);
		assert.ok(expected >= Math.min(1, relative) - 1e-9 && expected <= Math.max(1, relative) + 1e-9);
	}));
});
