import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	createMeshRetryBudget, type RetryReason, type MeshRetryBudget, type RetryLimits,
} from './mesh-retry-budget.js';

const limits: RetryLimits = {ratio: 0.2, slack: 62, windowMs: 10_000};

/** Takes all retries that are left. The bound ends the loop if a faulty budget never runs out. */
function takeAll(budget: MeshRetryBudget, service: string, now: number, reason: RetryReason = 'turned-away'): number {
	let taken = 0;
	while (taken < 100_000 && budget.tryAcquire(service, reason, now)) {
		taken++;
	}

	return taken;
}

test('a node without requests may use its part of the slack, separately for each service', () => {
	const budget = createMeshRetryBudget(() => limits, () => 13);
	const taken = Array.from({length: 5}, () => budget.tryAcquire('logview', 'turned-away', 0));
	assert.deepEqual(taken, [true, true, true, false, false]);
	assert.equal(budget.tryAcquire('depstore', 'turned-away', 0), true);
});

test('the budget grows with the requests, and retries that have left the window no longer count', () => {
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

test('property: over all nodes and in any window the retries stay within the limit of the operators', () => {
	const event = fc.record({
		node: fc.nat(2), isRequest: fc.boolean(), isCall: fc.boolean(), reason: fc.constantFrom<RetryReason>('turned-away', 'call-turned-away', 'may-have-run'), afterMs: fc.nat(800),
	});
	fc.assert(fc.property(fc.array(event, {maxLength: 300}), events => {
		const nodes = Array.from({length: 3}, () => createMeshRetryBudget(() => ({...limits, slack: 9}), () => 3));
		const requests: number[] = [];
		const retries: number[] = [];
		let now = 0;
		for (const {node, isRequest, isCall, reason, afterMs} of events) {
			now += afterMs;
			if (isRequest) {
				nodes[node]?.recordRequest('s', isCall, now);
				requests.push(now);
			} else if (nodes[node]?.tryAcquire('s', reason, now)) {
				retries.push(now);
			}

			// The operators may also count the requests of the previous window.
			const allowed = (countWithin(requests, now, 2 * limits.windowMs) * limits.ratio) + 9;
			assert.ok(countWithin(retries, now, limits.windowMs) <= allowed);
		}
	}));
});

test('requests that may have been executed get a smaller part of the budget', () => {
	const budget = createMeshRetryBudget(() => limits, () => 13);
	for (let sent = 0; sent < 1000; sent++) {
		budget.recordRequest('logview', false, 0);
	}

	assert.equal(takeAll(budget, 'logview', 0, 'may-have-run'), 40);
	assert.equal(takeAll(budget, 'logview', 0, 'turned-away'), 123);
});

test('a retry counts until the end of its slice has left the window', () => {
	const budget = createMeshRetryBudget(() => limits, () => 13);
	assert.equal(takeAll(budget, 'logview', 0), 3);
	assert.equal(takeAll(budget, 'logview', 10_500), 0);
	assert.equal(takeAll(budget, 'logview', 11_000), 3);
});

/** Orders in which the kinds of retries use up the budget: the first ones reduce what is left for the others. */
const orders: ReadonlyArray<ReadonlyArray<readonly ['logview' | 'hall', RetryReason]>> = [
	[['hall', 'call-turned-away'], ['logview', 'may-have-run'], ['hall', 'turned-away']],
	[['logview', 'may-have-run'], ['hall', 'call-turned-away'], ['hall', 'turned-away']],
	[['hall', 'turned-away'], ['logview', 'may-have-run'], ['hall', 'call-turned-away']],
];

for (const order of orders) {
	test(`nested calls that retried executions repeat stay within the budget of the called service: ${order.join('; ')}`, () => {
		const nodes = 13;
		// The users' mesh while a service sheds load: 0.7 of the executions of "logview" make two calls to "hall", and these fail and are retried.
		const callsPerRequest = 1.4;
		const callsPerRetry = 2;
		const requests = {logview: 4600, hall: 1550 + Math.round(4600 * callsPerRequest)};
		let retryCount = 0;
		for (let node = 0; node < nodes; node++) {
			const budget = createMeshRetryBudget(() => limits, () => nodes);
			for (const service of ['logview', 'hall'] as const) {
				for (let request = 0; request < Math.ceil(requests[service] / nodes); request++) {
					budget.recordRequest(service, service === 'hall' && request * nodes < 4600 * callsPerRequest, 0);
				}
			}

			for (const [service, reason] of order) {
				retryCount += takeAll(budget, service, 0, reason) * (service === 'logview' ? callsPerRetry : 1);
			}
		}

		const allowed = (requests.hall * limits.ratio) + limits.slack;
		// The margin is for monitoring whose windows start at other times than those of the nodes.
		assert.ok(retryCount <= allowed * 0.8, `${retryCount} of ${allowed}`);
		assert.ok(retryCount >= allowed * 0.6, `${retryCount} of ${allowed}`);
	});
}

test('while other services retry little, refused nested calls may use more of the budget than refused requests of other callers', () => {
	const budget = createMeshRetryBudget(() => limits, () => 13);
	for (let sent = 0; sent < 1000; sent++) {
		budget.recordRequest('hall', sent % 4 !== 0, 0);
	}

	const requests = takeAll(budget, 'hall', 0, 'turned-away');
	const calls = takeAll(budget, 'hall', 0, 'call-turned-away');
	assert.equal(requests, 110);
	assert.equal(requests + calls, 163);
});

test('with a twelfth of the slack, the first failed request of a node may be retried', () => {
	const budget = createMeshRetryBudget(() => limits, () => 12);
	budget.recordRequest('logview', false, 0);
	assert.equal(budget.tryAcquire('logview', 'may-have-run', 0), true);
});

// Guards against a budget that grows by retries which no longer count.
test('a retry that is given back may be taken again, and changes nothing once it has left the window', () => {
	const budget = createMeshRetryBudget(() => limits, () => 12);
	const all = takeAll(budget, 'logview', 0);
	budget.giveBack('logview', 'turned-away', 0, 500);
	assert.equal(takeAll(budget, 'logview', 600), 1);
	const later = limits.windowMs * 2;
	budget.giveBack('logview', 'turned-away', 0, later);
	assert.equal(takeAll(budget, 'logview', later), all);
});
