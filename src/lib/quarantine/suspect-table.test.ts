import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toBackendServerId} from '../common/ids.js';
import {computeCrashKey, type CrashKey, type SuspectRecord} from './suspect-record.js';
import {computeFingerprint, type Fingerprint} from './fingerprint.js';
import {createSuspectTable, type SuspectTable} from './suspect-table.js';

const toFingerprint = (target: string): Fingerprint => computeFingerprint({
	method: 'GET', host: 'mesh.example', target, body: undefined,
});
const getCrash = (number: number): CrashKey => computeCrashKey({id: toBackendServerId('i-1'), startedAt: number});
const fatal = toFingerprint('/fatal');
const innocent = toFingerprint('/innocent');
const minuteMs = 60_000;

/** Creates a table in which `fatal` was in flight at a number of crashes, one second apart. */
function createTableOfCrashes(crashes: number): SuspectTable {
	const table = createSuspectTable();
	for (let number = 1; number <= crashes; number++) {
		table.recordCrash([fatal], getCrash(number), number * 1000);
	}

	return table;
}

test('no request is suspected before a crash, and those in flight at a crash run on trial', () => {
	const table = createSuspectTable();
	assert.equal(table.check(fatal, 0).type, 'free');
	assert.deepEqual(table.recordCrash([fatal, innocent, fatal], getCrash(1), 0), [fatal, innocent]);
	assert.deepEqual(table.check(fatal, 1), {type: 'trial', fingerprint: fatal});
	assert.equal(table.check(toFingerprint('/other'), 1).type, 'free');
});

test('the same crash counts once, however often it is reported', () => {
	const table = createTableOfCrashes(1);
	assert.deepEqual(table.recordCrash([fatal], getCrash(1), 2000), []);
	assert.equal(table.check(fatal, 2000).type, 'trial');
});

test('after a second crash a request is held back, then it runs on trial', () => {
	const table = createTableOfCrashes(2);
	const decision = table.check(fatal, 3000);
	assert.deepEqual(decision, {
		type: 'refused', fingerprint: fatal, crashes: 2, retryAfterMs: 9000,
	});
	assert.equal(table.check(fatal, 12_001).type, 'trial');
});

test('a trial is delayed after the first crash, and not after a later one, since the hold is longer', () => {
	const table = createTableOfCrashes(1);
	assert.equal(table.getTrialDelayMs(fatal, 1050), 350);
	assert.equal(table.getTrialDelayMs(fatal, 1400), 0);
	assert.equal(table.getTrialDelayMs(innocent, 1050), 0);
	assert.equal(createTableOfCrashes(2).getTrialDelayMs(fatal, 2050), 0);
});

test('a request that several callers send shortly after its first crash is held back at all nodes until a server answers it', () => {
	const table = createTableOfCrashes(1);
	const other = createSuspectTable();
	assert.equal(table.recordRepeat(fatal, 1100), true);
	assert.equal(table.recordRepeat(fatal, 1100), false);
	assert.equal(table.recordRepeat(innocent, 1100), false);
	other.merge(table.listBatch(1100), 1100);
	for (const one of [table, other]) {
		assert.equal(one.check(fatal, 2000).type, 'refused');
		assert.equal(one.getTrialDelayMs(fatal, 1100), 0);
	}

	assert.equal(table.check(fatal, 11_001).type, 'trial');
	other.clear(fatal, 3000);
	table.merge(other.listBatch(3000), 3000);
	assert.equal(table.check(fatal, 3000).type, 'free');
});

test('after the third crash a request is refused until it has not been sent for ten minutes', () => {
	const table = createTableOfCrashes(3);
	let now = 3000;
	for (let turn = 0; turn < 30; turn++) {
		now += 9 * minuteMs;
		assert.equal(table.check(fatal, now).type, 'refused');
	}

	assert.equal(table.check(fatal, now + (10 * minuteMs)).type, 'trial');
});

test('after six crashes a request is refused as long as its record is kept', () => {
	const table = createTableOfCrashes(6);
	assert.equal(table.check(fatal, 59 * minuteMs).type, 'refused');
});

test('a response clears a request of the known crashes, and of no later one', () => {
	const table = createTableOfCrashes(3);
	assert.equal(table.clear(fatal, 4000), 3);
	assert.equal(table.check(fatal, 4000).type, 'free');
	assert.deepEqual(table.recordCrash([fatal], getCrash(3), 4500), [], 'a crash of which the request was cleared was recorded again');
	table.recordCrash([fatal], getCrash(4), 5000);
	assert.equal(table.check(fatal, 5000).type, 'trial');
});

