import assert from 'node:assert/strict';
import test from 'node:test';
import {createCallTimeout} from './call-timeout.js';

test('a call may take longer after each that was given up, calls that were under way together count once, and an answer ends that', () => {
	const callTimeout = createCallTimeout();
	const initialMs = callTimeout.getMs();
	callTimeout.recordTimeout(initialMs);
	callTimeout.recordTimeout(initialMs);
	const afterTimeoutMs = callTimeout.getMs();
	assert.equal(afterTimeoutMs, 2 * initialMs);
	callTimeout.recordTimeout(afterTimeoutMs);
	assert.ok(callTimeout.getMs() > afterTimeoutMs);
	callTimeout.recordAnswer(4);
	assert.equal(callTimeout.getMs(), initialMs);
});

// Guards against a store that is slow and never heard, since each call is given up just before its answer.
test('a store of any latency up to a second is answered by the second call at the latest, and from then on by each', () => {
	for (let latencyMs = 1; latencyMs <= 1000; latencyMs += 9) {
		const callTimeout = createCallTimeout();
		const outcomes = Array.from({length: 5}, () => {
			const limitMs = callTimeout.getMs();
			const isAnswered = latencyMs < limitMs;
			if (isAnswered) {
				callTimeout.recordAnswer(latencyMs);
			} else {
				callTimeout.recordTimeout(limitMs);
			}

			return isAnswered;
		});
		assert.deepEqual(outcomes.slice(1), [true, true, true, true], `${latencyMs} ms`);
	}
});
