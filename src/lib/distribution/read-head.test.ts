import assert from 'node:assert/strict';
import test from 'node:test';
import {createMemoryStore, type MemoryStore} from '../../../stand-ins/store/memory-store.js';
import {createConfiguration, prepareDelta, type Configuration} from '../configuration/configuration.js';
import {samplePool} from '../configuration/sample-items.js';
import {headKey, type HeadRecord} from './head-record.js';
import {readHead} from './read-head.js';
import {republishHead} from './republish.js';
import {writeSnapshot} from './snapshot.js';

function createVersion(version: number, seed = 0): Configuration {
	let current = createConfiguration();
	for (let step = 1; step <= version; step++) {
		current = prepareDelta(current, [{type: 'put', item: {...samplePool, name: `p${step}`, slowStartMs: seed}}], []).next;
	}

	return current;
}

async function createStoreWith(configuration: Configuration): Promise<{readonly store: MemoryStore; readonly key: string}> {
	const store = createMemoryStore({latencyMs: 0});
	const key = (await writeSnapshot(store, configuration))._unsafeUnwrap();
	const record: HeadRecord = {
		format: 1, version: configuration.version, digest: configuration.digest, deltas: [], pages: [], snapshot: {version: configuration.version, key},
	};
	await store.write({key: headKey, value: JSON.stringify(record), expectedRevision: 0});
	return {store, key};
}

test('a snapshot is read with the digest that was written', async () => {
	const configuration = createVersion(20);
	const {store} = await createStoreWith(configuration);
	const head = await readHead(store, createConfiguration());
	assert.equal(head._unsafeUnwrap().configuration.digest, configuration.digest);
});

test('a snapshot with a missing or damaged chunk is refused', async () => {
	const configuration = createVersion(20);
	for (const damage of ['missing', 'truncated', 'changed'] as const) {
		const {store} = await createStoreWith(configuration);
		store.restoreBackup(store.createBackup().flatMap(([key, stored]): ReturnType<MemoryStore['createBackup']> => {
			if (!/snapshot\/.*\/0-/.test(key)) {
				return [[key, stored]];
			}

			if (damage === 'missing') {
				return [];
			}

			const value = damage === 'truncated' ? stored.value.slice(0, -20) : stored.value.replace('"slowStartMs":0', '"slowStartMs":1');
			return [[key, {...stored, value}]];
		}));
		const head = await readHead(store, createConfiguration());
		assert.equal(head._unsafeUnwrapErr().type, 'damaged', damage);
	}
});

test('a head that is older, has another history or is damaged is refused with its own error type', async () => {
	const {store} = await createStoreWith(createVersion(3));
	assert.deepEqual((await readHead(store, createVersion(5)))._unsafeUnwrapErr(), {type: 'store-behind', storeVersion: 3, version: 5});
	assert.equal((await readHead(store, createVersion(3, 7)))._unsafeUnwrapErr().type, 'fork');
	await store.write({key: headKey, value: '{"format": 1', expectedRevision: 1});
	assert.equal((await readHead(store, createConfiguration()))._unsafeUnwrapErr().type, 'damaged');
});

test('republish replaces an older head, but not a newer one', async () => {
	const {store} = await createStoreWith(createVersion(3));
	const fleet = createVersion(5);
	assert.equal((await republishHead(store, fleet)).isOk(), true);
	assert.equal((await readHead(store, createConfiguration()))._unsafeUnwrap().configuration.digest, fleet.digest);
	assert.match((await republishHead(store, createVersion(4)))._unsafeUnwrapErr(), /not older/);
});
