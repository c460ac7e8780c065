import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toBackendServerId} from '../common/ids.js';
import {computeCrashKey, type CrashKey, type SuspectRecord} from './suspect-record.js';
import {computeFingerprint, type Fingerprint} from './fingerprint.js';
import {createQuarantineLedger, type QuarantineLedger} from './ledger.js';

const toName = (target: string): Fingerprint => computeFingerprint({
	method: 'GET', host: 'mesh.example', target, body: undefined,
});
const getCrash = (number: number): CrashKey => computeCrashKey({id: toBackendServerId('i-1'), startedAt: number});
const fatal = toName('/fatal');
const innocent = toName('/innocent');
const minuteMs = 60_000;

/** A ledger in which a request was in work at so many crashes, a second apart. */
function createAccused(crashes: number): QuarantineLedger {
	const ledger = createQuarantineLedger();
	for (let number = 1; number <= crashes; number++) {
		ledger.accuse([fatal], getCrash(number), number * 1000);
	}

	return ledger;
}

test('nobody is suspected before a crash, and what was in work at one runs on trial', () => {
	const ledger = createQuarantineLedger();
	assert.equal(ledger.judge(fatal, 0).type, 'free');
	assert.deepEqual(ledger.accuse([fatal, innocent, fatal], getCrash(1), 0), [fatal, innocent]);
	assert.deepEqual(ledger.judge(fatal, 1), {type: 'trial', fingerprint: fatal});
	assert.equal(ledger.judge(toName('/other'), 1).type, 'free');
});

test('the same crash counts once, whoever tells of it', () => {
	const ledger = createAccused(1);
	assert.deepEqual(ledger.accuse([fatal], getCrash(1), 2000), []);
	assert.equal(ledger.judge(fatal, 2000).type, 'trial');
});

test('after a second crash it waits, then one more server may run it', () => {
	const ledger = createAccused(2);
	const judgement = ledger.judge(fatal, 3000);
	assert.deepEqual(judgement, {
		type: 'refused', fingerprint: fatal, crashes: 2, retryAfterMs: 9000,
	});
	assert.equal(ledger.judge(fatal, 12_001).type, 'trial');
});

test('a trial waits a moment after the first crash, and not after a later one, whose hold is over by then', () => {
	const ledger = createAccused(1);
	assert.equal(ledger.getSettleMs(fatal, 1050), 350);
	assert.equal(ledger.getSettleMs(fatal, 1400), 0);
	assert.equal(ledger.getSettleMs(innocent, 1050), 0);
	assert.equal(createAccused(2).getSettleMs(fatal, 2050), 0);
});

test('what several ask for right after the first crash waits as after a second one, everywhere, until a server answers it', () => {
	const ledger = createAccused(1);
	const other = createQuarantineLedger();
	assert.equal(ledger.noteRepeated(fatal, 1100), true);
	assert.equal(ledger.noteRepeated(fatal, 1100), false);
	assert.equal(ledger.noteRepeated(innocent, 1100), false);
	other.merge(ledger.listPart(1100), 1100);
	for (const one of [ledger, other]) {
		assert.equal(one.judge(fatal, 2000).type, 'refused');
		assert.equal(one.getSettleMs(fatal, 1100), 0);
	}

	assert.equal(ledger.judge(fatal, 11_001).type, 'trial');
	other.clear(fatal, 3000);
	ledger.merge(other.listPart(3000), 3000);
	assert.equal(ledger.judge(fatal, 3000).type, 'free');
});

test('after the third it is refused for as long as it is asked for, and ten minutes beyond', () => {
	const ledger = createAccused(3);
	let now = 3000;
	for (let turn = 0; turn < 30; turn++) {
		now += 9 * minuteMs;
		assert.equal(ledger.judge(fatal, now).type, 'refused');
	}

	assert.equal(ledger.judge(fatal, now + (10 * minuteMs)).type, 'trial');
});

test('three trials later it is refused for good, while it is remembered', () => {
	const ledger = createAccused(6);
	assert.equal(ledger.judge(fatal, 59 * minuteMs).type, 'refused');
});

test('what a server answers is cleared of the crashes that are known, and of no later one', () => {
	const ledger = createAccused(3);
	assert.equal(ledger.clear(fatal, 4000), 3);
	assert.equal(ledger.judge(fatal, 4000).type, 'free');
	assert.deepEqual(ledger.accuse([fatal], getCrash(3), 4500), [], 'a crash of which it was cleared accused it again');
	ledger.accuse([fatal], getCrash(4), 5000);
	assert.equal(ledger.judge(fatal, 5000).type, 'trial');
});

