import assert from 'node:assert/strict';
import test from 'node:test';
import {startStoreServer} from '../../../stand-ins/store/store-server.js';
import {toAddress} from '../common/ids.js';
import {createHttpStore} from './http-store.js';

const timeoutMs = 300;

test('writes are compare-and-swap, and each error type tells whether the write may have taken effect', async t => {
	const server = await startStoreServer('127.0.0.1', 0);
	const store = createHttpStore({address: toAddress(server.address), timeoutMs});
	t.after(async () => {
		await store.dispose();
		await server.dispose();
	});

	assert.equal((await store.read('k'))._unsafeUnwrap(), undefined);
	assert.equal((await store.write({key: 'k', value: 'a', expectedRevision: 0}))._unsafeUnwrap(), 1);
	assert.deepEqual((await store.write({key: 'k', value: 'b', expectedRevision: 0}))._unsafeUnwrapErr(), {type: 'conflict', revision: 1});
	const tooLarge = await store.write({key: 'k', value: 'x'.repeat(1_000_001), expectedRevision: 1});
	assert.equal(tooLarge._unsafeUnwrapErr().type, 'not-applied');

	server.store.setFaults({writesToLose: 1});
	assert.equal((await store.write({key: 'k', value: 'c', expectedRevision: 1}))._unsafeUnwrapErr().type, 'unknown');
	assert.deepEqual((await store.read('k'))._unsafeUnwrap(), {value: 'c', revision: 2});

	server.store.setFaults({writesToDrop: 1});
	assert.equal((await store.write({key: 'k', value: 'd', expectedRevision: 2}))._unsafeUnwrapErr().type, 'unknown');
	assert.deepEqual((await store.read('k'))._unsafeUnwrap(), {value: 'c', revision: 2});

	server.store.setFaults({isDown: true});
	assert.equal((await store.read('k'))._unsafeUnwrapErr().type, 'unavailable');
	server.store.setFaults({isDown: false});

	const watching = store.watch({key: 'k', knownRevision: 2, timeoutMs: 2000});
	await store.write({key: 'k', value: 'e', expectedRevision: 2});
	assert.deepEqual((await watching)._unsafeUnwrap(), {value: 'e', revision: 3});
	assert.equal((await store.watch({key: 'k', knownRevision: 3, timeoutMs: 20}))._unsafeUnwrap(), undefined);
	assert.equal((await store.write({key: 'k', value: undefined, expectedRevision: 3})).isOk(), true);
});

test('reads and writes fail with unavailable if nothing listens at the address of the store', async t => {
	const store = createHttpStore({address: toAddress('127.0.0.1:9'), timeoutMs});
	t.after(store.dispose);
	assert.equal((await store.write({key: 'k', value: 'a', expectedRevision: 0}))._unsafeUnwrapErr().type, 'unavailable');
	assert.equal((await store.read('k'))._unsafeUnwrapErr().type, 'unavailable');
});
