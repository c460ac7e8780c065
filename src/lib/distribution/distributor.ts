/**
 * Passes news on: newer versions of the configuration and newer records of the
 * directory, along the tree of this failure domain and between relays.
 *
 * Nothing here is needed for a promise. News that gets lost is found by the
 * random check and pulled.
 *
 * @module
 */
import {type ConfigurationBucket} from '../generated/stonemoor/v1/node_pb.js';
import {settle} from '../common/settle.js';
import {listShortBucketDigests} from '../common/digest-tree.js';
import {
	type Address, type FailureDomain, type NodeId, toDigest, toSubmissionId,
} from '../common/ids.js';
import {type Delta} from '../configuration/configuration.js';
import {getRecord} from '../directory/directory.js';
import {type DirectoryKeeper, type RecordSource} from '../directory/directory-keeper.js';
import {type NodeRecord} from '../directory/node-record.js';
import {type MemberList} from '../membership/member-list.js';
import {type LamportClock} from '../timeline/lamport-clock.js';
import {type Timeline} from '../timeline/timeline.js';
import {type ConfigurationChange, type ConfigurationKeeper} from './configuration-keeper.js';
import {findTreePlace, type TreePlace} from './distribution-tree.js';
import {peerTimeoutMs, type Peers} from './peers.js';
import {
	decodeBuckets, decodeDeltas, decodeRecords, encodeDelta, encodeRecord,
} from './wire.js';

/** @public */
export type DistributionSettings = {
	/** Children of each node in the tree. */
	readonly fanOut: number;
	/** Milliseconds for which newer versions are gathered before they are passed on. */
	readonly batchWindowMs: number;
};

/** Milliseconds for which directory news is gathered: a server that comes up tells its state several times. */
const recordWindowMs = 200;

/** @internal */
export type DistributorContext = {
	readonly settings: DistributionSettings;
	readonly self: NodeId;
	readonly domain: FailureDomain;
	readonly controlAddress: Address;
	readonly configuration: ConfigurationKeeper;
	readonly directory: DirectoryKeeper;
	readonly members: MemberList;
	readonly peers: Peers;
	readonly clock: LamportClock;
	readonly timeline: Timeline;
};

/** @internal */
export type Distributor = {
	readonly getPlace: () => TreePlace;
	readonly isRelay: () => boolean;
	/** Passes on a newer version. */
	readonly handleConfiguration: (change: ConfigurationChange) => void;
	/** Passes on newer records. */
	readonly handleRecords: (records: readonly NodeRecord[], source: RecordSource) => void;
	/** Fetches what this node lacks of the configuration from another. */
	readonly pullConfiguration: (address: Address, from: string) => Promise<boolean>;
	/** Fetches the records in which this node and another differ. */
	readonly pullDirectory: (address: Address) => Promise<boolean>;
	/** The relay of every other failure domain, as far as known. */
	readonly listOtherRelays: () => readonly NodeRecord[];
	/** The relays and standbys of the other failure domains. */
	readonly listOtherWatchers: () => readonly NodeRecord[];
	readonly dispose: () => void;
};

type Pending<T> = {
	readonly items: readonly T[];
	readonly timer: NodeJS.Timeout;
};

/**
 * Creates the distributor of a node.
 *
 * @param context - What it works with.
 * @returns The distributor.
 * @internal
 */
