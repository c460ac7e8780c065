import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toBackendServerId} from './ids.js';
import {
	compareLifetimes, isSameLifetime, toLifetimeKey, type ServerLifetime,
} from './server-lifetime.js';

const lifetime = fc.record({id: fc.constantFrom('i-1', 'i-2', '1 i-1').map(id => toBackendServerId(id)), startedAt: fc.integer({min: 0, max: 3})});
const opposites = {
	same: 'same', earlier: 'later', later: 'earlier', unrelated: 'unrelated',
} as const;

test('property: two lifetimes are the same if and only if their keys are equal, and swapping them reverses their order', () => {
	fc.assert(fc.property(lifetime, lifetime, (left, right) => {
		assert.equal(isSameLifetime(left, right), toLifetimeKey(left) === toLifetimeKey(right));
		assert.equal(compareLifetimes(left, right), opposites[compareLifetimes(right, left)]);
	}));
});

test('lifetimes with the same id are ordered by start time; lifetimes with different ids are unrelated', () => {
	const first: ServerLifetime = {id: toBackendServerId('i-1'), startedAt: 1000};
	assert.equal(compareLifetimes(first, {...first, startedAt: 1001}), 'earlier');
	assert.equal(compareLifetimes(first, {...first, startedAt: 999}), 'later');
	assert.equal(compareLifetimes(first, {id: toBackendServerId('i-2'), startedAt: 1}), 'unrelated');
});
