import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createExposureBudget} from './exposure-budget.js';

const order = {era: 0, revision: 7};

test('nodes that hear nothing of one another together expose the share of their requests, plus less than one request a node', () => {
	fc.assert(fc.property(fc.array(fc.nat({max: 200}), {minLength: 1, maxLength: 40}), fc.double({min: 0, max: 0.5, noNaN: true}), fc.double({min: 0, max: 0.999, noNaN: true}), (requests, share, offset) => {
		let exposed = 0;
		for (const count of requests) {
			const budget = createExposureBudget(() => offset);
			for (let index = 0; index < count; index++) {
				budget.recordRequest('hall', 'reads', order);
				if (budget.hasRemaining('hall', 'reads', share)) {
					budget.recordExposure('hall', 'reads');
					exposed++;
				}
			}
		}

		const total = requests.reduce((sum, count) => sum + count, 0);
		assert.ok(exposed <= (total * share) + requests.length);
	}));
});

test('with random offsets the first requests of many nodes already expose the share', () => {
	let exposed = 0;
	for (let node = 0; node < 1000; node++) {
		const budget = createExposureBudget(() => node / 1000);
		budget.recordRequest('hall', 'reads', order);
		exposed += budget.hasRemaining('hall', 'reads', 0.1) ? 1 : 0;
	}

	assert.ok(exposed >= 95 && exposed <= 105, String(exposed));
});

test('an exposure that did not reach a server is given back, and a later order starts anew', () => {
	const budget = createExposureBudget(() => 0);
	budget.recordRequest('hall', 'reads', order);
	budget.recordExposure('hall', 'reads');
	assert.ok(!budget.hasRemaining('hall', 'reads', 1));
	budget.releaseExposure('hall', 'reads');
	assert.ok(budget.hasRemaining('hall', 'reads', 1));
	budget.recordExposure('hall', 'reads');
	budget.recordRequest('hall', 'reads', {era: 0, revision: 8});
	assert.ok(budget.hasRemaining('hall', 'reads', 1));
});
