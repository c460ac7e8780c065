/**
 * The relay's watch of the store.
 *
 * Guards against a relay that uses up its node's budget of store calls while the key `head` does not exist, as in a store that was restored empty. The store answers
 * a watch of a missing key immediately, without a value. If the relay takes that answer for a watch that timed out without a change, it watches again without a pause:
 * 68 calls in half a second, with two more refused by the budget. The node then refuses the operator's `republish` with "the snapshot could not be written
 * (unavailable)", although the store is available.
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'node:test';
import {createMemoryStore} from '../../../stand-ins/store/memory-store.js';
import {waitUntil} from '../../../stand-ins/wait-until.js';
import {createConfiguration, prepareDelta} from '../configuration/configuration.js';
import {samplePool} from '../configuration/sample-items.js';
import {toFailureDomain, toNodeId} from '../common/ids.js';
import {createBudgetedStore} from '../store/budgeted-store.js';
import {createLamportClock} from '../timeline/lamport-clock.js';
import {createTimeline} from '../timeline/timeline.js';
import {createConfigurationKeeper} from './configuration-keeper.js';
import {headKey, type HeadRecord} from './head-record.js';
import {createRelayWatch} from './relay-watch.js';
import {republishHead} from './republish.js';
import {writeSnapshot} from './snapshot.js';

test('a relay that watches a store restored empty leaves store calls for the operator, and sees the new head', async context => {
	const configuration = prepareDelta(createConfiguration(), [{type: 'put', item: {...samplePool, name: 'p1'}}], []).next;
	const memory = createMemoryStore({latencyMs: 0});
	const key = (await writeSnapshot(memory, configuration))._unsafeUnwrap();
	const record: HeadRecord = {
		format: 1, version: configuration.version, digest: configuration.digest, deltas: [], pages: [], snapshot: {version: configuration.version, key},
	};
	await memory.write({key: headKey, value: JSON.stringify(record), expectedRevision: 0});
	const store = createBudgetedStore(memory, {perSecond: 20, burst: 60});
	const keeper = createConfigurationKeeper(() => undefined);
	const noteReason = (): void => undefined;
	const watch = createRelayWatch({
		store, timeline: createTimeline(toNodeId('n1'), createLamportClock()), domain: toFailureDomain('a'), random: () => 0.5,
		configuration: keeper, setLagReason: noteReason,
	});
	context.after(watch.dispose);
	watch.update(true);
	await waitUntil(() => keeper.getConfiguration().version === configuration.version && store.getCounts().watches >= 2, 2000);
	memory.restoreBackup([]);
	await sleep(500);
	const {watches, refused} = store.getCounts();
	assert.equal(refused, 0, `${watches} calls, ${refused} refused`);
	assert.ok(watches <= 6, `${watches} calls`);
	assert.equal((await republishHead(store, configuration)).isOk(), true);
	assert.equal(await waitUntil(() => store.getCounts().watches > watches, 2000), true, 'the relay did not see the new head');
});
