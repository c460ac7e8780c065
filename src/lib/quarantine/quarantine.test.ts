import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {toBackendServerId} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {silentLog} from '../timeline/mesh-log.js';
import {type CrashReport} from './crash-report.js';
import {createQuarantine, type Quarantine} from './quarantine.js';
import {type RequestMark} from './request-mark.js';
import {createSampleMark} from './sample-quarantine.js';
import {type SuspectRecord} from './suspect-record.js';

type Fixture = {
	readonly quarantine: Quarantine;
	readonly countNews: () => number;
	/** What was to be kept in the store. */
	readonly stored: readonly SuspectRecord[];
	/** Crashes that were to be told through the store. */
	readonly told: readonly CrashReport[];
	readonly setNow: (now: number) => void;
};

function createFixture({mock}: TestContext): Fixture {
	let now = 10_000;
	let news = 0;
	mock.method(performance, 'now', () => now);
	const stored: SuspectRecord[] = [];
	const told: CrashReport[] = [];
	const quarantine = createQuarantine({
		log: silentLog,
		handleNews() {
			news++;
		},
		handleCrash(report) {
			told.push(report);
		},
		handleQuarantined(records) {
			stored.push(...records);
		},
	});
	return {
		quarantine,
		countNews: () => news,
		stored,
		told,
		setNow(next) {
			now = next;
		},
	};
}

const getServer = (startedAt: number): ServerLifetime => ({id: toBackendServerId('i-1'), startedAt});
const fatal = createSampleMark('/fatal');
const popular = createSampleMark('/popular');

test('the third crash quarantines a request, here and at the nodes that are told, and has it stored', context => {
	const {quarantine, countNews, stored, told} = createFixture(context);
	const other = createFixture(context).quarantine;
	for (const startedAt of [1, 2, 3]) {
		quarantine.noteCrash(getServer(startedAt), [fatal]);
	}

	assert.equal(countNews(), 3);
	assert.deepEqual(told.map(({fingerprints}) => fingerprints), [1, 2, 3].map(() => [fatal.getFingerprint()]));
	assert.deepEqual(stored.map(({crashes}) => crashes.length), [3]);
	assert.equal(quarantine.judge(fatal).type, 'refused');
	other.take(quarantine.describe(), 'n2');
	const admission = other.admitRun(fatal);
	assert.equal(admission.type, 'refused');
	assert.equal(other.judge(popular).type, 'free');
});

test('a page that was answered a moment ago is not accused, by the node that saw the answer or by one that did not', context => {
	const {quarantine, told} = createFixture(context);
	const other = createFixture(context).quarantine;
	quarantine.noteAnswered(popular);
	quarantine.noteCrash(getServer(1), [popular]);
	assert.deepEqual(told, [], 'a crash that accuses nobody is not told through the store');
	quarantine.noteCrash(getServer(1), [popular, fatal]);
	assert.equal(quarantine.judge(popular).type, 'free');
	assert.equal(quarantine.judge(fatal).type, 'trial');
	other.noteCrash(getServer(2), [popular]);
	quarantine.take(other.describe(), 'n2');
	assert.equal(quarantine.judge(popular).type, 'free');
	other.take(quarantine.describe(), 'n1');
	assert.equal(other.judge(popular).type, 'free', 'the word of the node that saw the answer did not reach the other one');
});

test('an answer speaks for a page for some seconds only', context => {
	const {quarantine, setNow} = createFixture(context);
	quarantine.noteAnswered(popular);
	setNow(15_000);
	quarantine.noteCrash(getServer(1), [popular]);
	assert.equal(quarantine.judge(popular).type, 'trial');
});

test('of a request on trial one is in work at a time, and its answer ends the suspicion', context => {
	const {quarantine} = createFixture(context);
	quarantine.noteCrash(getServer(1), [fatal]);
	const first = quarantine.admitRun(fatal);
	assert.ok(first.type === 'admitted');
	assert.equal(quarantine.admitRun(fatal).type, 'refused');
	first.end();
	assert.equal(quarantine.admitRun(fatal).type, 'admitted');
	quarantine.noteAnswered(fatal);
	assert.equal(quarantine.admitRun(fatal).type, 'admitted');
	assert.equal(quarantine.judge(fatal).type, 'free');
});

test('requests with the same head and another body are told apart', context => {
	const {quarantine} = createFixture(context);
	const createPublication = (text: string): RequestMark => createSampleMark('/publish', new TextEncoder().encode(text));
	quarantine.noteAnswered(createPublication('good'));
	quarantine.noteCrash(getServer(1), [createPublication('bad')]);
	assert.equal(quarantine.judge(createPublication('bad')).type, 'trial');
	assert.equal(quarantine.judge(createPublication('good')).type, 'free');
	assert.equal(quarantine.judge(createSampleMark('/publish')).type, 'free');
});
