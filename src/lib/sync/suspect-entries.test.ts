import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {ok} from 'neverthrow';
import {computeFingerprint} from '../quarantine/fingerprint.js';
import {computeCrashKey, encodeSuspect, type SuspectRecord} from '../quarantine/suspect-record.js';
import {toBackendServerId} from '../common/ids.js';
import {type StoreItem} from '../store/mesh-store.js';
import {silentLog} from '../timeline/mesh-log.js';
import {type Refusal} from '../timeline/refusal-log.js';
import {createSuspectEntries, suspectPrefix, type SuspectEntries} from './suspect-entries.js';

const record: SuspectRecord = {
	fingerprint: computeFingerprint({
		method: 'GET', host: 'mesh.example', target: '/fatal', body: undefined,
	}),
	quietMs: 1500,
	crashes: [1, 2, 3].map(startedAt => computeCrashKey({id: toBackendServerId('i-1'), startedAt})),
	cleared: [],
	repeated: [],
};

type Fixture = {
	readonly entries: SuspectEntries;
	readonly store: Map<string, string>;
	readonly handled: readonly SuspectRecord[];
	readonly refused: readonly Refusal[];
	readonly countCalls: () => number;
	readonly setNow: (now: number) => void;
	readonly list: () => readonly StoreItem[];
};

function createFixture({mock}: TestContext, quarantined: readonly SuspectRecord[] = [record]): Fixture {
	let now = 0;
	let calls = 0;
	mock.method(performance, 'now', () => now);
	const store = new Map<string, string>();
	const handled: SuspectRecord[] = [];
	const refused: Refusal[] = [];
	const entries = createSuspectEntries({
		store: {
			async grantLease() {
				calls++;
				return ok({era: 1, id: 7});
			},
			async putItem(key, value) {
				calls++;
				store.set(key, value);
				return ok({era: 1, revision: 1});
			},
		},
		log: silentLog,
		refusals: {
			record(refusal) {
				refused.push(refusal);
			},
			dispose: () => undefined,
		},
		random: () => 0.1,
		countPeers: () => 12,
		listQuarantined: () => quarantined,
		handleRecords(records) {
			handled.push(...records);
		},
	});
	return {
		entries, store, handled, refused,
		countCalls: () => calls,
		setNow(next) {
			now = next;
		},
		list: () => [...store].map(([key, value]) => ({key, value, revision: 1})),
	};
}

const waitForWrites = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

test('an entry written by one node is read unchanged by another', async context => {
	const {entries, list} = createFixture(context);
	entries.write([record]);
	await waitForWrites();
	const other = createFixture(context);
	other.entries.reconcile(list());
	assert.deepEqual(other.handled, [record]);
	assert.equal(other.countCalls(), 0, 'an entry that the store holds was written again');
});

test('an entry that the store lost is written again, but only once a stale list cannot be the reason', async context => {
	const {entries, store, countCalls, setNow} = createFixture(context);
	entries.write([record]);
	await waitForWrites();
	store.clear();
	setNow(5000);
	entries.reconcile([]);
	await waitForWrites();
	assert.equal(store.size, 0);
	setNow(11_000);
	entries.reconcile([]);
	await waitForWrites();
	assert.deepEqual([...store.keys()], [`${suspectPrefix}${record.fingerprint}`]);
	assert.equal(countCalls(), 4);
});

test('an invalid entry is refused with its key, and the valid ones are handled', context => {
	const {entries, handled, refused} = createFixture(context, []);
	const values = ['', '{}', '[1]', JSON.stringify(['short', 0, [], []]), JSON.stringify([record.fingerprint, -1, [], []]), JSON.stringify([record.fingerprint, 0, ['x'], []]), JSON.stringify(encodeSuspect(record))];
	entries.reconcile(values.map((value, place) => ({key: `${suspectPrefix}${place}`, value, revision: place})));
	assert.deepEqual(handled.map(({fingerprint}) => fingerprint), [record.fingerprint]);
	assert.deepEqual(refused.map(({place}) => place), [0, 1, 2, 3, 4, 5].map(place => `${suspectPrefix}${place}`));
	assert.ok(refused.every(({reason}) => reason.includes('remove the entry')));
});
