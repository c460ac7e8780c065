import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'node:test';
import {createCallScope} from './call-scope.js';

test('a scope with a deadline beyond the longest timer delay does not end immediately', async context => {
	for (const endsAt of [2 ** 31, 2 ** 40, Number.MAX_SAFE_INTEGER, 1e300]) {
		const scope = createCallScope(performance.now() + endsAt);
		context.after(scope.dispose);
		await sleep(10);
		assert.equal(scope.getEndReason(), undefined, String(endsAt));
	}
});
