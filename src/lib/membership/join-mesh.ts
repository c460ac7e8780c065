/**
 * Joins a starting node to the mesh and decides when it may serve calls: only
 * once it has a configuration at least as new as the one that it had applied
 * before a restart.
 *
 * @module
 */
import {waitFor} from '../common/clock.js';
import {
	toAddress, toBackendServerId, type Address, type BackendServerId, type NodeId,
} from '../common/ids.js';
import {getRecord, listRecords} from '../directory/directory.js';
import {isUsable} from '../directory/node-record.js';
import {type DirectoryKeeper} from '../directory/directory-keeper.js';
import {type ConfigurationKeeper} from '../distribution/configuration-keeper.js';
import {type Distributor} from '../distribution/distributor.js';
import {peerTimeoutMs, type Peers} from '../distribution/peers.js';
import {readHead} from '../distribution/read-head.js';
import {decodeRecords, encodeRecord} from '../distribution/wire.js';
import {shuffleList} from '../common/shuffle-list.js';
import {type Store} from '../store/store.js';
import {type LamportClock} from '../timeline/lamport-clock.js';

/** @internal */
export type JoinContext = {
	readonly seeds: readonly Address[];
	readonly store: Store;
	readonly configuration: ConfigurationKeeper;
	readonly directory: DirectoryKeeper;
	readonly distributor: Distributor;
	readonly peers: Peers;
	readonly clock: LamportClock;
	readonly random: () => number;
	/** Called with the servers beside this node that were reported as leaving in earlier runs; also if there are none. */
	readonly handleLeavingServers: (servers: readonly BackendServerId[]) => void;
};

/** Number of seeds that get a join request in one round. */
const seedsPerRound = 3;

/** Maximum number of nodes from which the state is fetched in one round. */
const sourcesPerRound = 6;

/** Number of random members of this failure domain that get a join request in one round, besides relay and standby. */
const membersPerRound = 3;

const initialBackoffMs = 300;
const maximumBackoffMs = 5000;

/** Interval of join requests to unknown seeds, before jitter, while this node knows no other node. Once it knows one, `seedCheckMs` applies. */
const isolatedSeedCheckMs = 500;
const seedCheckMs = 10_000;

/** The response of a node to a join request, with its address. */
type PeerJoinResult = {
	readonly address: Address;
	/** Control addresses of nodes from which the full state can be fetched. */
	readonly helpers: readonly Address[];
	/** Whether the responding node serves calls itself. One that has only just started has no reliable state. */
	readonly isReady: boolean;
};

type JoinResult = {
	readonly isReady: boolean;
	/** Configuration version of the responding node. */
	readonly version: number;
	/** The highest configuration version that the joining node had reported to the responding node before; 0 if none. */
	readonly floor: number;
	/** Control addresses of nodes from which the full state can be fetched. */
	readonly helpers: readonly Address[];
};

async function sendJoinRequest({peers, clock, directory, handleLeavingServers}: JoinContext, address: Address, signal: AbortSignal): Promise<JoinResult | undefined> {
	try {
		const {eventTime, members, helpers, version, floor, ready, leavingServers} = await peers.getClient(address).join(
			{eventTime: BigInt(clock.getTime()), record: encodeRecord(directory.getOwnRecord())},
			{timeoutMs: peerTimeoutMs, signal},
		);
		clock.witness(Number(eventTime));
		handleLeavingServers(leavingServers.map(id => toBackendServerId(id)));
		decodeRecords(members).andTee(records => {
			directory.merge(records, {type: 'pull'});
		});
		return {
			version, floor, isReady: ready, helpers: helpers.map(helper => toAddress(helper.controlAddress)),
		};
	} catch {
		return undefined;
	}
}

/**
 * Sends join requests to seeds that are missing from the directory, periodically until the signal is aborted. Without
 * this, nodes that started at the same moment, or that a network partition separated before they knew one another,
 * would stay separated.
 *
 * @param context - The settings and the parts of the node that it uses.
 * @param signal - Stops the requests.
 * @returns Resolves after the signal is aborted.
 * @internal
 */