test('a request that was in work at one crash is forgotten after a minute, a quarantined one is not', () => {
	const ledger = createAccused(3);
	ledger.accuse([innocent], getCrash(1), 1000);
	assert.deepEqual(ledger.listPart(2 * minuteMs).map(({fingerprint}) => fingerprint), [fatal]);
	assert.equal(ledger.hasHead(innocent.slice(0, 8) as never), false);
});

test('a hundred thousand requests at crashes fill no more than the ledger holds, and quarantined ones stay', () => {
	const ledger = createAccused(3);
	for (let number = 0; number < 100_000; number++) {
		ledger.accuse([toName(`/page-${number}`)], getCrash(number + 10), 4000);
	}

	assert.equal(ledger.countRecords(), 256);
	assert.equal(ledger.judge(fatal, 4000).type, 'refused');
});

test('what crashed two servers or more is in every other part, whatever was in work at crashes since', () => {
	const ledger = createAccused(2);
	for (let number = 0; number < 200; number++) {
		ledger.accuse([toName(`/page-${number}`)], getCrash(number + 10), 4000 + number);
	}

	const parts = Array.from({length: 8}, () => ledger.listPart(5000).map(({fingerprint}) => fingerprint));
	const told = parts.filter(part => part.includes(fatal) && part.includes(toName('/page-199')));
	assert.equal(told.length, 4, 'the worst and the newest are told together by turns');
});

test('a request that crashed two servers is remembered for longer than the time between two of its repeats may be', () => {
	const ledger = createAccused(2);
	ledger.listPart(5 * minuteMs);
	ledger.accuse([fatal], getCrash(3), 5 * minuteMs);
	assert.equal(ledger.judge(fatal, (5 * minuteMs) + 1).type, 'refused');
	assert.equal(ledger.get(fatal, 5 * minuteMs)?.crashes.length, 3);
});

test('every record is told within a bounded number of parts, each of a bounded size', () => {
	const ledger = createAccused(3);
	for (let number = 0; number < 100; number++) {
		ledger.accuse([toName(`/page-${number}`)], getCrash(number + 10), 4000);
	}

	const told = new Set<Fingerprint>();
	for (let part = 0; part < 14; part++) {
		const records = ledger.listPart(4000);
		assert.ok(records.length <= 16);
		for (const {fingerprint} of records) {
			told.add(fingerprint);
		}
	}

	assert.equal(told.size, 101);
});

/** One thing that a node sees. */
type Sight =
	| {readonly type: 'crash'; readonly number: number; readonly targets: readonly string[]}
	| {readonly type: 'answer'; readonly target: string}
	| {readonly type: 'repeat'; readonly target: string};

const targets = ['/a', '/b', '/c'] as const;
const sights = fc.array(fc.oneof(
	fc.record({type: fc.constant('crash' as const), number: fc.integer({min: 1, max: 5}), targets: fc.uniqueArray(fc.constantFrom(...targets), {minLength: 1})}),
	fc.record({type: fc.constantFrom('answer' as const, 'repeat' as const), target: fc.constantFrom(...targets)}),
), {maxLength: 12});

function noteSight(ledger: QuarantineLedger, sight: Sight): void {
	if (sight.type === 'crash') {
		ledger.accuse(sight.targets.map(target => toName(target)), getCrash(sight.number), 0);
	} else if (sight.type === 'repeat') {
		ledger.noteRepeated(toName(sight.target), 0);
	} else {
		ledger.clear(toName(sight.target), 0);
	}
}

function list(ledger: QuarantineLedger): readonly SuspectRecord[] {
	return ledger.listPart(0).map(record => ({
		...record, crashes: record.crashes.toSorted(), cleared: record.cleared.toSorted(), repeated: record.repeated.toSorted(),
	}))
		.toSorted((left, right) => left.fingerprint < right.fingerprint ? -1 : 1);
}

test('nodes that saw different things and tell one another end alike, in whatever order and however often', () => {
	fc.assert(fc.property(fc.array(sights, {minLength: 2, maxLength: 4}), fc.array(fc.tuple(fc.nat(3), fc.nat(3)), {maxLength: 30}), (seen, messages) => {
		const nodes = seen.map(own => {
			const ledger = createQuarantineLedger();
			for (const sight of own) {
				noteSight(ledger, sight);
			}

			return ledger;
		});
		const tell = (from: number, to: number): void => {
			nodes[to % nodes.length]!.merge(nodes[from % nodes.length]!.listPart(0), 0);
		};

		for (const [from, to] of messages) {
			tell(from, to);
		}

		for (let round = 0; round < 2; round++) {
			for (const [from] of nodes.entries()) {
				for (const [to] of nodes.entries()) {
					tell(from, to);
				}
			}
		}

		for (const node of nodes) {
			assert.deepEqual(list(node), list(nodes[0]!));
		}
	}));
});