export function createDistributor(context: DistributorContext): Distributor {
	const {settings, self, domain, configuration, directory, members, peers, clock, timeline} = context;
	let pendingDeltas: Pending<Delta> | undefined;
	let hasOwnChange = false;
	const pendingRecords = new Map<Address, Pending<NodeRecord>>();
	let pull: Promise<boolean> | undefined;
	let isDisposed = false;

	const getPlace = (): TreePlace => findTreePlace(members.listAliveMembers(domain), self, settings.fanOut);
	const isRelay = (): boolean => getPlace().relay === self;
	const findAddress = (id: NodeId): Address | undefined => getRecord(directory.getDirectory(), id)?.controlAddress;
	const findRecords = (ids: readonly NodeId[]): readonly NodeRecord[] => ids.flatMap(id => getRecord(directory.getDirectory(), id) ?? []);

	const listFirst = (count: number): readonly NodeRecord[] => members.listDomains()
		.filter(other => other !== domain)
		.flatMap(other => findRecords(members.listAliveMembers(other).slice(0, count)));
	const listOtherRelays = (): readonly NodeRecord[] => listFirst(1);
	const listOtherWatchers = (): readonly NodeRecord[] => listFirst(2);

	const listChildren = (): readonly Address[] => getPlace().children.flatMap(id => findAddress(id) ?? []);

	const pushDeltas = async (address: Address, deltas: readonly Delta[]): Promise<void> => {
		const request = {
			eventTime: BigInt(clock.getTime()),
			from: self,
			deltas: deltas.map(delta => encodeDelta(delta)),
			version: configuration.getConfiguration().version,
			controlAddress: context.controlAddress,
		};
		// A push that fails is not repeated: the random check finds whoever missed it.
		const reply = await settle(peers.getClient(address).pushDeltas(request, {timeoutMs: peerTimeoutMs}));
		clock.witness(Number(reply?.eventTime ?? 0));
	};

	const flushDeltas = (): void => {
		const deltas = pendingDeltas?.items ?? [];
		pendingDeltas = undefined;
		const targets = new Set(listChildren());
		const place = getPlace();
		if (hasOwnChange && place.relay !== self) {
			const relayAddress = findAddress(place.relay);
			if (relayAddress !== undefined) {
				targets.add(relayAddress);
			}
		}

		hasOwnChange = false;
		for (const address of targets) {
			void pushDeltas(address, deltas);
		}
	};

	const handleConfiguration = ({deltas, from}: ConfigurationChange): void => {
		hasOwnChange ||= from === 'own';
		// Only the root waits for more to come; further down the same wait would be added once a level.
		const waitMs = isRelay() ? settings.batchWindowMs : 0;
		const isBroken = deltas.length === 0;
		const timer = pendingDeltas?.timer ?? setTimeout(flushDeltas, waitMs);
		pendingDeltas = {timer, items: isBroken ? [] : [...pendingDeltas?.items ?? [], ...deltas]};
	};

	const flushRecords = (address: Address): void => {
		const records = pendingRecords.get(address)?.items ?? [];
		pendingRecords.delete(address);
		const request = {eventTime: BigInt(clock.getTime()), from: self, records: records.map(record => encodeRecord(record))};
		void settle(peers.getClient(address).pushRecords(request, {timeoutMs: peerTimeoutMs}));
	};

	const queueRecords = (address: Address, records: readonly NodeRecord[]): void => {
		const pending = pendingRecords.get(address);
		const timer = pending?.timer ?? setTimeout(() => {
			flushRecords(address);
		}, recordWindowMs);
		const ids = new Set(records.map(record => record.id));
		const kept = pending?.items.filter(record => !ids.has(record.id)) ?? [];
		pendingRecords.set(address, {timer, items: [...kept, ...records]});
	};

	const listRecordTargets = (from: NodeId | undefined): readonly Address[] => {
		const place = getPlace();
		const children = listChildren();
		const sender = from === undefined ? undefined : getRecord(directory.getDirectory(), from);
		if (place.relay === self) {
			const isFromOutside = sender !== undefined && sender.failureDomain !== domain;
			return isFromOutside ? children : [...children, ...listOtherRelays().map(record => record.controlAddress)];
		}

		const relayAddress = findAddress(place.relay);
		return from !== place.parent && relayAddress !== undefined ? [...children, relayAddress] : children;
	};

	const handleRecords = (records: readonly NodeRecord[], source: RecordSource): void => {
		// What was pulled is old news to most others, and there may be thousands of records of it.
		if (isDisposed || source.type === 'pull') {
			return;
		}

		const from = source.type === 'push' ? source.from : undefined;
		const sender = from === undefined ? undefined : findAddress(from);
		for (const address of listRecordTargets(from)) {
			if (address !== sender && address !== context.controlAddress) {
				queueRecords(address, records);
			}
		}
	};

	const recordRefusal = (version: number, reason: string, from: string): void => {
		timeline.record({
			kind: 'configuration-refused', version, reason, from,
		});
	};

	const applyPulled = async (address: Address, from: string): Promise<boolean> => {
		const client = peers.getClient(address);
		const current = configuration.getConfiguration();
		const base = {
			eventTime: BigInt(clock.getTime()), from: self, version: current.version, digest: current.digest,
		};
		let reply = await client.pullConfiguration(base, {timeoutMs: peerTimeoutMs});
		clock.witness(Number(reply.eventTime));
		if (reply.needsBucketDigests) {
			reply = await client.pullConfiguration({...base, bucketDigests: [...listShortBucketDigests(current.tree)]}, {timeoutMs: peerTimeoutMs * 4});
		}

		if (reply.version <= current.version) {
			return true;
		}

		if (reply.deltas.length > 0) {
			return decodeDeltas(reply.deltas)
				.andThen(deltas => configuration.applyDeltas(deltas, from))
				.mapErr(error => {
					recordRefusal(reply.version, error.type, from);
				})
				.isOk();
		}

		return applyPulledImage(reply, from);
	};

	type PulledImage = {
		readonly version: number;
		readonly digest: string;
		readonly parentDigest: string;
		readonly buckets: readonly ConfigurationBucket[];
		readonly submissions: ReadonlyArray<{readonly id: string; readonly version: number}>;
	};

	const applyPulledImage = (reply: PulledImage, from: string): boolean => decodeBuckets(reply.buckets)
		.andThen(buckets => configuration.applyImage({
			version: reply.version,
			digest: toDigest(reply.digest),
			parentDigest: toDigest(reply.parentDigest),
			buckets,
			submissions: reply.submissions.map(({id, version}) => ({id: toSubmissionId(id), version})),
		}, from))
		.mapErr(error => {
			recordRefusal(reply.version, error.type, from);
		})
		.isOk();

	const runPull = async (address: Address, from: string): Promise<boolean> => {
		const isApplied = await settle(applyPulled(address, from));
		pull = undefined;
		return isApplied ?? false;
	};

	const pullConfiguration = async (address: Address, from: string): Promise<boolean> => {
		// One pull at a time: whoever asks meanwhile gets the result of the one under way.
		pull ??= runPull(address, from);
		return pull;
	};

	const pullDirectory = async (address: Address): Promise<boolean> => {
		try {
			const reply = await peers.getClient(address).pullDirectory({
				eventTime: BigInt(clock.getTime()), from: self, bucketDigests: [...directory.listBucketDigests()],
			}, {timeoutMs: peerTimeoutMs});
			clock.witness(Number(reply.eventTime));
			return decodeRecords(reply.records).andTee(records => {
				directory.merge(records, {type: 'pull'});
			}).isOk();
		} catch {
			return false;
		}
	};

	return {
		getPlace,
		isRelay,
		handleConfiguration,
		handleRecords,
		pullConfiguration,
		pullDirectory,
		listOtherRelays,
		listOtherWatchers,
		dispose() {
			isDisposed = true;
			clearTimeout(pendingDeltas?.timer);
			for (const {timer} of pendingRecords.values()) {
				clearTimeout(timer);
			}

			pendingRecords.clear();
		},
	};
}
