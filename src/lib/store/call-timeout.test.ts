import assert from 'node:assert/strict';
import test from 'node:test';
import {createCallTimeout} from './call-timeout.js';

test('the timeout doubles after a call that timed out, once for concurrent calls, and an answer resets it', () => {
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

// Guards against a slow store whose calls all time out just before their answers arrive.
test('with a store latency of up to one second, at most the first call times out', () => {
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
