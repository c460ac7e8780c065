import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {computeRoundDelay} from './heartbeat-rounds.js';

const periodMs = 400;

test('property: whatever the time of day says, the next round is neither at once nor much later than a period', () => {
	fc.assert(fc.property(fc.nat(2 ** 41), wallMs => {
		const delayMs = computeRoundDelay(wallMs, periodMs);
		assert.ok(delayMs >= periodMs / 4 && delayMs <= periodMs * 1.25, String(delayMs));
	}));
});

test('property: nodes that started at any times, with timers that fire late, send in the same moments after two rounds', () => {
	fc.assert(fc.property(fc.array(fc.record({startedAt: fc.nat(100_000), lateMs: fc.nat(30)}), {minLength: 2, maxLength: 10}), nodes => {
		const phases = nodes.map(({startedAt, lateMs}) => {
			let now = startedAt;
			for (let round = 0; round < 2; round++) {
				now += computeRoundDelay(now, periodMs) + lateMs;
			}

			return (now % periodMs) - lateMs;
		});
		assert.deepEqual(phases, phases.map(() => 0));
	}));
});
