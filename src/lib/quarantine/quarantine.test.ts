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
	/** What was to be kept in the store. */
	readonly stored: readonly SuspectRecord[];
	/** Crashes that were to be reported through the store. */
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

test('the third crash quarantines a request, here and at the nodes that are reported, and has it stored', context => {
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

test('a page that was answered a moment ago is not accused, by the node that saw the answer or by one that did not', context => {
	const {quarantine, reported} = createFixture(context);
	const other = createFixture(context).quarantine;
	quarantine.recordResponse(popular);
	quarantine.recordCrash(getServer(1), [popular]);
	assert.deepEqual(reported, [], 'a crash that accuses nobody is not reported through the store');
	quarantine.recordCrash(getServer(1), [popular, fatal]);
	assert.equal(quarantine.check(popular).type, 'free');
	assert.equal(quarantine.check(fatal).type, 'trial');
	other.recordCrash(getServer(2), [popular]);
	quarantine.merge(other.listBatch(), 'n2');
	assert.equal(quarantine.check(popular).type, 'free');
	other.merge(quarantine.listBatch(), 'n1');
	assert.equal(other.check(popular).type, 'free', 'the word of the node that saw the answer did not reach the other one');
});

test('an answer speaks for a page for some seconds only', context => {
	const {quarantine, setNow} = createFixture(context);
	quarantine.recordResponse(popular);
	setNow(15_000);
	quarantine.recordCrash(getServer(1), [popular]);
	assert.equal(quarantine.check(popular).type, 'trial');
});

test('of a request on trial one is in work at a time, and its answer ends the suspicion', context => {
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

test('requests with the same head and another body are reported apart', context => {
	const {quarantine} = createFixture(context);
	const createPublication = (text: string): LazyFingerprint => createSampleFingerprint('/publish', new TextEncoder().encode(text));
	quarantine.recordResponse(createPublication('good'));
	quarantine.recordCrash(getServer(1), [createPublication('bad')]);
	assert.equal(quarantine.check(createPublication('bad')).type, 'trial');
	assert.equal(quarantine.check(createPublication('good')).type, 'free');
	assert.equal(quarantine.check(createSampleFingerprint('/publish')).type, 'free');
});
