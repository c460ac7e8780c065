import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	createMeshRetryBudget, type RetryReason, type MeshRetryBudget, type RetryLimits,
} from './mesh-retry-budget.js';

const limits: RetryLimits = {ratio: 0.2, slack: 62, windowMs: 10_000};

/** Takes all that is left; a faulty budget must not keep the tests for ever. */
function takeAll(budget: MeshRetryBudget, service: string, now: number, reason: RetryReason = 'turned-away'): number {
	let taken = 0;
	while (taken < 100_000 && budget.tryAcquire(service, reason, now)) {
		taken++;
	}

	return taken;
}

test('a node without requests has its part of the slack, and services do not share', () => {
	const budget = createMeshRetryBudget(() => limits, () => 13);
	const taken = Array.from({length: 5}, () => budget.tryAcquire('logview', 'turned-away', 0));
	assert.deepEqual(taken, [true, true, true, false, false]);
	assert.equal(budget.tryAcquire('depstore', 'turned-away', 0), true);
});

test('repeats grow with requests, and are forgotten with the window', () => {
	const budget = createMeshRetryBudget(() => limits, () => 13);
	for (let sent = 0; sent < 100; sent++) {
		budget.recordRequest('logview', false, 0);
	}

	assert.equal(budget.countRemaining('logview', 'turned-away', 0), 19);
	assert.equal(takeAll(budget, 'logview', 5000), 19);
	assert.equal(budget.countRemaining('logview', 'turned-away', 9999), 0);
	assert.equal(budget.countRemaining('logview', 'turned-away', 20_000), 3);
});

const countWithin = (times: readonly number[], now: number, windowMs: number): number => times.filter(at => now - at < windowMs).length;

test('property: over all nodes and any window the repeats stay within what the operators allow', () => {
	const event = fc.record({
		node: fc.nat(2), isRequest: fc.boolean(), isCall: fc.boolean(), reason: fc.constantFrom<RetryReason>('turned-away', 'call-turned-away', 'may-have-run'), afterMs: fc.nat(800),
	});
	fc.assert(fc.property(fc.array(event, {maxLength: 300}), events => {
		const nodes = Array.from({length: 3}, () => createMeshRetryBudget(() => ({...limits, slack: 9}), () => 3));
		const requests: number[] = [];
		const repeats: number[] = [];
		let now = 0;
		for (const {node, isRequest, isCall, reason, afterMs} of events) {
			now += afterMs;
			if (isRequest) {
				nodes[node]?.recordRequest('s', isCall, now);
				requests.push(now);
			} else if (nodes[node]?.tryAcquire('s', reason, now)) {
				repeats.push(now);
			}

			// The operators' count may take the requests of the window before as well.
			const allowed = (countWithin(requests, now, 2 * limits.windowMs) * limits.ratio) + 9;
			assert.ok(countWithin(repeats, now, limits.windowMs) <= allowed);
		}
	}));
});

test('of the repeats, fewer are for requests that may have run', () => {
	const budget = createMeshRetryBudget(() => limits, () => 13);
	for (let sent = 0; sent < 1000; sent++) {
		budget.recordRequest('logview', false, 0);
	}

	assert.equal(takeAll(budget, 'logview', 0, 'may-have-run'), 40);
	assert.equal(takeAll(budget, 'logview', 0, 'turned-away'), 123);
});

test('a repeat counts until its last moment is out of the window', () => {
	const budget = createMeshRetryBudget(() => limits, () => 13);
	assert.equal(takeAll(budget, 'logview', 0), 3);
	assert.equal(takeAll(budget, 'logview', 10_500), 0);
	assert.equal(takeAll(budget, 'logview', 11_000), 3);
});

/** Who takes repeats first: what is left for the others depends on it. */
const orders: ReadonlyArray<ReadonlyArray<readonly ['logview' | 'hall', RetryReason]>> = [
	[['hall', 'call-turned-away'], ['logview', 'may-have-run'], ['hall', 'turned-away']],
	[['logview', 'may-have-run'], ['hall', 'call-turned-away'], ['hall', 'turned-away']],
	[['hall', 'turned-away'], ['logview', 'may-have-run'], ['hall', 'call-turned-away']],
];

for (const order of orders) {
	test(`calls that repeated runs make again stay within what the service that they call is allowed: ${order.join('; ')}`, () => {
		const nodes = 13;
		// The users' mesh while a service sheds: 0.7 of the runs of "logview" make two calls of "hall", and these are the ones that fail and run again.
		const callsOfEach = 1.4;
		const callsOfRepeated = 2;
		const requests = {logview: 4600, hall: 1550 + Math.round(4600 * callsOfEach)};
		let again = 0;
		for (let node = 0; node < nodes; node++) {
			const budget = createMeshRetryBudget(() => limits, () => nodes);
			for (const service of ['logview', 'hall'] as const) {
				for (let request = 0; request < Math.ceil(requests[service] / nodes); request++) {
					budget.recordRequest(service, service === 'hall' && request * nodes < 4600 * callsOfEach, 0);
				}
			}

			for (const [service, reason] of order) {
				again += takeAll(budget, service, 0, reason) * (service === 'logview' ? callsOfRepeated : 1);
			}
		}

		const allowed = (requests.hall * limits.ratio) + limits.slack;
		// Windows are cut otherwise by who counts than by the nodes.
		assert.ok(again <= allowed * 0.8, `${again} of ${allowed}`);
		assert.ok(again >= allowed * 0.6, `${again} of ${allowed}`);
	});
}

test('while little is repeated elsewhere, calls that were turned away may use more than requests whose callers can come back', () => {
	const budget = createMeshRetryBudget(() => limits, () => 13);
	for (let sent = 0; sent < 1000; sent++) {
		budget.recordRequest('hall', sent % 4 !== 0, 0);
	}

	const requests = takeAll(budget, 'hall', 0, 'turned-away');
	const calls = takeAll(budget, 'hall', 0, 'call-turned-away');
	assert.equal(requests, 110);
	assert.equal(requests + calls, 163);
});

test('with the part of the slack that a dozen nodes share, the first request that fails may run again', () => {
	const budget = createMeshRetryBudget(() => limits, () => 12);
	budget.recordRequest('logview', false, 0);
	assert.equal(budget.tryAcquire('logview', 'may-have-run', 0), true);
});
