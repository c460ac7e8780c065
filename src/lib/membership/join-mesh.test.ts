import assert from 'node:assert/strict';
import test from 'node:test';
import {createMemoryStore, type MemoryStore} from '../../../stand-ins/store/memory-store.js';
import {toAddress, toNodeId, type Address} from '../common/ids.js';
import {createConfiguration, prepareDelta, type Delta} from '../configuration/configuration.js';
import {samplePool} from '../configuration/sample-items.js';
import {createDirectoryKeeper} from '../directory/directory-keeper.js';
import {getRecord} from '../directory/directory.js';
import {createRecord} from '../directory/sample-records.js';
import {createConfigurationKeeper} from '../distribution/configuration-keeper.js';
import {type Distributor} from '../distribution/distributor.js';
import {type PeerClient, type Peers} from '../distribution/peers.js';
import {encodeRecord} from '../distribution/wire.js';
import {createLamportClock} from '../timeline/lamport-clock.js';
import {joinMesh, type JoinContext} from './join-mesh.js';

const deltas: Delta[] = [];
let last = createConfiguration();
for (let version = 1; version <= 5; version++) {
	const step = prepareDelta(last, [{type: 'put', item: {...samplePool, slowStartMs: version}}], []);
	deltas.push(step.delta);
	last = step.next;
}

/** The responses that another node gives to the joining node. */
type Peer = {
	readonly version: number;
	readonly floor?: number;
	readonly helpers?: readonly string[];
	readonly members?: readonly string[];
	readonly refusesState?: boolean;
	/** Whether the node has only just started and does not serve calls yet. */
	readonly isNotReady?: boolean;
};

type Fake = {
	readonly context: JoinContext;
	readonly store: MemoryStore;
	/** Nodes from which the state was requested, in order. */
	readonly sources: string[];
	readonly peers: Map<string, Peer>;
};

function createFake(initial: Readonly<Record<string, Peer>>): Fake {
	const peers = new Map(Object.entries(initial));
	const sources: string[] = [];
	const store = createMemoryStore({latencyMs: 0});
	const configuration = createConfigurationKeeper(() => undefined);
	const directory = createDirectoryKeeper(createRecord('self', {controlAddress: toAddress('self')}), () => undefined);
	const encodePeer = (name: string): ReturnType<typeof encodeRecord> => encodeRecord(createRecord(name, {controlAddress: toAddress(name)}));
	const getClient = (address: Address): PeerClient => ({
		async join() {
			const peer = peers.get(address);
			if (peer === undefined) {
				throw new Error('connection refused');
			}

			return {
				eventTime: 0n,
				ready: peer.isNotReady !== true,
				version: peer.version,
				floor: peer.floor ?? 0,
				leavingServers: [],
				members: (peer.members ?? []).map(name => encodePeer(name)),
				helpers: (peer.helpers ?? []).map(name => encodePeer(name)),
			};
		},
	}) as unknown as PeerClient;
	const distributor = {
		getTreePosition: () => ({
			relay: toNodeId(getRecord(directory.getDirectory(), toNodeId('relay')) === undefined ? 'self' : 'relay'),
			standby: undefined,
			parent: undefined,
			children: [],
		}),
		async pullDirectory(address: Address) {
			sources.push(address);
			return peers.get(address)?.refusesState !== true;
		},
		async pullConfiguration(address: Address) {
			const peer = peers.get(address);
			if (peer === undefined || peer.refusesState) {
				return false;
			}

			configuration.applyDeltas(deltas.slice(0, peer.version), address);
			return true;
		},
	} as unknown as Distributor;
	return {
		store, sources, peers, context: {
			seeds: [toAddress('seed')], store, configuration, directory, distributor, peers: {getClient, dispose: () => undefined} satisfies Peers, clock: createLamportClock(), random: () => 0, handleLeavingServers: () => undefined,
		},
	};
}

const neverAborted = new AbortController().signal;

test('a node does not serve before it has the highest version that it had reported to another node', async () => {
	const {context, peers} = createFake({
		seed: {version: 3, members: ['relay']}, relay: {version: 3, floor: 5, members: ['relay']},
	});
	const joining = joinMesh(context, neverAborted);
	await new Promise(resolve => {
		setTimeout(resolve, 60);
	});
	assert.equal(context.configuration.getConfiguration().version, 3);
	assert.equal(context.configuration.getFloor(), 5);
	peers.set('relay', {version: 5, floor: 5, members: ['relay']});
	assert.equal(await joining, true);
	assert.equal(context.configuration.getConfiguration().version, 5);
});

test('fetches the full state from helpers before seeds, and from the next helper when one is busy', async () => {
	const {context, sources} = createFake({
		seed: {version: 4, members: ['relay'], helpers: ['busy', 'free']}, relay: {version: 4}, busy: {version: 4, refusesState: true}, free: {version: 4},
	});
	assert.equal(await joinMesh(context, neverAborted), true);
	assert.equal(sources.includes('seed'), false);
	assert.equal(sources.at(-1), 'free');
	assert.equal(context.configuration.getConfiguration().version, 4);
});

test('reads the store only if no member of its own failure domain is ready', async () => {
	const helped = createFake({seed: {version: 2, members: ['relay']}, relay: {version: 2}});
	await joinMesh(helped.context, neverAborted);
	assert.equal(helped.store.getCallCounts().reads, 0);

	const withoutPeers = createFake({});
	assert.equal(await joinMesh(withoutPeers.context, neverAborted), true);
	assert.equal(withoutPeers.store.getCallCounts().reads, 1);
});

test('members that have only just started are no reliable source: when a whole failure domain restarts, its nodes do not serve an empty configuration', async () => {
	const fake = createFake({seed: {version: 0, members: ['relay'], isNotReady: true}, relay: {version: 0, isNotReady: true}});
	assert.equal(await joinMesh(fake.context, neverAborted), true);
	assert.equal(fake.store.getCallCounts().reads, 1);

	const cutOff = createFake({seed: {version: 0, members: ['relay'], isNotReady: true}, relay: {version: 0, isNotReady: true}});
	cutOff.store.setFaults({isDown: true});
	const abort = new AbortController();
	const joining = joinMesh(cutOff.context, abort.signal);
	setTimeout(() => {
		abort.abort();
	}, 100);
	assert.equal(await joining, false);
});

test('a node does not serve if neither a member nor the store answers', async () => {
	const fake = createFake({});
	fake.store.setFaults({isDown: true});
	const abort = new AbortController();
	const joining = joinMesh(fake.context, abort.signal);
	setTimeout(() => {
		abort.abort();
	}, 100);
	assert.equal(await joining, false);
});
