/**
 * Brings a node that starts into the mesh, and decides when it may serve: not
 * before it has what an earlier run of it had applied.
 *
 * @module
 */
import {waitFor} from '../common/clock.js';
import {toAddress, type Address, type NodeId} from '../common/ids.js';
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
};

/** Seeds that are asked in one round. */
const seedsPerRound = 3;

/** Nodes that the state is asked of in one round. */
const sourcesPerRound = 6;

/** Members of the own domain that are asked after the seeds. */
const membersPerRound = 3;

const initialBackoffMs = 300;
const maximumBackoffMs = 5000;

/** Milliseconds between two looks for seeds that this node does not know, while it knows nobody and later. */
const isolatedSeedCheckMs = 500;
const seedCheckMs = 10_000;

/** Who answered, and whom else the whole state can be fetched from. */
type PeerJoinResult = {
	readonly address: Address;
	readonly helpers: readonly Address[];
	/** Whether the node that answered serves itself; the word of one that has only just started proves nothing. */
	readonly isReady: boolean;
};

type JoinResult = {
	readonly isReady: boolean;
	readonly version: number;
	readonly floor: number;
	/** Control addresses of nodes that the whole state can be fetched from. */
	readonly helpers: readonly Address[];
};

async function sendJoinRequest({peers, clock, directory}: JoinContext, address: Address, signal: AbortSignal): Promise<JoinResult | undefined> {
	try {
		const {eventTime, members, helpers, version, floor, ready} = await peers.getClient(address).join(
			{eventTime: BigInt(clock.getTime()), record: encodeRecord(directory.getOwnRecord())},
			{timeoutMs: peerTimeoutMs, signal},
		);
		clock.witness(Number(eventTime));
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
 * Goes on looking for seeds that this node does not know: nodes that started at the same moment, or were cut apart
 * before they knew one another, would stay apart without it.
 *
 * @param context - What it works with.
 * @param signal - Ends the search.
 * @returns After the signal.
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
 * Joins the mesh. It comes back only when the node may serve.
 *
 * @param context - What it works with.
 * @param signal - Gives up.
 * @returns Whether the node may serve; false after the signal.
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

	/** The relay and standby watch the store, and the others may remember this node. */
	const listMembersToAsk = (): readonly Address[] => {
		const {relay, standby} = distributor.getPlace();
		const others = shuffleList([...directory.getDirectory().domains.get(directory.getOwnRecord().failureDomain) ?? []], random);
		const chosen = new Set<NodeId>([relay, ...standby === undefined ? [] : [standby], ...others.slice(0, membersPerRound)]);
		chosen.delete(self);
		return [...chosen].flatMap(id => getRecord(directory.getDirectory(), id)?.controlAddress ?? []);
	};

	/** Helpers go first: a herd that knows only the seeds must not fetch everything from them. */
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
			configuration.adopt(current, deltas, 'store');
		}).isOk();
	};

	const hasReadyPeer = (results: readonly PeerJoinResult[]): boolean => results.some(result => result.isReady);

	const runRound = async (): Promise<boolean> => {
		const ownSeeds = seeds.filter(address => address !== directory.getOwnRecord().controlAddress);
		const seedResults = await joinPeers(shuffleList(ownSeeds, random).slice(0, seedsPerRound));
		const memberResults = await joinPeers(listMembersToAsk());
		await pullFrom([...memberResults, ...seedResults]);

		// The store is asked only by a node that nobody in its own failure domain could help: a herd that restarts must not fall on it.
		// While the store is down, the word of another domain has to do.
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
