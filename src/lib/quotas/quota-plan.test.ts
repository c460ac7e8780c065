import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {computeQuotaPlan, defaultQuotaTolerance} from './quota-plan.js';

test('property: the most that a plan lets run in a window is within the tolerance, whatever the operators allow', () => {
	const tolerance = fc.record({windowMs: fc.integer({min: 500, max: 60_000}), overage: fc.double({min: 0, max: 1, noNaN: true}), slack: fc.integer({min: 0, max: 100})});
	const limit = fc.record({ratePerSecond: fc.double({min: 0.01, max: 10_000, noNaN: true}), burst: fc.integer({min: 0, max: 5000})});
	fc.assert(fc.property(tolerance, limit, (tolerated, {ratePerSecond, burst}) => {
		const plan = computeQuotaPlan(tolerated, {ratePerSecond, burst});
		const allowed = (((ratePerSecond * tolerated.windowMs / 1000) + burst) * (1 + tolerated.overage)) + tolerated.slack;
		// Below one request in a window, the one token that may be there is not covered.
		fc.pre(allowed >= plan.burst);
		const most = (plan.ratePerMs * (tolerated.windowMs + plan.ttlMs)) + plan.burst + (plan.burst < 2 ? 0 : plan.wholeTokenNodes);
		assert.ok(most <= allowed + 1e-6 || plan.ratePerMs === 0, `${most} of ${allowed}`);
	}), {seed: 20_261_203});
});

test('with the usual tolerance the whole rate is handed out, and a token is valid longer than an ask takes', () => {
	for (const ratePerSecond of [0.5, 3, 30, 300, 3000]) {
		const {ratePerMs, ttlMs, burst} = computeQuotaPlan(defaultQuotaTolerance, {ratePerSecond, burst: 0});
		assert.ok(Math.abs((ratePerMs * 1000) - ratePerSecond) < 1e-9);
		assert.ok(ttlMs >= 250 && ttlMs <= 1000);
		assert.ok(burst >= 1);
	}
});
