import assert from 'node:assert/strict';
import test from 'node:test';
import {createCallPatience} from './call-patience.js';

test('a call may take longer after each that was given up, calls that were under way together count once, and an answer ends that', () => {
	const patience = createCallPatience();
	const firstMs = patience.getMs();
	patience.noteSilence(firstMs);
	patience.noteSilence(firstMs);
	const secondMs = patience.getMs();
	assert.equal(secondMs, 2 * firstMs);
	patience.noteSilence(secondMs);
	assert.ok(patience.getMs() > secondMs);
	patience.noteAnswer(4);
	assert.equal(patience.getMs(), firstMs);
});

// Guards against a store that is slow and never heard, since each call is given up just before its answer.
test('a store of any latency up to a second is answered by the second call at the latest, and from then on by each', () => {
	for (let latencyMs = 1; latencyMs <= 1000; latencyMs += 9) {
		const patience = createCallPatience();
		const outcomes = Array.from({length: 5}, () => {
			const limitMs = patience.getMs();
			const isAnswered = latencyMs < limitMs;
			if (isAnswered) {
				patience.noteAnswer(latencyMs);
			} else {
				patience.noteSilence(limitMs);
			}

			return isAnswered;
		});
		assert.deepEqual(outcomes.slice(1), [true, true, true, true], `${latencyMs} ms`);
	}
});