test('the record of a request in flight at one crash expires after a minute, that of a quarantined one does not', () => {
	const table = createTableOfCrashes(3);
	table.recordCrash([innocent], getCrash(1), 1000);
	assert.deepEqual(table.listBatch(2 * minuteMs).map(({fingerprint}) => fingerprint), [fatal]);
	assert.equal(table.hasHead(innocent.slice(0, 8) as never), false);
});

test('a hundred thousand requests at crashes do not exceed the size of the table, and quarantined ones stay in it', () => {
	const table = createTableOfCrashes(3);
	for (let number = 0; number < 100_000; number++) {
		table.recordCrash([toFingerprint(`/page-${number}`)], getCrash(number + 10), 4000);
	}

	assert.equal(table.countRecords(), 256);
	assert.equal(table.check(fatal, 4000).type, 'refused');
});

test('requests with two or more crashes are in every other batch, however many were in flight at crashes since', () => {
	const table = createTableOfCrashes(2);
	for (let number = 0; number < 200; number++) {
		table.recordCrash([toFingerprint(`/page-${number}`)], getCrash(number + 10), 4000 + number);
	}

	const batches = Array.from({length: 8}, () => table.listBatch(5000).map(({fingerprint}) => fingerprint));
	const listed = batches.filter(batch => batch.includes(fatal) && batch.includes(toFingerprint('/page-199')));
	assert.equal(listed.length, 4, 'every other batch contains both the worst and the newest request');
});

test('the record of a request with two crashes outlives a pause of five minutes between its attempts', () => {
	const table = createTableOfCrashes(2);
	table.listBatch(5 * minuteMs);
	table.recordCrash([fatal], getCrash(3), 5 * minuteMs);
	assert.equal(table.check(fatal, (5 * minuteMs) + 1).type, 'refused');
	assert.equal(table.get(fatal, 5 * minuteMs)?.crashes.length, 3);
});

test('every record is listed within a bounded number of batches, each of a bounded size', () => {
	const table = createTableOfCrashes(3);
	for (let number = 0; number < 100; number++) {
		table.recordCrash([toFingerprint(`/page-${number}`)], getCrash(number + 10), 4000);
	}

	const listed = new Set<Fingerprint>();
	for (let batch = 0; batch < 14; batch++) {
		const records = table.listBatch(4000);
		assert.ok(records.length <= 16);
		for (const {fingerprint} of records) {
			listed.add(fingerprint);
		}
	}

	assert.equal(listed.size, 101);
});

/** One event that a node observes. */
type Observation =
	| {readonly type: 'crash'; readonly number: number; readonly targets: readonly string[]}
	| {readonly type: 'answer'; readonly target: string}
	| {readonly type: 'repeat'; readonly target: string};

const targets = ['/a', '/b', '/c'] as const;
const observations = fc.array(fc.oneof(
	fc.record({type: fc.constant('crash' as const), number: fc.integer({min: 1, max: 5}), targets: fc.uniqueArray(fc.constantFrom(...targets), {minLength: 1})}),
	fc.record({type: fc.constantFrom('answer' as const, 'repeat' as const), target: fc.constantFrom(...targets)}),
), {maxLength: 12});

function applyObservation(table: SuspectTable, observation: Observation): void {
	if (observation.type === 'crash') {
		table.recordCrash(observation.targets.map(target => toFingerprint(target)), getCrash(observation.number), 0);
	} else if (observation.type === 'repeat') {
		table.recordRepeat(toFingerprint(observation.target), 0);
	} else {
		table.clear(toFingerprint(observation.target), 0);
	}
}

function listRecords(table: SuspectTable): readonly SuspectRecord[] {
	return table.listBatch(0).map(record => ({
		...record, crashes: record.crashes.toSorted(), cleared: record.cleared.toSorted(), repeated: record.repeated.toSorted(),
	}))
		.toSorted((left, right) => left.fingerprint < right.fingerprint ? -1 : 1);
}

test('property: nodes that observe different events and exchange records converge, in any order and number of messages', () => {
	fc.assert(fc.property(fc.array(observations, {minLength: 2, maxLength: 4}), fc.array(fc.tuple(fc.nat(3), fc.nat(3)), {maxLength: 30}), (observed, messages) => {
		const nodes = observed.map(own => {
			const table = createSuspectTable();
			for (const observation of own) {
				applyObservation(table, observation);
			}

			return table;
		});
		const send = (from: number, to: number): void => {
			nodes[to % nodes.length]!.merge(nodes[from % nodes.length]!.listBatch(0), 0);
		};

		for (const [from, to] of messages) {
			send(from, to);
		}

		for (let round = 0; round < 2; round++) {
			for (const [from] of nodes.entries()) {
				for (const [to] of nodes.entries()) {
					send(from, to);
				}
			}
		}

		for (const node of nodes) {
			assert.deepEqual(listRecords(node), listRecords(nodes[0]!));
		}
	}));
});
