import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createMemoryStore, type MemoryStore} from '../../../stand-ins/store/memory-store.js';
import {toSubmissionId} from '../common/ids.js';
import {
	createConfiguration, findSubmission, listItems, type Configuration,
} from '../configuration/configuration.js';
import {type ItemChange} from '../configuration/configured-item.js';
import {samplePolicy, samplePool, sampleRoute} from '../configuration/sample-items.js';
import {type Submission, type SubmissionOutcome} from '../configuration/submission.js';
import {type Store} from '../store/store.js';
import {acceptSubmissions, findSubmissionVersion, type AcceptanceContext} from './accept-submissions.js';
import {headKey} from './head-record.js';
import {readHead} from './read-head.js';

/** Creates the acceptance context of one node. */
function createAcceptor(store: Store, limits?: AcceptanceContext['limits']): AcceptanceContext {
	let configuration = createConfiguration();
	return {
		store,
		limits,
		random: () => 0,
		getConfiguration: () => configuration,
		applyIfNewer(next) {
			configuration = next.version > configuration.version ? next : configuration;
		},
	};
}

function createPoolChange(name: string, slowStartMs: number): ItemChange {
	return {type: 'put', item: {...samplePool, name, slowStartMs}};
}

function createSubmission(id: string, changes: readonly ItemChange[], extra: Partial<Submission> = {}): Submission {
	return {
		id: toSubmissionId(id), seenVersion: 0, bases: {}, changes, ...extra,
	};
}

async function acceptOne(context: AcceptanceContext, submission: Submission): Promise<SubmissionOutcome> {
	const [outcome] = await acceptSubmissions(context, [submission]);
	assert.ok(outcome);
	return outcome;
}

async function readAccepted(store: Store): Promise<Configuration> {
	const head = await readHead(store, createConfiguration());
	return head._unsafeUnwrap().configuration;
}

const quick = {latencyMs: 0};

test('a submission is accepted with one write, and its outcome can be looked up by its id', async () => {
	const store = createMemoryStore(quick);
	const acceptor = createAcceptor(store);
	const submission = createSubmission('s1', [samplePolicy, samplePool, sampleRoute].map(item => ({type: 'put', item})));
	assert.deepEqual(await acceptOne(acceptor, submission), {type: 'accepted', version: 1, isRepeated: false});
	assert.equal(store.getCallCounts().writes, 1);
	assert.deepEqual(await acceptOne(acceptor, submission), {type: 'accepted', version: 1, isRepeated: true});
	assert.equal((await findSubmissionVersion(acceptor, submission.id))._unsafeUnwrap(), 1);
	assert.equal((await findSubmissionVersion(acceptor, toSubmissionId('other')))._unsafeUnwrap(), 0);
});

test('a submission that a node could not apply is refused with the item and field of each problem', async () => {
	const acceptor = createAcceptor(createMemoryStore(quick));
	const dangling = await acceptOne(acceptor, createSubmission('s1', [{type: 'put', item: sampleRoute}]));
	assert.deepEqual(dangling.type === 'invalid' ? dangling.problems.map(({item, field}) => `${item} ${field}`) : [], ['route/logs pool', 'route/logs policy']);
	const broken = await acceptOne(acceptor, createSubmission('s2', [{type: 'put', item: {...samplePolicy, decision: '1 +'}}]));
	assert.equal(broken.type, 'invalid');
	assert.equal(acceptor.getConfiguration().version, 0);
});

test('a pool cannot be removed while a route refers to it', async () => {
	const acceptor = createAcceptor(createMemoryStore(quick));
	await acceptOne(acceptor, createSubmission('s1', [samplePolicy, samplePool, sampleRoute].map(item => ({type: 'put', item}))));
	assert.equal((await acceptOne(acceptor, createSubmission('s2', [{type: 'remove', key: 'pool/logs'}]))).type, 'invalid');
	assert.equal((await acceptOne(acceptor, createSubmission('s3', [{type: 'remove', key: 'route/logs'}, {type: 'remove', key: 'pool/logs'}]))).type, 'accepted');
});

test('a submission based on an older revision gets a conflict, and none of its changes is applied', async () => {
	const acceptor = createAcceptor(createMemoryStore(quick));
	await acceptOne(acceptor, createSubmission('s1', [createPoolChange('a', 1)]));
	const late = await acceptOne(acceptor, createSubmission('s2', [createPoolChange('a', 2), createPoolChange('b', 2)], {bases: {'pool/a': 0, 'pool/b': 0}}));
	assert.deepEqual(late, {type: 'conflict', items: [{key: 'pool/a', base: 0, current: 1}]});
	assert.equal(acceptor.getConfiguration().version, 1);
});

test('submissions in one batch are accepted with one write', async () => {
	const store = createMemoryStore(quick);
	const acceptor = createAcceptor(store);
	const outcomes = await acceptSubmissions(acceptor, ['a', 'b', 'c'].map(name => createSubmission(name, [createPoolChange(name, 1)])));
	assert.deepEqual(outcomes.map(outcome => outcome.type === 'accepted' ? outcome.version : 0), [1, 1, 1]);
	assert.equal(store.getCallCounts().writes, 1);
	assert.equal(listItems(acceptor.getConfiguration()).length, 3);
});

test('after a write without an answer, the outcome is read from the store', async () => {
	for (const fault of ['writesToLose', 'writesToDrop'] as const) {
		const store = createMemoryStore({...quick, [fault]: 1});
		const acceptor = createAcceptor(store);
		const outcome = await acceptOne(acceptor, createSubmission('s1', [createPoolChange('a', 1)]));
		assert.equal(outcome.type, 'accepted');
		const accepted = await readAccepted(store);
		assert.equal(accepted.version, 1, fault);
		assert.equal(accepted.submissions.length, 1);
	}
});

