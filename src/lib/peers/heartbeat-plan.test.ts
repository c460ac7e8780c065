import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {measurePeriods, planHeartbeats} from './heartbeat-plan.js';

test('in a small mesh everybody gets a heartbeat every period', () => {
	assert.deepEqual(planHeartbeats(4, 9), {ownDomain: 1, otherDomain: 1});
	assert.deepEqual(measurePeriods(planHeartbeats(4, 9), 400), {ownDomainMs: 400, otherDomainMs: 400});
});

test('property: what a node sends in a period does not grow with the mesh', () => {
	fc.assert(fc.property(fc.nat(300), fc.nat(390), (near, far) => {
		const {ownDomain, otherDomain} = planHeartbeats(near, far);
		assert.ok((near / ownDomain) + (far / otherDomain) <= 40);
		assert.ok(ownDomain >= 1 && otherDomain >= 1);
	}));
});
