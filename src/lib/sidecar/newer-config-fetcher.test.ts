import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'node:test';
import {err, ok} from 'neverthrow';
import {toAddress, toFailureDomain, toNodeId} from '../common/ids.js';
import {type ConfigAnswer} from '../forwarding/config-messages.js';
import {createSampleReport} from '../peers/sample-report.js';
import {type ConfigStep} from '../route-config/config-history.js';
import {computeTextDelta} from '../route-config/text-delta.js';
import {createNewerConfigFetcher, type NewerConfigFetcher} from './newer-config-fetcher.js';

type Answer = ConfigAnswer | undefined | Error;

type Fixture = {
	readonly fetch: NewerConfigFetcher['handleReport'];
	readonly getStalledMs: NewerConfigFetcher['getStalledMs'];
	readonly recordStoreRead: NewerConfigFetcher['recordStoreRead'];
	readonly fetches: string[];
	readonly applied: string[];
	readonly unusable: string[];
	readonly failed: string[];
	current: {version: number; text: string};
	answer: Answer;
};

function createFixture(isWatchingStore: boolean, answer: Answer): Fixture {
	const fetcher = createNewerConfigFetcher({
		getCurrent: () => fixture.current,
		isWatchingStore: () => isWatchingStore,
		isInOwnDomain: ({domain}) => domain === 'a',
		async fetchConfig(gate, version) {
			fixture.fetches.push(`${gate} has ${version}`);
			if (fixture.answer instanceof Error) {
				throw fixture.answer;
			}

			return fixture.answer === undefined ? err({type: 'nothing', reason: 'none'}) : ok(fixture.answer);
		},
		applyText(text, source, steps) {
			fixture.applied.push(`${source}: ${text}${steps === undefined ? '' : ` by ${steps.length}`}`);
		},
		handleUnusableAnswer(_report, reason) {
			fixture.unusable.push(reason);
		},
		handleNewVersion: () => undefined,
		handleFetchFailed(report, {reason}) {
			fixture.failed.push(`${report.node}: ${reason}`);
		},
	});
	const fixture: Fixture = {
		current: {version: 7, text: 'seven'},
		answer,
		fetches: [],
		applied: [],
		unusable: [],
		failed: [],
		fetch: fetcher.handleReport,
		getStalledMs: fetcher.getStalledMs,
		recordStoreRead: fetcher.recordStoreRead,
	};
	return fixture;
}

const newer = createSampleReport({version: 9, gate: toAddress('10.0.0.2:1')});
const whole: Answer = {type: 'whole', text: 'nine'};

test('a node that does not watch the store fetches a newer configuration from a node that has it', async () => {
	const fixture = createFixture(false, whole);
	await fixture.fetch(createSampleReport({version: 7}));
	await fixture.fetch(newer);
	assert.deepEqual(fixture.fetches, ['10.0.0.2:1 has 7']);
	assert.deepEqual(fixture.applied, [`${newer.node}: nine`]);
});

test('a node whose own watch delivers the version during the delay fetches from no node', async () => {
	const fixture = createFixture(true, whole);
	const fetched = fixture.fetch(newer);
	fixture.current = {version: 9, text: 'nine'};
	await fetched;
	assert.deepEqual(fixture.fetches, []);
});

test('a node delays a fetch from another failure domain, and fetches from its own domain during the delay', async () => {
	const fixture = createFixture(false, whole);
	const far = fixture.fetch(createSampleReport({version: 9, gate: toAddress('10.0.9.9:1'), domain: toFailureDomain('b')}));
	await fixture.fetch(newer);
	fixture.current = {version: 9, text: 'nine'};
	await far;
	assert.deepEqual(fixture.fetches, ['10.0.0.2:1 has 7']);
});

test('a fetch that takes a second over a slow link succeeds', async () => {
	const applied: string[] = [];
	const {handleReport: fetchNewer} = createNewerConfigFetcher({
		getCurrent: () => undefined,
		isWatchingStore: () => false,
		isInOwnDomain: () => true,
		fetchConfig: async (_gate, _version, scope) => new Promise(resolve => {
			const timer = setTimeout(() => {
				resolve(ok(whole));
			}, 1000);
			scope.subscribe(() => {
				clearTimeout(timer);
				resolve(err({type: 'timeout', reason: 'no answer in time'}));
			});
		}),
		applyText(text) {
			applied.push(text);
		},
		handleUnusableAnswer: () => undefined,
		handleNewVersion: () => undefined,
		handleFetchFailed: () => undefined,
	});
	await fetchNewer(newer);
	assert.deepEqual(applied, ['nine']);
});

test('a second fetch starts while the first node does not answer, and there is no third one', async () => {
	const asked: string[] = [];
	const {handleReport: fetchNewer} = createNewerConfigFetcher({
		getCurrent: () => undefined,
		isWatchingStore: () => false,
		isInOwnDomain: () => true,
		async fetchConfig(gate, _version, scope) {
			asked.push(gate);
			return new Promise(resolve => {
				scope.subscribe(() => {
					resolve(err({type: 'timeout', reason: 'no answer in time'}));
				});
			});
		},
		applyText: () => undefined,
		handleUnusableAnswer: () => undefined,
		handleNewVersion: () => undefined,
		handleFetchFailed: () => undefined,
	});
	const other = createSampleReport({node: toNodeId('n3'), version: 9, gate: toAddress('10.0.0.3:1')});
	const first = fetchNewer(newer);
	const early = fetchNewer(other);
	await sleep(900);
	const second = fetchNewer(other);
	const third = fetchNewer(createSampleReport({node: toNodeId('n4'), version: 9, gate: toAddress('10.0.0.4:1')}));
	await Promise.all([first, early, second, third]);
	assert.deepEqual(asked, ['10.0.0.2:1', '10.0.0.3:1']);
});

