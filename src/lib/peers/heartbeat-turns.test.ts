import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {hasQuietTurn, listTurns, quietRounds} from './heartbeat-turns.js';

test('property: the turns of a round are those that a walk over all nodes finds', () => {
	fc.assert(fc.property(fc.nat(300), fc.integer({min: 1, max: 60}), fc.nat(100_000), (length, every, round) => {
		const walked = Array.from({length}, (_, place) => place).filter(place => (place + round) % every === 0);
		assert.deepEqual(listTurns(length, every, round), walked);
	}));
});

test('property: a silent node gets a heartbeat in some turns of its own, as seldom as in every fourth round and no more seldom than every seventh of a fast pace', () => {
	fc.assert(fc.property(fc.nat(300), fc.integer({min: 1, max: 60}), fc.nat(100_000), (place, every, from) => {
		const rounds = Array.from({length: 8 * every * quietRounds}, (_, offset) => from + offset);
		const served = rounds.filter(round => listTurns(place + 1, every, round).includes(place) && hasQuietTurn(place, every, round));
		const gaps = served.slice(1).map((round, index) => round - served[index]!);
		assert.ok(gaps.length > 0);
		assert.ok(gaps.every(gap => gap >= quietRounds && gap < Math.max(every + 1, quietRounds + every)), gaps.join(' '));
	}));
});
