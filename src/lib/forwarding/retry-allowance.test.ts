import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createRetryAllowance, type RetryLimits} from './retry-allowance.js';

const limits: RetryLimits = {ratio: 0.2, slack: 62, windowMs: 10_000};

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

	assert.equal(allowance.countLeft('logview', 0), 14);
	while (allowance.take('logview', 5000)) {
		// All that is left.
	}

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
