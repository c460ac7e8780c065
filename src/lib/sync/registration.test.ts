import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {err, ok} from 'neverthrow';
import {toAddress, toNodeId} from '../common/ids.js';
import {type MeshStore} from '../store/mesh-store.js';
import {silentLog} from '../timeline/mesh-log.js';
import {silentRefusalLog} from '../timeline/refusal-log.js';
import {createRegistration} from './registration.js';
import {createStoreHealth} from './store-health.js';

type Fixture = {
	/** Number of calls to the store by name. */
	readonly counts: Map<string, number>;
	/** Returns whether the store holds the entry of the node. */
	readonly hasEntry: () => boolean;
	/** Makes the store unavailable, and ends all leases. */
	readonly stopStore: () => void;
	readonly startStore: () => void;
	readonly advance: (milliseconds: number) => Promise<void>;
	readonly withdraw: () => Promise<void>;
	/** Delays the answers to writes until the returned function is called. */
	readonly delayAnswers: () => () => void;
};

/** Current position of the store. */
const at = {era: 1, revision: 9} as const;

/** Starts the registration of a node among other nodes, with a clock that the test advances. */
function startFixture(context: TestContext, peers: number, {isFollowing = false, silent = 0} = {}): Fixture {
	context.mock.timers.enable({apis: ['setTimeout']});
	let now = 0;
	context.mock.method(performance, 'now', () => now);
	const counts = new Map<string, number>();
	const leases = new Set<number>();
	let nextLease = 1;
	let entryLease: number | undefined;
	let isUnavailable = false;
	/** Resolves when writes may be answered. */
	let answered: Promise<void> = Promise.resolve();
	const call = <Value>(name: string, answer: () => Value) => {
		counts.set(name, (counts.get(name) ?? 0) + 1);
		return isUnavailable ? err({type: 'unavailable' as const, reason: 'store is down'}) : ok(answer());
	};

	const hasEntry = (): boolean => entryLease !== undefined && leases.has(entryLease);
	const key = 'stonemoor/nodes/n1';
	const store: Pick<MeshStore, 'listItems' | 'putItem' | 'grantLease' | 'renewLease' | 'removeItem'> = {
		listItems: async () => call('list', () => ({items: hasEntry() ? [{key, value: '10.0.0.1:1', revision: 1}] : [], position: at})),
		async putItem(_key, _value, lease) {
			const put = call('put', () => {
				entryLease = lease.id;
				return at;
			});
			await answered;
			return put;
		},
		grantLease: async () => call('grant', () => {
			leases.add(nextLease);
			return {era: at.era, id: nextLease++};
		}),
		renewLease: async ({id}) => call('renew', () => leases.has(id)),
		removeItem: async () => call('end', () => {
			entryLease = undefined;
		}),
	};
	const registration = createRegistration({
		store: store as unknown as MeshStore, health: createStoreHealth(silentLog, () => undefined), self: toNodeId('n1'), gossip: toAddress('10.0.0.1:1'), log: silentLog,
		random: () => 0.5, isFollowing: () => isFollowing, countPeers: () => peers, countSilent: () => silent, isKnown: () => false, refusals: silentRefusalLog,
		handleAddresses: () => undefined, handleOtherItems: () => undefined,
	});
	context.after(registration.dispose);
	void registration.run();
	return {
		counts, hasEntry,
		withdraw: registration.withdraw,
		delayAnswers() {
			let release = (): void => undefined;
			answered = new Promise(resolve => {
				release = resolve;
			});
			return release;
		},
		stopStore() {
			isUnavailable = true;
			leases.clear();
		},
		startStore() {
			isUnavailable = false;
		},
		async advance(milliseconds) {
			for (let elapsedMs = 0; elapsedMs < milliseconds; elapsedMs += 100) {
				now += 100;
				context.mock.timers.tick(100);
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}
		},
	};
}

test('in a large mesh, almost all calls to the store are lease renewals', async context => {
	const {counts, hasEntry, advance} = startFixture(context, 194);
	await advance(30_000);
	assert.equal(hasEntry(), true);
	assert.deepEqual([counts.get('grant'), counts.get('put')], [1, 1]);
	const checks = (counts.get('renew') ?? 0) + (counts.get('list') ?? 0);
	assert.ok(checks <= 16, `${checks} checks`);
	assert.ok((counts.get('list') ?? 0) <= 2);
});

test('in a small mesh, the lease is renewed and the nodes are listed every four seconds', async context => {
	const {counts, advance} = startFixture(context, 12);
	await advance(30_000);
	assert.ok((counts.get('renew') ?? 0) >= 6);
	assert.ok((counts.get('list') ?? 0) >= 6);
	assert.equal(counts.get('grant'), 1);
});

test('in a large mesh, a relay that does not hear from some nodes lists the store every two seconds, and renews its lease in between', async context => {
	const {counts, advance} = startFixture(context, 194, {isFollowing: true, silent: 3});
	await advance(30_000);
	assert.ok((counts.get('list') ?? 0) >= 13);
	assert.ok((counts.get('renew') ?? 0) >= 13);
});

for (const [name, peers, downMs] of [
	['large mesh, long outage', 194, 9000],
	['large mesh, outage too short for a failed call', 194, 200],
	['small mesh, long outage', 12, 9000],
] as const) {
	test(`an entry that expired during an outage of the store is rewritten within two seconds after it: ${name}`, async context => {
		const {hasEntry, stopStore, startStore, advance} = startFixture(context, peers);
		await advance(5000);
		assert.equal(hasEntry(), true);
		stopStore();
		assert.equal(hasEntry(), false);
		await advance(downMs);
		startStore();
		await advance(2000);
		assert.equal(hasEntry(), true);
	});
}

test('an entry whose write was not answered yet when the node withdrew is removed', async context => {
	const {hasEntry, withdraw, delayAnswers, advance} = startFixture(context, 12);
	const release = delayAnswers();
	await advance(100);
	assert.equal(hasEntry(), true);
	await withdraw();
	release();
	await advance(100);
	assert.equal(hasEntry(), false);
});
