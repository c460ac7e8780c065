import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {isSilentNodeDue, listDuePositions, silentNodeRounds} from './heartbeat-rotation.js';

test('property: the due positions of a round equal those found by checking all nodes', () => {
	fc.assert(fc.property(fc.nat(300), fc.integer({min: 1, max: 60}), fc.nat(100_000), (length, every, round) => {
		const expected = Array.from({length}, (_, position) => position).filter(position => (position + round) % every === 0);
		assert.deepEqual(listDuePositions(length, every, round), expected);
	}));
});

test('property: a silent node gets heartbeats in some of its turns, at least four rounds apart and within a bounded number of rounds', () => {
	fc.assert(fc.property(fc.nat(300), fc.integer({min: 1, max: 60}), fc.nat(100_000), (position, every, from) => {
		const rounds = Array.from({length: 8 * every * silentNodeRounds}, (_, offset) => from + offset);
		const served = rounds.filter(round => listDuePositions(position + 1, every, round).includes(position) && isSilentNodeDue(position, every, round));
		const gaps = served.slice(1).map((round, index) => round - served[index]!);
		assert.ok(gaps.length > 0);
		assert.ok(gaps.every(gap => gap >= silentNodeRounds && gap < Math.max(every + 1, silentNodeRounds + every)), gaps.join(' '));
	}));
});
