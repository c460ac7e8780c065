import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {err, ok} from 'neverthrow';
import {toAddress, toNodeId} from '../common/ids.js';
import {type PeerLink} from '../peers/peer-link.js';
import {createSampleReport} from '../peers/sample-report.js';
import {type MeshStore} from '../store/mesh-store.js';
import {silentLog} from '../timeline/mesh-log.js';
import {silentRefusalLog} from '../timeline/refusal-log.js';
import {createConfigSync, type ConfigSync} from './config-sync.js';

/** Starts a node without peers, with a store in era 1 that holds no configuration and whose watches hang. */
function startSync(context: TestContext, changes: Partial<MeshStore> = {}): {readonly sync: ConfigSync; readonly countReads: () => number} {
	let reads = 0;
	const position = {era: 1, revision: 5};
	const store: Partial<MeshStore> = {
		async readItem(key) {
			reads += key === 'k' ? 1 : 0;
			return ok({items: [], position});
		},
		watchItems: async (_prefix, _after, _waitMs, signal) => new Promise(resolve => {
			signal.addEventListener('abort', () => {
				resolve(err({type: 'unavailable', reason: 'aborted'}));
			});
		}),
		listItems: async () => ok({items: [], position}),
		grantLease: async () => ok({era: 1, id: 1}),
		putItem: async () => ok(position),
		renewLease: async () => ok(true),
		getEra: () => 1,
		watchEra: () => undefined,
		dispose: () => undefined,
		...changes,
	};
	const link = {
		table: {
			size: 0, listOwnDomain: () => [], countDomains: () => 1, hasGossipAddress: () => false,
		}, addSeedAddresses: () => undefined, countSilent: () => 0,
	} as unknown as PeerLink;
	const sync = createConfigSync({
		store: store as MeshStore, configKey: 'k', decodeConfig: () => err('none'), self: toNodeId('n1'), gossip: toAddress('10.0.0.1:2'), linkMbps: 10, link,
		peerLimits: {
			silenceMs: 1000, probeMs: 500, forgetMs: 60_000, avoidMs: 250, getPeriodMs: () => 400,
		},
		isInOwnDomain: () => true, fetchConfig: async () => err({type: 'nothing', reason: 'none'}), log: silentLog, refusals: silentRefusalLog, random: () => 0,
		suspects: {listQuarantined: () => [], handleRecords: () => undefined}, handleListedDepartures: () => undefined, rollouts: undefined, handleConfigApplied: () => undefined,
	});
	context.after(sync.dispose);
	sync.start();
	return {sync, countReads: () => reads};
}

const createReport = (storeEra: number) => createSampleReport({
	version: 0, duties: {
		linkMbps: 10, isFollowing: true, storeSeenMs: 10, storeEra,
	},
});

test('a node whose watch hangs resyncs with the store when another node reports a later era, at most once per era and once a second', async context => {
	const {sync, countReads} = startSync(context);
	await sleep(50);
	assert.equal(countReads(), 1);
	sync.handleReport(createReport(1));
	await sleep(50);
	assert.equal(countReads(), 1, 'a report of the known era caused a read');
	sync.handleReport(createReport(2));
	await sleep(50);
	assert.equal(countReads(), 2);
	for (const era of [2, 3, 4, 1000]) {
		sync.handleReport(createReport(era));
	}

	await sleep(50);
	assert.equal(countReads(), 2);
});

test('a report of an era far ahead does not block the resync for the next era', async context => {
	const {sync, countReads} = startSync(context);
	await sleep(50);
	sync.handleReport(createReport(1_000_000));
	await sleep(1100);
	sync.handleReport(createReport(2));
	await sleep(50);
	assert.equal(countReads(), 3);
});

// Guards against nodes that rely on a relay whose other calls on the store succeed while its link delays a newer configuration.
test('a node whose link delays a newer configuration does not report that it has just confirmed its own', async context => {
	const {sync} = startSync(context, {
		watchItems: async (_prefix, _after, _waitMs, signal, receive) => new Promise(resolve => {
			receive?.({changes: 1, elapsedMs: 0, maxValueBytes: undefined});
			signal.addEventListener('abort', () => {
				resolve(err({type: 'unavailable', reason: 'aborted'}));
			});
		}),
	});
	await sleep(1400);
	const {isFollowing, storeSeenMs = 0} = sync.describeDuties();
	assert.equal(isFollowing, true);
	assert.ok(storeSeenMs >= 1300, `${storeSeenMs} ms`);
});