test('while the store is down a submission is unavailable, or unknown if its write got no answer', async () => {
	const store = createMemoryStore({...quick, isDown: true});
	const acceptor = createAcceptor(store);
	const refused = await acceptOne(acceptor, createSubmission('s1', [createPoolChange('a', 1)]));
	assert.equal(refused.type, 'unavailable');

	const failing = createMemoryStore({...quick, writesToLose: 1});
	const doubtful: Store = {
		...failing,
		write: request => failing.write(request).mapErr(error => {
			// The store becomes unavailable after it applied the write and before it answers.
			failing.setFaults({isDown: true});
			return error;
		}),
	};
	const submission = createSubmission('s2', [createPoolChange('a', 1)]);
	assert.deepEqual(await acceptOne(createAcceptor(doubtful), submission), {type: 'unknown', id: 's2'});
	failing.setFaults({isDown: false});
	assert.equal((await readAccepted(failing)).version, 1);
	assert.deepEqual(await acceptOne(createAcceptor(failing), submission), {type: 'accepted', version: 1, isRepeated: true});
});

test('a submission whose seen version is too old to detect a repetition is refused as expired', async () => {
	const acceptor = createAcceptor(createMemoryStore({...quick, writesPerSecond: 1e6, readsPerSecond: 1e6}));
	for (let version = 0; version < 1100; version += 50) {
		const batch = Array.from({length: 50}, (_, index) => createSubmission(`s${version + index}`, [createPoolChange('a', version + index)], {seenVersion: acceptor.getConfiguration().version}));
		await acceptSubmissions(acceptor, batch);
	}

	assert.equal((await acceptOne(acceptor, createSubmission('s0', [createPoolChange('a', 0)]))).type, 'expired');
});

async function checkCollected(store: MemoryStore): Promise<void> {
	const keys = store.createBackup().map(([key]) => key);
	const accepted = await readAccepted(store);
	assert.ok(accepted.version > 0);
	assert.ok(keys.includes(headKey));
	const snapshots = new Set(keys.filter(key => key.startsWith('stonemoor/snapshot/')).map(key => key.split('/')[2]));
	assert.ok(snapshots.size <= 2, `${snapshots.size} snapshots are in the store, expected at most 2`);
}

test('deltas move to pages and snapshots as they grow, and unreferenced snapshots are removed', async () => {
	const store = createMemoryStore({...quick, writesPerSecond: 1e6, readsPerSecond: 1e6});
	const acceptor = createAcceptor(store, {inlineBytes: 600, maximumPages: 3});
	for (let index = 1; index <= 60; index++) {
		await acceptOne(acceptor, createSubmission(`s${index}`, [createPoolChange(`p${index % 7}`, index)]));
	}

	const accepted = await readAccepted(store);
	assert.equal(accepted.version, 60);
	assert.equal(accepted.digest, acceptor.getConfiguration().digest);
	await checkCollected(store);
});

type Step = {readonly writer: number; readonly fault: 'none' | 'lose' | 'drop' | 'down'; readonly item: number};

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
	writer: fc.nat(2), fault: fc.constantFrom('none', 'lose', 'drop', 'down'), item: fc.nat(3),
});

async function runInterleaving(steps: readonly Step[]): Promise<void> {
	const store = createMemoryStore({...quick, writesPerSecond: 1e6, readsPerSecond: 1e6});
	const acceptors = Array.from({length: 3}, () => createAcceptor(store, {inlineBytes: 800, maximumPages: 2}));
	const reported = new Map<string, SubmissionOutcome>();
	const running: Array<Promise<void>> = [];
	for (const [index, step] of steps.entries()) {
		const id = `s${index}`;
		store.setFaults({isDown: step.fault === 'down', writesToLose: step.fault === 'lose' ? 1 : 0, writesToDrop: step.fault === 'drop' ? 1 : 0});
		const submit = async (): Promise<void> => {
			const outcome = await acceptOne(acceptors[step.writer]!, createSubmission(id, [createPoolChange(`p${step.item}`, index + 1)]));
			reported.set(id, outcome);
		};

		running.push(submit());
		if (index % 3 === 2) {
			await Promise.all(running.splice(0));
		}
	}

	await Promise.all(running);
	store.setFaults({isDown: false, writesToLose: 0, writesToDrop: 0});
	const accepted = await readAccepted(store);
	for (const [id, outcome] of reported) {
		const version = findSubmission(accepted, toSubmissionId(id));
		const times = accepted.submissions.filter(submission => submission.id === id).length;
		assert.ok(times <= 1, `${id} was applied ${times} times`);
		if (outcome.type === 'accepted') {
			assert.equal(version, outcome.version, `${id} was reported as accepted in version ${outcome.version}`);
		} else if (outcome.type !== 'unknown') {
			assert.equal(version, undefined, `${id} was reported as ${outcome.type} but is in force`);
		}
	}

	for (const acceptor of acceptors) {
		assert.ok(acceptor.getConfiguration().version <= accepted.version, 'a node holds a newer version than the accepted one');
	}
}

test('with concurrent writers, lost answers and outages, each accepted submission is applied exactly once', async () => {
	await fc.assert(fc.asyncProperty(fc.array(stepArbitrary, {minLength: 1, maxLength: 12}), async steps => runInterleaving(steps)), {numRuns: 60});
});
