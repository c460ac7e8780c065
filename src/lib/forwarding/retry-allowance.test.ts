import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createRetryAllowance, type RetryAllowance, type RetryLimits} from './retry-allowance.js';

const limits: RetryLimits = {ratio: 0.2, slack: 62, windowMs: 10_000};

/** Takes all that is left; a faulty allowance must not keep the tests for ever. */
function takeAll(allowance: RetryAllowance, service: string, now: number): number {
	let taken = 0;
	while (taken < 100_000 && allowance.take(service, now)) {
		taken++;
	}

	return taken;
}

test('a node without requests has its part of the slack, and services do not share', () => {
	const allowance = createRetryAllowance(() => limits, () => 13);
	const taken = Array.from({length: 5}, () => allowance.take('logview', 0));
	assert.deepEqual(taken, [true, true, false, false, false]);
	assert.equal(allowance.take('depstore', 0), true);
});

test('repeats grow with requests, and are forgotten with the window', () => {
	const allowance = createRetryAllowance(() => limits, () => 13);
	for (let sent = 0; sent < 100; sent++) {
		allowance.noteRequest('logview', 0);
	}

	assert.equal(allowance.countLeft('logview', 0), 11);
	assert.equal(takeAll(allowance, 'logview', 5000), 11);
	assert.equal(allowance.countLeft('logview', 9999), 0);
	assert.equal(allowance.countLeft('logview', 20_000), 2);
});

const countWithin = (times: readonly number[], now: number, windowMs: number): number => times.filter(at => now - at < windowMs).length;

test('property: over all nodes and any window the repeats stay within what the operators allow', () => {
	const event = fc.record({node: fc.nat(2), isRequest: fc.boolean(), afterMs: fc.nat(800)});
	fc.assert(fc.property(fc.array(event, {maxLength: 300}), events => {
		const nodes = Array.from({length: 3}, () => createRetryAllowance(() => ({...limits, slack: 9}), () => 3));
		const requests: number[] = [];
		const repeats: number[] = [];
		let now = 0;
		for (const {node, isRequest, afterMs} of events) {
			now += afterMs;
			if (isRequest) {
				nodes[node]?.noteRequest('s', now);
				requests.push(now);
			} else if (nodes[node]?.take('s', now)) {
				repeats.push(now);
			}

			// The operators' count may take the requests of the window before as well.
			const allowed = (countWithin(requests, now, 2 * limits.windowMs) * limits.ratio) + 9;
			assert.ok(countWithin(repeats, now, limits.windowMs) <= allowed);
		}
	}));
});

test('calls that repeated runs make again stay within what the service that they call is allowed', () => {
	const nodes = 13;
	const callsEach = 1.4;
	// One window of the users' mesh: nearly all requests to "hall" are calls that runs of "logview" make.
	const requests = {logview: 3340, hall: 1130 + Math.round(3340 * callsEach)};
	const countRepeats = (service: keyof typeof requests): number => {
		let repeats = 0;
		for (let node = 0; node < nodes; node++) {
			const allowance = createRetryAllowance(() => limits, () => nodes);
			for (let request = 0; request < Math.ceil(requests[service] / nodes); request++) {
				allowance.noteRequest(service, 0);
			}

			repeats += takeAll(allowance, service, 0);
		}

		return repeats;
	};

	const again = countRepeats('hall') + (countRepeats('logview') * callsEach);
	assert.ok(again <= (requests.hall * limits.ratio) + limits.slack, String(again));
});
