import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {err, ok, type Result} from 'neverthrow';
import {type RolloutRecord} from '../rollout/rollout-record.js';
import {createSampleRecord, sampleOrder} from '../rollout/sample-rollout.js';
import {type StoreCommit, type StoreItem, type StoreItems} from '../store/mesh-store.js';
import {type StorePosition} from '../store/store-position.js';
import {type StoreError, type StoreReadError} from '../store/store.js';
import {silentLog} from '../timeline/mesh-log.js';
import {silentRefusalLog} from '../timeline/refusal-log.js';
import {createRolloutEntries, type RolloutEntries} from './rollout-entries.js';

/** What becomes of a call on the store. */
type Fate = 'done' | 'answer-lost' | 'refused' | 'done-later';

const fates: readonly Fate[] = ['done', 'answer-lost', 'refused', 'done-later'];

const orderKey = 'op/hall';
const statusKey = 'status/hall';

/** A store of a few keys whose calls fail as a plan says. */
class PlannedStore {
	readonly statuses: string[] = [];
	private readonly items = new Map<string, StoreItem>([[orderKey, {key: orderKey, value: '', revision: sampleOrder.position.revision}]]);
	private revision = 100;
	private readonly lateCommits: StoreCommit[] = [];

	constructor(private readonly fates: Fate[]) {}

	replaceOrder(): void {
		this.revision++;
		this.items.set(orderKey, {key: orderKey, value: '', revision: this.revision});
	}

	/** Carries out the delayed writes, if their conditions still hold. */
	runLateCommits(): void {
		for (const commit of this.lateCommits.splice(0)) {
			this.apply(commit);
		}
	}

	async commit(commit: StoreCommit): Promise<Result<StorePosition, StoreError>> {
		await Promise.resolve();
		const fate = this.fates.shift() ?? 'done';
		if (fate === 'refused') {
			return err({type: 'unavailable', reason: 'busy'});
		}

		if (fate === 'done-later') {
			this.lateCommits.push(commit);
			return err({type: 'unknown', reason: 'no answer'});
		}

		const isDone = this.apply(commit);
		if (fate === 'answer-lost') {
			return err({type: 'unknown', reason: 'no answer'});
		}

		return isDone ? ok({era: 0, revision: this.revision}) : err({type: 'conflict', revision: 0});
	}

	async readItem(key: string): Promise<Result<StoreItems, StoreReadError>> {
		await Promise.resolve();
		const item = this.items.get(key);
		return ok({items: item === undefined ? [] : [item], position: {era: 0, revision: this.revision}});
	}

	private apply({expected, writes}: StoreCommit): boolean {
		if (expected.some(({key, revision}) => (this.items.get(key)?.revision ?? 0) !== revision)) {
			return false;
		}

		this.revision++;
		for (const {key, value} of writes) {
			this.items.set(key, {key, value, revision: this.revision});
			if (key === statusKey) {
				this.statuses.push(value);
			}
		}

		return true;
	}
}

function createEntries(store: PlannedStore, heard: RolloutRecord[] = []): RolloutEntries {
	return createRolloutEntries({
		store: {commit: async commit => store.commit(commit), readItem: async key => store.readItem(key)},
		format: {orderPrefix: 'op/', getStatusKey: service => `status/${service}`, encodeStatus: ({stage}) => stage === 'completed' || stage === 'rolled-back' ? stage : 'running'},
		log: silentLog, refusals: silentRefusalLog, random: () => 0, countPeers: () => 1, listRecords: () => [],
		handleRecords(records) {
			heard.push(...records);
		},
	});
}

const stages = ['canary', 'promoting', 'rolled-back', 'completed'] as const;

test('property: with lost, late and refused writes of several nodes, the status never shows one end and then the other', async () => {
	await fc.assert(fc.asyncProperty(
		fc.array(fc.constantFrom(...fates), {maxLength: 12}),
		fc.array(fc.record({node: fc.integer({min: 0, max: 2}), stage: fc.constantFrom(...stages), runsLateFirst: fc.boolean()}), {minLength: 1, maxLength: 8}),
		async (plan, writes) => {
			const store = new PlannedStore([...plan]);
			const nodes = [0, 1, 2].map(() => createEntries(store));
			await Promise.all(writes.map(async ({node, stage, runsLateFirst}) => {
				if (runsLateFirst) {
					store.runLateCommits();
				}

				await nodes[node]!.write(createSampleRecord({stage}));
			}));
			store.runLateCommits();
			const ends = store.statuses.filter(status => status !== 'running');
			const firstEnd = store.statuses.findIndex(status => status !== 'running');
			assert.ok(firstEnd === -1 || !store.statuses.slice(firstEnd).includes('running'), store.statuses.join(', '));
			assert.ok(new Set(ends).size <= 1, store.statuses.join(', '));
		},
	), {numRuns: 500});
});

test('of two nodes that decide differently, the second learns what the first has stored', async () => {
	const store = new PlannedStore([]);
	const heard: RolloutRecord[] = [];
	const [first, second] = [createEntries(store), createEntries(store, heard)];
	assert.equal(await first.write(createSampleRecord({stage: 'completed'})), 'stored');
	assert.equal(await second.write(createSampleRecord({stage: 'rolled-back'})), 'superseded');
	assert.deepEqual(heard.map(({stage}) => stage), ['completed']);
	assert.deepEqual(store.statuses, ['completed']);
});

test('a write that took effect although its answer was lost counts as stored when it is repeated', async () => {
	const store = new PlannedStore(['answer-lost']);
	const entries = createEntries(store);
	assert.equal(await entries.write(createSampleRecord({stage: 'rolled-back'})), 'unavailable');
	assert.equal(await entries.write(createSampleRecord({stage: 'rolled-back'})), 'stored');
	assert.deepEqual(store.statuses, ['rolled-back']);
});

test('nothing is written for an order that was replaced', async () => {
	const store = new PlannedStore([]);
	store.replaceOrder();
	assert.equal(await createEntries(store).write(createSampleRecord({stage: 'completed'})), 'superseded');
	assert.deepEqual(store.statuses, []);
});