export async function joinUnknownSeeds(context: JoinContext, signal: AbortSignal): Promise<void> {
	const {seeds, directory, distributor, random} = context;
	while (!signal.aborted) {
		const records = listRecords(directory.getDirectory()).filter(record => isUsable(record));
		const known = new Set(records.map(record => record.controlAddress));
		const [unknown] = shuffleList(seeds.filter(address => !known.has(address)), random);
		const delayMs = records.length > 1 ? seedCheckMs : isolatedSeedCheckMs;
		await waitFor(delayMs * (0.5 + random()), signal);
		if (unknown !== undefined && await sendJoinRequest(context, unknown, signal) !== undefined) {
			await distributor.pullDirectory(unknown);
		}
	}
}

/**
 * Joins the mesh. Retries with exponential backoff and jitter until the node may serve calls.
 *
 * @param context - The settings and the parts of the node that it uses.
 * @param signal - Aborts the join.
 * @returns True when the node may serve calls; false if the signal was aborted.
 * @internal
 */
export async function joinMesh(context: JoinContext, signal: AbortSignal): Promise<boolean> {
	const {seeds, store, configuration, directory, distributor, random} = context;
	const self = directory.getOwnRecord().id;

	const joinPeer = async (address: Address): Promise<PeerJoinResult | undefined> => {
		const result = await sendJoinRequest(context, address, signal);
		if (result === undefined) {
			return undefined;
		}

		configuration.raiseFloor(Math.max(result.floor, result.version));
		return {address, helpers: result.helpers, isReady: result.isReady};
	};

	const joinPeers = async (addresses: readonly Address[]): Promise<readonly PeerJoinResult[]> => {
		const results = await Promise.all(addresses.map(async address => joinPeer(address)));
		return results.flatMap(result => result ?? []);
	};

	/** Returns the relay and the standby, which watch the store, and some other members, which may know the version that this node last reported. */
	const listMembersToJoin = (): readonly Address[] => {
		const {relay, standby} = distributor.getTreePosition();
		const others = shuffleList([...directory.getDirectory().domains.get(directory.getOwnRecord().failureDomain) ?? []], random);
		const chosen = new Set<NodeId>([relay, ...standby === undefined ? [] : [standby], ...others.slice(0, membersPerRound)]);
		chosen.delete(self);
		return [...chosen].flatMap(id => getRecord(directory.getDirectory(), id)?.controlAddress ?? []);
	};

	/** Lists the helpers before the nodes that responded: nodes that start together and know only the seeds would otherwise overload the seeds. */
	const listSources = (results: readonly PeerJoinResult[]): readonly Address[] => {
		const helpers = results.flatMap(result => result.helpers).filter(address => address !== directory.getOwnRecord().controlAddress);
		return [...new Set([...shuffleList(helpers, random), ...results.map(({address}) => address)])];
	};

	const pullFrom = async (results: readonly PeerJoinResult[]): Promise<void> => {
		const sources = listSources(results).slice(0, sourcesPerRound);
		for (const address of sources) {
			if (await distributor.pullDirectory(address)) {
				break;
			}
		}

		for (const address of sources) {
			if (configuration.getConfiguration().version >= configuration.getFloor()) {
				return;
			}

			await distributor.pullConfiguration(address, address);
		}
	};

	const readStore = async (): Promise<boolean> => {
		const head = await readHead(store, configuration.getConfiguration());
		return head.andTee(({configuration: current, deltas, record}) => {
			configuration.raiseFloor(record?.version ?? 0);
			configuration.applyIfNewer(current, deltas, 'store');
		}).isOk();
	};

	const hasReadyPeer = (results: readonly PeerJoinResult[]): boolean => results.some(result => result.isReady);

	const runRound = async (): Promise<boolean> => {
		const ownSeeds = seeds.filter(address => address !== directory.getOwnRecord().controlAddress);
		const seedResults = await joinPeers(shuffleList(ownSeeds, random).slice(0, seedsPerRound));
		const memberResults = await joinPeers(listMembersToJoin());
		await pullFrom([...memberResults, ...seedResults]);

		// The store is read only if no member of this failure domain is ready, so that nodes that restart together do not overload it.
		// If the store is unavailable, a ready seed of another failure domain is enough.
		const hasReliableSource = hasReadyPeer(memberResults) || await readStore() || hasReadyPeer(seedResults);
		return hasReliableSource && configuration.getConfiguration().version >= configuration.getFloor();
	};

	for (let round = 0; !signal.aborted; round++) {
		const isReady = await runRound();
		if (isReady) {
			return true;
		}

		await waitFor(Math.min(maximumBackoffMs, initialBackoffMs * (2 ** round)) * (0.5 + random()), signal);
	}

	return false;
}
