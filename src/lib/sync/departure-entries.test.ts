import assert from 'node:assert/strict';
import test from 'node:test';
import {err, ok} from 'neverthrow';
import {toBackendServerId, toNodeId} from '../common/ids.js';
import {type Departure} from '../departures/departure.js';
import {type StoreItem} from '../store/mesh-store.js';
import {silentLog} from '../timeline/mesh-log.js';
import {type Refusal} from '../timeline/refusal-log.js';
import {createDepartureEntries, departurePrefix, type DepartureEntries} from './departure-entries.js';

const departure: Departure = {node: toNodeId('n1'), lifetime: {id: toBackendServerId('i-1'), startedAt: 1000}};

type Fixture = {
	readonly entries: DepartureEntries;
	readonly items: Map<string, string>;
	readonly listed: Departure[][];
	readonly refused: Refusal[];
	isUnavailable: boolean;
	calls: number;
};

function createFixture(): Fixture {
	const items = new Map<string, string>();
	const listed: Departure[][] = [];
	const refused: Refusal[] = [];
	const fixture: Fixture = {
		items,
		listed,
		refused,
		isUnavailable: false,
		calls: 0,
		entries: createDepartureEntries({
			store: {
				async grantLease() {
					fixture.calls++;
					return fixture.isUnavailable ? err({type: 'unavailable', reason: 'store is down'}) : ok({era: 1, id: 7});
				},
				async putItem(key, value) {
					fixture.calls++;
					items.set(key, value);
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
			handleListed(departures) {
				listed.push([...departures]);
			},
		}),
	};
	return fixture;
}

const listItems = ({items}: Fixture): readonly StoreItem[] => [...items].map(([key, value]) => ({key, value, revision: 1}));

const waitForWrites = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

// Guards against a node that finds nothing in the store of what its earlier run acknowledged.
test('a departure that is written is listed at another run of the node; it takes two calls to the store', async () => {
	const first = createFixture();
	await first.entries.publish(departure);
	assert.equal(first.calls, 2);
	assert.equal(first.entries.hasUnwritten(), false);
	const second = createFixture();
	second.entries.reconcile(listItems(first));
	assert.deepEqual(second.listed, [[departure]]);
});

// Guards against a departure that is never written because the store was down when the server left.
test('a departure that could not be written is written after the next list, and again after the store was restored', async () => {
	const fixture = createFixture();
	fixture.isUnavailable = true;
	await fixture.entries.publish(departure);
	assert.equal(fixture.entries.hasUnwritten(), true);
	fixture.isUnavailable = false;
	fixture.entries.reconcile([]);
	await waitForWrites();
	assert.equal(fixture.entries.hasUnwritten(), false);
	assert.equal(fixture.items.size, 1);
	fixture.items.clear();
	fixture.entries.handleRestored();
	fixture.entries.reconcile([]);
	await waitForWrites();
	assert.equal(fixture.items.size, 1);
});

// Guards against an entry of another writer that hides the others.
test('a malformed entry is refused, and the others are read', async () => {
	const fixture = createFixture();
	await fixture.entries.publish(departure);
	fixture.entries.reconcile([{key: `${departurePrefix}x`, value: '["n1","i-1",-4]', revision: 1}, ...listItems(fixture)]);
	assert.deepEqual(fixture.listed, [[departure]]);
	assert.equal(fixture.refused[0]?.place, `${departurePrefix}x`);
});

// Guards against a departure that the store rejects because the id of its server is as long as the longest key.
test('the key of a server with a long id fits the longest key of the store', async () => {
	const fixture = createFixture();
	await fixture.entries.publish({...departure, lifetime: {id: toBackendServerId('x'.repeat(200)), startedAt: 1000}});
	assert.ok([...fixture.items.keys()].every(key => key.length <= 200));
});
