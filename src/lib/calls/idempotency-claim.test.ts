import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createMemoryStore} from '../../../stand-ins/store/memory-store.js';
import {toCallId} from '../common/ids.js';
import {claimIdempotencyKey} from './idempotency-claim.js';

test('at most one of several requests with the same key may be sent, whichever writes or responses of the store are lost', async () => {
	const faultArbitrary = fc.array(fc.constantFrom('none', 'lose', 'drop'), {minLength: 1, maxLength: 6});
	await fc.assert(fc.asyncProperty(faultArbitrary, async faults => {
		const store = createMemoryStore({latencyMs: 0});
		const results = await Promise.all(faults.map(async (fault, index) => {
			store.setFaults({writesToLose: fault === 'lose' ? 1 : 0, writesToDrop: fault === 'drop' ? 1 : 0});
			return claimIdempotencyKey(store, 'route', 'key', toCallId(`call-${index}`));
		}));
		assert.ok(results.filter(result => result.type === 'held').length <= 1);
	}), {numRuns: 60});
});

test('a retry learns whether the first request was executed or may have been executed, and can claim a released key', async () => {
	const store = createMemoryStore({latencyMs: 0});
	const first = await claimIdempotencyKey(store, 'route', 'key', toCallId('a'));
	assert.ok(first.type === 'held');
	assert.deepEqual(await claimIdempotencyKey(store, 'route', 'key', toCallId('b')), {type: 'taken', verdict: 'may-have-run', status: undefined});
	await first.claim.release();
	const second = await claimIdempotencyKey(store, 'route', 'key', toCallId('c'));
	assert.ok(second.type === 'held');
	await second.claim.finish(201);
	assert.deepEqual(await claimIdempotencyKey(store, 'route', 'key', toCallId('d')), {type: 'taken', verdict: 'ran', status: 201});
	const elsewhere = await claimIdempotencyKey(store, 'other-route', 'key', toCallId('e'));
	assert.equal(elsewhere.type, 'held');
});

test('known limit: after the platform ends a lease early, a retry can claim the key as well', async () => {
	const store = createMemoryStore({latencyMs: 0});
	const first = await claimIdempotencyKey(store, 'route', 'key', toCallId('a'));
	store.expireLeases();
	const second = await claimIdempotencyKey(store, 'route', 'key', toCallId('b'));
	assert.deepEqual([first.type, second.type], ['held', 'held']);
});

test('no key can be claimed while the store is down', async () => {
	const store = createMemoryStore({latencyMs: 0, isDown: true});
	const result = await claimIdempotencyKey(store, 'route', 'key', toCallId('a'));
	assert.equal(result.type, 'unavailable');
});
