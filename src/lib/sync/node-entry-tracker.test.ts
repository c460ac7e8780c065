import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {type Address} from '../common/ids.js';
import {type StoreItem} from '../store/mesh-store.js';
import {type Refusal} from '../timeline/refusal-log.js';
import {createNodeEntryTracker, type NodeEntryTracker} from './node-entry-tracker.js';

function createTracker(known: ReadonlySet<string> = new Set()): NodeEntryTracker & {readonly refused: Refusal[]} {
	const refused: Refusal[] = [];
	const tracker = createNodeEntryTracker({
		isKnown: (address: Address) => known.has(address),
		refusals: {
			record(refusal) {
				refused.push(refusal);
			},
			dispose: () => undefined,
		},
	});
	return {...tracker, refused};
}

const createItem = (key: string, value: string, revision = 1): StoreItem => ({key, value, revision});

test('an entry without a valid address is reported once, and the other entries are used', () => {
	const tracker = createTracker();
	const items = ['nowhere', '', '127.0.0.1:0', '\uFFFD', '{"a":1}'].map((value, index) => createItem(`k${index}`, value));
	for (let check = 0; check < 50; check++) {
		assert.deepEqual(tracker.update([...items, createItem('n2', '10.0.0.2:1')], 1, check * 1000), ['10.0.0.2:1']);
	}

	assert.deepEqual(tracker.refused.map(({cause, place}) => `${place} ${cause}`), items.map(({key}) => `${key} unreadable`));
	assert.match(tracker.refused[0]!.reason, /^value: found "nowhere", must be the address of a node/);
	tracker.update([createItem('k0', 'nowhere', 2)], 1, 60_000);
	assert.equal(tracker.refused.length, items.length + 1);
});

test('an address without an answer is contacted for a limited time, and again after its entry is rewritten', () => {
	const tracker = createTracker();
	const count = (revision: number, from: number): number => {
		let contactCount = 0;
		for (let now = from; now < from + 3_600_000; now += 2000) {
			contactCount += tracker.update([createItem('k', '10.0.0.9:1', revision)], 1, now).length;
		}

		return contactCount;
	};

	assert.equal(count(1, 0), 151);
	assert.equal(count(2, 3_600_000), 151);
	assert.deepEqual(tracker.refused.map(({cause}) => cause), ['no-answer', 'no-answer']);
});

test('an address at which a node has answered is contacted for as long as its entry exists', () => {
	const known = new Set(['10.0.0.2:1']);
	const tracker = createTracker(known);
	const item = createItem('k', '10.0.0.2:1');
	tracker.update([item], 1, 0);
	known.clear();
	assert.deepEqual(tracker.update([item], 1, 10_000_000), ['10.0.0.2:1']);
	assert.deepEqual(tracker.refused, []);
});

test('property: whatever other entries the store holds, the entries of nodes are contacted', () => {
	const other = fc.record({key: fc.string(), value: fc.oneof(fc.string(), fc.constantFrom('127.0.0.1:0', '1.2.3.4:5:6', '[::]:')), revision: fc.nat()});
	fc.assert(fc.property(fc.array(other), items => {
		assert.ok(createTracker().update([...items, createItem('stonemoor/nodes/n2', '10.0.0.2:1')], 1, 0).includes('10.0.0.2:1' as Address));
	}), {seed: 20_260, numRuns: 300});
});
