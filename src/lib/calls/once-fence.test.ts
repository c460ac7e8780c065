import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createMemoryStore} from '../../../stand-ins/store/memory-store.js';
import {toCallId} from '../common/ids.js';
import {takeFence} from './once-fence.js';

test('of all requests with one key, whatever answers of the store are lost, at most one may be sent', async () => {
	const faultArbitrary = fc.array(fc.constantFrom('none', 'lose', 'drop'), {minLength: 1, maxLength: 6});
	await fc.assert(fc.asyncProperty(faultArbitrary, async faults => {
		const store = createMemoryStore({latencyMs: 0});
		const results = await Promise.all(faults.map(async (fault, index) => {
			store.setFaults({writesToLose: fault === 'lose' ? 1 : 0, writesToDrop: fault === 'drop' ? 1 : 0});
			return takeFence(store, 'route', 'key', toCallId(`call-${index}`));
		}));
		assert.ok(results.filter(result => result.type === 'held').length <= 1);
	}), {numRuns: 60});
});

test('a repeat hears whether the first one ran, may have run, or left the key free', async () => {
	const store = createMemoryStore({latencyMs: 0});
	const first = await takeFence(store, 'route', 'key', toCallId('a'));
	assert.ok(first.type === 'held');
	assert.deepEqual(await takeFence(store, 'route', 'key', toCallId('b')), {type: 'taken', verdict: 'may-have-run', status: undefined});
	await first.fence.release();
	const second = await takeFence(store, 'route', 'key', toCallId('c'));
	assert.ok(second.type === 'held');
	await second.fence.finish(201);
	assert.deepEqual(await takeFence(store, 'route', 'key', toCallId('d')), {type: 'taken', verdict: 'ran', status: 201});
	const elsewhere = await takeFence(store, 'other-route', 'key', toCallId('e'));
	assert.equal(elsewhere.type, 'held');
});

test('a lease that the platform ends early lets a repeat through: the limit of the promise', async () => {
	const store = createMemoryStore({latencyMs: 0});
	const first = await takeFence(store, 'route', 'key', toCallId('a'));
	store.expireLeases();
	const second = await takeFence(store, 'route', 'key', toCallId('b'));
	assert.deepEqual([first.type, second.type], ['held', 'held']);
});

test('without the store no key is taken', async () => {
	const store = createMemoryStore({latencyMs: 0, isDown: true});
	const result = await takeFence(store, 'route', 'key', toCallId('a'));
	assert.equal(result.type, 'unavailable');
});
