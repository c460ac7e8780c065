import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {toBackendServerId} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {silentLog} from '../timeline/mesh-log.js';
import {type CrashReport} from './crash-report.js';
import {createQuarantine, type Quarantine} from './quarantine.js';
import {type LazyFingerprint} from './lazy-fingerprint.js';
import {createSampleFingerprint} from './sample-quarantine.js';
import {type SuspectRecord} from './suspect-record.js';

type Fixture = {
	readonly quarantine: Quarantine;
	readonly countUrgentChanges: () => number;
	/** Records passed to `handleQuarantined`, which stores them. */
	readonly stored: readonly SuspectRecord[];
	/** Crashes passed to `handleCrash`, which reports them through the store. */
	readonly reported: readonly CrashReport[];
	readonly setNow: (now: number) => void;
};

function createFixture({mock}: TestContext): Fixture {
	let now = 10_000;
	let urgentChanges = 0;
	mock.method(performance, 'now', () => now);
	const stored: SuspectRecord[] = [];
	const reported: CrashReport[] = [];
	const quarantine = createQuarantine({
		log: silentLog,
		handleUrgentChange() {
			urgentChanges++;
		},
		handleCrash(report) {
			reported.push(report);
		},
		handleQuarantined(records) {
			stored.push(...records);
		},
	});
	return {
		quarantine,
		countUrgentChanges: () => urgentChanges,
		stored,
		reported,
		setNow(next) {
			now = next;
		},
	};
}

const getServer = (startedAt: number): ServerLifetime => ({id: toBackendServerId('i-1'), startedAt});
const fatal = createSampleFingerprint('/fatal');
const popular = createSampleFingerprint('/popular');

test('the third crash quarantines a request at this node and at the nodes that receive its record, and stores it', context => {
	const {quarantine, countUrgentChanges, stored, reported} = createFixture(context);
	const other = createFixture(context).quarantine;
	for (const startedAt of [1, 2, 3]) {
		quarantine.recordCrash(getServer(startedAt), [fatal]);
	}

	assert.equal(countUrgentChanges(), 3);
	assert.deepEqual(reported.map(({fingerprints}) => fingerprints), [1, 2, 3].map(() => [fatal.getFingerprint()]));
	assert.deepEqual(stored.map(({crashes}) => crashes.length), [3]);
	assert.equal(quarantine.check(fatal).type, 'refused');
	other.merge(quarantine.listBatch(), 'n2');
	const admission = other.admitRun(fatal);
	assert.equal(admission.type, 'refused');
	assert.equal(other.check(popular).type, 'free');
});

test('a recently answered page is not suspected, neither at the node that saw the response nor at another one', context => {
	const {quarantine, reported} = createFixture(context);
	const other = createFixture(context).quarantine;
	quarantine.recordResponse(popular);
	quarantine.recordCrash(getServer(1), [popular]);
	assert.deepEqual(reported, [], 'a crash without suspects was reported through the store');
	quarantine.recordCrash(getServer(1), [popular, fatal]);
	assert.equal(quarantine.check(popular).type, 'free');
	assert.equal(quarantine.check(fatal).type, 'trial');
	other.recordCrash(getServer(2), [popular]);
	quarantine.merge(other.listBatch(), 'n2');
	assert.equal(quarantine.check(popular).type, 'free');
	other.merge(quarantine.listBatch(), 'n1');
	assert.equal(other.check(popular).type, 'free', 'the record of the node that saw the response did not clear the page at the other one');
});

test('a response protects a page for some seconds only', context => {
	const {quarantine, setNow} = createFixture(context);
	quarantine.recordResponse(popular);
	setNow(15_000);
	quarantine.recordCrash(getServer(1), [popular]);
	assert.equal(quarantine.check(popular).type, 'trial');
});

test('only one request per fingerprint runs on trial at a time, and its response clears the suspect', context => {
	const {quarantine} = createFixture(context);
	quarantine.recordCrash(getServer(1), [fatal]);
	const first = quarantine.admitRun(fatal);
	assert.ok(first.type === 'admitted');
	assert.equal(quarantine.admitRun(fatal).type, 'refused');
	first.end();
	assert.equal(quarantine.admitRun(fatal).type, 'admitted');
	quarantine.recordResponse(fatal);
	assert.equal(quarantine.admitRun(fatal).type, 'admitted');
	assert.equal(quarantine.check(fatal).type, 'free');
});

test('requests with the same head and different bodies have different fingerprints', context => {
	const {quarantine} = createFixture(context);
	const createPublication = (text: string): LazyFingerprint => createSampleFingerprint('/publish', new TextEncoder().encode(text));
	quarantine.recordResponse(createPublication('good'));
	quarantine.recordCrash(getServer(1), [createPublication('bad')]);
	assert.equal(quarantine.check(createPublication('bad')).type, 'trial');
	assert.equal(quarantine.check(createPublication('good')).type, 'free');
	assert.equal(quarantine.check(createSampleFingerprint('/publish')).type, 'free');
});
