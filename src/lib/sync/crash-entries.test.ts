import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {err, ok} from 'neverthrow';
import {toBackendServerId} from '../common/ids.js';
import {type CrashReport} from '../quarantine/crash-report.js';
import {computeFingerprint} from '../quarantine/fingerprint.js';
import {computeCrashKey, type SuspectRecord} from '../quarantine/suspect-record.js';
import {type StoreItem} from '../store/mesh-store.js';
import {silentLog} from '../timeline/mesh-log.js';
import {type Refusal} from '../timeline/refusal-log.js';
import {crashPrefix, createCrashEntries, type CrashEntries} from './crash-entries.js';

const getFingerprint = (target: string) => computeFingerprint({
	method: 'GET', host: 'mesh.example', target, body: undefined,
});

const createReport = (startedAt: number): CrashReport => ({
	crash: computeCrashKey({id: toBackendServerId('i-1'), startedAt}), fingerprints: [getFingerprint('/fatal'), getFingerprint('/beside')],
});

/** Fake store that several nodes share. */
type SharedStore = {readonly items: Map<string, string>; isUnavailable: boolean; writeCount: number};

const createStore = (): SharedStore => ({items: new Map(), isUnavailable: false, writeCount: 0});

const listStore = ({items}: SharedStore): readonly StoreItem[] => [...items].map(([key, value]) => ({key, value, revision: 1}));

type Fixture = {
	readonly entries: CrashEntries;
	readonly handled: readonly SuspectRecord[];
	readonly refused: readonly Refusal[];
};

function createFixture(store: SharedStore): Fixture {
	const handled: SuspectRecord[] = [];
	const refused: Refusal[] = [];
	const position = {era: 1, revision: 1};
	const entries = createCrashEntries({
		store: {
			async grantLease() {
				return store.isUnavailable ? err({type: 'unknown', reason: 'store is down'}) : ok({era: 1, id: 7});
			},
			async putItem(key, value) {
				store.writeCount++;
				store.items.set(key, value);
				return ok(position);
			},
			async listItems() {
				return store.isUnavailable ? err({type: 'unavailable', reason: 'store is down'}) : ok({items: listStore(store), position});
			},
		},
		log: silentLog,
		refusals: {
			record(refusal) {
				refused.push(refusal);
			},
			dispose: () => undefined,
		},
		handleRecords(records) {
			handled.push(...records);
		},
	});
	return {entries, handled, refused};
}

const waitForWrites = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

/** Lists the crashes at which a request was in flight, as received by one node. */
const listCrashes = ({handled}: Fixture, target: string): readonly string[] =>
	[...new Set(handled.filter(({fingerprint}) => fingerprint === getFingerprint(target)).flatMap(({crashes}) => crashes))].toSorted();

test('a node reads the crashes of other nodes immediately when it publishes one, and otherwise with the next list', async () => {
	const store = createStore();
	const [first, second] = [createFixture(store), createFixture(store)];
	const reports = [createReport(1), createReport(2)] as const;
	await first.entries.publish(reports[0]);
	await second.entries.publish(reports[1]);
	const both = reports.map(({crash}) => crash).toSorted();
	assert.deepEqual(listCrashes(second, '/fatal'), both);
	first.entries.reconcile(listStore(store));
	assert.deepEqual(listCrashes(first, '/fatal'), both);
	assert.deepEqual(listCrashes(first, '/beside'), both);
});

test('an entry that could not be written, or was lost in a restore from a backup, is written at the next reconcile, but not once it has expired', async ({mock}: TestContext) => {
	let now = 0;
	mock.method(performance, 'now', () => now);
	const store = createStore();
	const {entries} = createFixture(store);
	store.isUnavailable = true;
	await entries.publish(createReport(1));
	assert.equal(store.items.size, 0);
	store.isUnavailable = false;
	entries.reconcile([]);
	await waitForWrites();
	assert.equal(store.items.size, 1);
	entries.reconcile([]);
	await waitForWrites();
	assert.equal(store.writeCount, 1, 'an entry that was missing from a stale list was written again');

	store.items.clear();
	entries.handleRestored();
	entries.reconcile([]);
	await waitForWrites();
	assert.equal(store.items.size, 1);

	store.items.clear();
	entries.handleRestored();
	now = 60_001;
	entries.reconcile([]);
	await waitForWrites();
	assert.equal(store.items.size, 0);
});

test('an invalid entry is refused with its key, and the valid ones are handled', () => {
	const fixture = createFixture(createStore());
	const {crash, fingerprints} = createReport(1);
	const good = JSON.stringify(fingerprints);
	const many = JSON.stringify(Array.from({length: 65}, () => fingerprints[0]));
	const items = ['', '{}', '7', '["short"]', '[null]', many].map(value => ({key: `${crashPrefix}${crash}`, value, revision: 1}));
	fixture.entries.reconcile([...items, {key: `${crashPrefix}no name of a crash`, value: good, revision: 1}, {key: `${crashPrefix}${crash}`, value: good, revision: 1}]);
	assert.deepEqual(listCrashes(fixture, '/fatal'), [crash]);
	assert.equal(fixture.refused.length, 7);
	assert.ok(fixture.refused.every(({reason}) => reason.includes('remove the entry')));
});
