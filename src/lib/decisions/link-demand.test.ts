import assert from 'node:assert/strict';
import test from 'node:test';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {toLifetimeKey} from '../common/server-lifetime.js';
import {unlimitedView} from '../server-notices/limit-view.js';
import {computeMaxResponseWaitMs, computeLinkBytesPerMs, createLinkDemand} from './link-demand.js';
import {type Candidate} from './rank-servers.js';

const server: Candidate = {
	id: toBackendServerId('a'), lifetime: toLifetimeKey({id: toBackendServerId('a'), startedAt: 1}),
	node: toNodeId('n1'), gate: toAddress('10.0.0.1:1'), domain: toFailureDomain('a'), isLocal: false, slots: 14, isCold: false,
	view: {
		running: 0, waiting: 0, serviceMs: 200, failureShare: 0, ownInFlight: 0, ownInFlightAtReport: 0, roundTripMs: 0, reportedAt: 0, ...unlimitedView,
	},
};

test('a response may wait for the link while it can still be in time, and a late one for at most 100 ms', () => {
	assert.equal(computeMaxResponseWaitMs({targetLatencyMs: 1000, ageMs: 0}, server), 750);
	assert.ok(computeMaxResponseWaitMs({targetLatencyMs: 1000, ageMs: 3000}, server) <= 100);
});

/**
 * Simulates downloads at a server whose slots would accept five times the capacity of its link: Poisson-like arrivals, 200 ms of work,
 * responses of 90 KB over 10 Mbit/s. Returns how long each accepted response waited for the link, and the used share of the link.
 */
function runDownloads(isBounded: boolean): {readonly waits: readonly number[]; readonly used: number} {
	const demand = createLinkDemand(10);
	const bytes = 90_000;
	const bytesPerMs = computeLinkBytesPerMs(10);
	const workMs = 200;
	const waits: number[] = [];
	const ends: Array<{readonly at: number; readonly end: (bytes: number) => void}> = [];
	let held = 0;
	let carried = 0;
	for (let now = 0; now < 20_000; now++) {
		const leaves = Math.min(held, bytesPerMs);
		held -= leaves;
		carried += leaves;
		while (ends.length > 0 && ends[0]!.at <= now) {
			ends.shift()!.end(bytes);
			waits.push(held / bytesPerMs);
			held += bytes;
		}

		// Three requests every 50 ms: four times the capacity of the link.
		if (now % 50 < 3 && (!isBounded || demand.estimateWaitMs(held, workMs) <= 750)) {
			ends.push({at: now + workMs, end: demand.begin()});
		}
	}

	return {waits, used: carried / (20_000 * bytesPerMs)};
}

// Guards against a server that starts more downloads than its link can transmit, so that every response is late.
test('overload: only as many downloads start as the link transmits in time, and the link stays fully used', () => {
	const bounded = runDownloads(true);
	assert.ok(Math.max(...bounded.waits) <= 900, `${Math.max(...bounded.waits)} ms`);
	assert.ok(bounded.used > 0.95, `${bounded.used} of the link`);
	assert.ok(Math.max(...runDownloads(false).waits) > 10_000, 'the simulated load does not saturate the link');
});

test('a request that ends without a response does not change the estimate', () => {
	const demand = createLinkDemand(10);
	demand.begin()(0);
	demand.begin()(computeLinkBytesPerMs(10) * 100);
	assert.equal(demand.estimateWaitMs(0, 0), 0);
	demand.begin();
	assert.equal(demand.estimateWaitMs(0, 0), 100);
	assert.equal(demand.estimateWaitMs(computeLinkBytesPerMs(10) * 100, 50), 150);
});
