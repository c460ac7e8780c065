import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {computePeriods, planHeartbeats} from './heartbeat-plan.js';

test('in a small mesh every node gets a heartbeat every period', () => {
	const plan = planHeartbeats({ownDomainNodes: 4, otherDomainNodes: 9, isFollowing: false});
	assert.deepEqual(plan, {ownDomain: 1, otherDomain: 1});
	assert.deepEqual(computePeriods(plan, 400), {ownDomainMs: 400, otherDomainMs: 400});
});

test('a node that watches the store sends to every node of a large failure domain every period', () => {
	assert.equal(planHeartbeats({ownDomainNodes: 40, otherDomainNodes: 9, isFollowing: true}).ownDomain, 1);
	assert.equal(planHeartbeats({ownDomainNodes: 40, otherDomainNodes: 9, isFollowing: false}).ownDomain, 8);
});

test('property: the number of heartbeats that a node sends per period is bounded in any mesh', () => {
	fc.assert(fc.property(fc.nat(400), fc.nat(190), fc.boolean(), (ownDomainNodes, otherDomainNodes, isFollowing) => {
		const {ownDomain, otherDomain} = planHeartbeats({ownDomainNodes, otherDomainNodes, isFollowing});
		assert.ok((ownDomainNodes / ownDomain) + (otherDomainNodes / otherDomain) <= (isFollowing ? 70 : 22));
		assert.ok(ownDomain >= 1 && otherDomain >= 1);
	}));
});
