import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {computeRoundDelay} from './heartbeat-rounds.js';

const periodMs = 400;

test('property: at any wall-clock time, the delay is between a quarter of a period and one and a quarter periods', () => {
	fc.assert(fc.property(fc.nat(2 ** 41), wallMs => {
		const delayMs = computeRoundDelay(wallMs, periodMs);
		assert.ok(delayMs >= periodMs / 4 && delayMs <= periodMs * 1.25, String(delayMs));
	}));
});

test('property: nodes with any start times and late timers are aligned after two rounds', () => {
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
