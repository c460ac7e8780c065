import assert from 'node:assert/strict';
import test from 'node:test';
import {formatDuration, parseDuration} from './duration.js';

test('durations are parsed in milliseconds and seconds, and formatted in milliseconds', () => {
	assert.deepEqual(['1500ms', '2.5s', '0ms', '-3ms'].map(text => parseDuration(text)), [1500, 2500, 0, -3]);
	assert.equal(formatDuration(2500.4), '2500ms');
});

test('other values, and durations beyond the safe integers, are rejected', () => {
	for (const value of ['', '5', 'ms', '1e3ms', ' 1ms', '1m', '.5s', `${'9'.repeat(400)}s`, `${'9'.repeat(16)}s`, 5, null, undefined, []]) {
		assert.equal(parseDuration(value), undefined, JSON.stringify(value));
	}
});
