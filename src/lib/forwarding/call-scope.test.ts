import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'node:test';
import {blockEventLoop, openSocketPair} from '../../../stand-ins/event-loop.js';
import {createCallScope, createChildScope, stopScopesAt} from './call-scope.js';

test('a scope with a deadline beyond the longest timer delay does not end immediately', async context => {
	for (const endsAt of [2 ** 31, 2 ** 40, Number.MAX_SAFE_INTEGER, 1e300]) {
		const scope = createCallScope(performance.now() + endsAt);
		context.after(scope.dispose);
		await sleep(10);
		assert.equal(scope.getEndReason(), undefined, String(endsAt));
	}
});

test('a scope ends at the time by which its node must have answered, if that is before its deadline', async context => {
	const scope = createCallScope(performance.now() + 10_000);
	const child = createChildScope(scope);
	const early = createCallScope(performance.now() + 20);
	context.after(() => {
		scope.dispose();
		early.dispose();
	});
	const stopAt = performance.now() + 60;
	stopScopesAt(new Set([scope, early]), stopAt);
	assert.equal(scope.deadlineAt, stopAt);
	await sleep(45);
	assert.deepEqual([scope.getEndReason(), early.getEndReason()], [undefined, 'timeout']);
	const later = createCallScope(performance.now() + 10_000, stopAt);
	context.after(later.dispose);
	await sleep(45);
	assert.deepEqual([scope.getEndReason(), child.getEndReason(), early.getEndReason(), later.getEndReason()], ['stopping', 'stopping', 'timeout', 'stopping']);
});

// Guards against a response that is dropped although it arrived before the deadline, since the timer of the deadline runs first after a pause of the process.
test('a scope does not end before a response is read that arrived during a pause', async context => {
	const {near, far} = await openSocketPair(context);
	const scope = createCallScope(performance.now() + 30);
	const ended: string[] = [];
	scope.subscribe(reason => {
		ended.push(reason);
	});
	near.once('data', () => {
		scope.dispose();
	});
	far.write('response');
	blockEventLoop(100);
	await sleep(20);
	assert.deepEqual(ended, []);

	const late = createCallScope(performance.now() + 30);
	blockEventLoop(100);
	await sleep(20);
	assert.equal(late.getEndReason(), 'timeout');
});