test('a failed fetch does not block later ones', async () => {
	const silent = createFixture(false, undefined);
	await silent.fetch(newer);
	await silent.fetch(newer);
	assert.equal(silent.fetches.length, 2);
	assert.deepEqual(silent.applied, []);
	assert.deepEqual(silent.failed, [`${newer.node}: none`, `${newer.node}: none`], 'failed fetches were not reported');
	const failing = createFixture(false, new Error('x'));
	await assert.rejects(failing.fetch(newer));
	await assert.rejects(failing.fetch(newer));
	assert.equal(failing.fetches.length, 2);
});

const step = (from: number, to: number, before: string, after: string): ConfigStep => ({from, to, delta: computeTextDelta(before, after)});

test('steps lead from the active version to the newest; earlier steps are skipped', async () => {
	const fixture = createFixture(false, {type: 'steps', steps: [step(5, 7, 'five', 'seven'), step(7, 8, 'seven', 'eight'), step(8, 9, 'eight', 'nine')]});
	await fixture.fetch(newer);
	assert.deepEqual(fixture.applied, [`${newer.node}: nine by 2`]);
});

test('steps that do not apply are reported, change nothing, and the next fetch requests the whole configuration', async () => {
	const fixture = createFixture(false, {type: 'steps', steps: [step(7, 9, '{other}{seven}', '{other}{nine}')]});
	await fixture.fetch(newer);
	assert.deepEqual(fixture.applied, []);
	assert.equal(fixture.unusable.length, 1);
	fixture.answer = whole;
	await fixture.fetch(newer);
	assert.deepEqual(fixture.fetches, ['10.0.0.2:1 has 7', '10.0.0.2:1 has 0']);
	assert.deepEqual(fixture.applied, [`${newer.node}: nine`]);
});

test('a node measures for how long it has been stalled', async () => {
	const fixture = createFixture(false, undefined);
	const before = performance.now();
	assert.equal(fixture.getStalledMs(before), 0);
	await fixture.fetch(newer);
	await sleep(60);
	await fixture.fetch(createSampleReport({version: 10, gate: toAddress('10.0.0.2:1')}));
	const stalledMs = fixture.getStalledMs(performance.now());
	assert.ok(stalledMs >= 55, `${stalledMs} ms`);
	// The node made progress, although a newer version is already known: changes may follow quickly.
	fixture.current = {version: 9, text: 'nine'};
	assert.equal(fixture.getStalledMs(performance.now()), 0);
	await fixture.fetch(createSampleReport({version: 11, gate: toAddress('10.0.0.2:1')}));
	assert.ok(fixture.getStalledMs(performance.now()) < 50);
	fixture.current = {version: 11, text: 'eleven'};
	assert.equal(fixture.getStalledMs(performance.now()), 0);
});

test('a reported version that a later read of the store does not return is ignored, also when a node reports it again', async context => {
	let now = 1000;
	context.mock.method(performance, 'now', () => now);
	const fixture = createFixture(false, undefined);
	const claim = createSampleReport({node: toNodeId('n9'), version: 90});
	await fixture.fetch(claim);
	now += 2000;
	assert.equal(fixture.getStalledMs(now), 2000);
	fixture.recordStoreRead(1500);
	assert.equal(fixture.getStalledMs(now), 0);
	await fixture.fetch(claim);
	assert.deepEqual([fixture.fetches.length, fixture.getStalledMs(now + 2000)], [1, 0]);
	// Reports of another node, of another version, and of the same version after a change of the active one are not ignored.
	await fixture.fetch(newer);
	assert.equal(fixture.fetches.length, 2);
	await fixture.fetch({...claim, version: 91});
	assert.equal(fixture.fetches.length, 3);
	fixture.current = {version: 8, text: 'eight'};
	await fixture.fetch(claim);
	assert.equal(fixture.fetches.length, 4);
});

test('a version that is reported during a read of the store may be newer than the result', async context => {
	let now = 1000;
	context.mock.method(performance, 'now', () => now);
	const fixture = createFixture(false, undefined);
	await fixture.fetch(newer);
	fixture.recordStoreRead(900);
	now += 2000;
	assert.equal(fixture.getStalledMs(now), 2000);
	await fixture.fetch(newer);
	assert.equal(fixture.fetches.length, 2);
});

const createClaim = (name: string, version: number, domain = 'a') => createSampleReport({
	node: toNodeId(name), version, domain: toFailureDomain(domain), gate: toAddress(`10.0.0.${version}:1`),
});

// Guards against a node that gets a version that is replaced already, and then needs another fetch, while it knows of a node that is ahead.
test('a node that others are ahead of is not asked, unless nothing has come for a while', async context => {
	let now = 1000;
	context.mock.method(performance, 'now', () => now);
	const fixture = createFixture(false, undefined);
	await fixture.fetch(createClaim('n2', 12));
	await fixture.fetch(createClaim('n3', 9));
	assert.deepEqual(fixture.fetches, ['10.0.0.12:1 has 7']);
	now += 800;
	await fixture.fetch(createClaim('n3', 9));
	assert.deepEqual(fixture.fetches, ['10.0.0.12:1 has 7', '10.0.0.9:1 has 7']);
});

test('a delayed fetch asks the node that is ahead by then', async () => {
	const fixture = createFixture(false, undefined);
	const delayed = fixture.fetch(createClaim('n2', 9, 'b'));
	await fixture.fetch(createClaim('n3', 12, 'c'));
	await delayed;
	assert.deepEqual(fixture.fetches, ['10.0.0.12:1 has 7']);
});
