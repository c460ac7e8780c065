/**
 * Pushes newer configuration versions and newer directory records along the
 * distribution tree of this failure domain, and records between relays. Pulls
 * newer versions and records from other nodes.
 *
 * Pushes are best effort. Anti-entropy finds updates that were lost and pulls
 * them.
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
import {findTreePosition, type TreePosition} from './distribution-tree.js';
import {peerTimeoutMs, type Peers} from './peers.js';
import {
	decodeBuckets, decodeDeltas, decodeRecords, encodeDelta, encodeRecord,
} from './wire.js';

/** @public */
export type DistributionSettings = {
	/** Maximum number of children of a node in the distribution tree. */
	readonly fanOut: number;
	/** Time for which the relay collects newer versions before it pushes them. */
	readonly batchWindowMs: number;
};

/** Time for which directory records are collected before they are pushed, because a starting server changes its record several times. */
const recordBatchWindowMs = 200;

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
	readonly getTreePosition: () => TreePosition;
	readonly isRelay: () => boolean;
	/** Pushes a newer version to the children, and also to the relay if its source is `own`. */
	readonly handleConfigurationChange: (change: ConfigurationChange) => void;
	/** Pushes newer records along the tree and, on the relay, to the other relays. Pulled records are not pushed. */
	readonly handleRecords: (records: readonly NodeRecord[], source: RecordSource) => void;
	/** Pulls a newer configuration from another node; returns whether that succeeded. */
	readonly pullConfiguration: (address: Address, from: string) => Promise<boolean>;
	/** Pulls the directory records in which another node differs from this one; returns whether that succeeded. */
	readonly pullDirectory: (address: Address) => Promise<boolean>;
	/** Returns the known relays of the other failure domains. */
	readonly listOtherDomainRelays: () => readonly NodeRecord[];
	/** Returns the known relays and standbys of the other failure domains. */
	readonly listOtherDomainWatchers: () => readonly NodeRecord[];
	readonly dispose: () => void;
};

type PendingBatch<T> = {
	readonly items: readonly T[];
	readonly timer: NodeJS.Timeout;
};

/**
 * Creates the distributor of a node.
 *
 * @param context - The dependencies.
 * @returns The distributor.
 * @internal
 */
export function createDistributor(context: DistributorContext): Distributor {
	const {settings, self, domain, configuration, directory, members, peers, clock, timeline} = context;
	let pendingDeltas: PendingBatch<Delta> | undefined;
	let hasOwnChange = false;
	const pendingRecords = new Map<Address, PendingBatch<NodeRecord>>();
	let pullInFlight: Promise<boolean> | undefined;
	let isDisposed = false;

	const getTreePosition = (): TreePosition => findTreePosition(members.listAliveMembers(domain), self, settings.fanOut);
	const isRelay = (): boolean => getTreePosition().relay === self;
	const findAddress = (id: NodeId): Address | undefined => getRecord(directory.getDirectory(), id)?.controlAddress;
	const findRecords = (ids: readonly NodeId[]): readonly NodeRecord[] => ids.flatMap(id => getRecord(directory.getDirectory(), id) ?? []);

	const listFirstOfOtherDomains = (count: number): readonly NodeRecord[] => members.listDomains()
		.filter(other => other !== domain)
		.flatMap(other => findRecords(members.listAliveMembers(other).slice(0, count)));
	const listOtherDomainRelays = (): readonly NodeRecord[] => listFirstOfOtherDomains(1);
	const listOtherDomainWatchers = (): readonly NodeRecord[] => listFirstOfOtherDomains(2);

	const listChildren = (): readonly Address[] => getTreePosition().children.flatMap(id => findAddress(id) ?? []);

	const pushDeltas = async (address: Address, deltas: readonly Delta[]): Promise<void> => {
		const request = {
			eventTime: BigInt(clock.getTime()),
			from: self,
			deltas: deltas.map(delta => encodeDelta(delta)),
			version: configuration.getConfiguration().version,
			controlAddress: context.controlAddress,
		};
		// A failed push is not retried: anti-entropy repairs it.
		const reply = await settle(peers.getClient(address).pushDeltas(request, {timeoutMs: peerTimeoutMs}));
		clock.witness(Number(reply?.eventTime ?? 0));
	};

	const flushDeltas = (): void => {
		const deltas = pendingDeltas?.items ?? [];
		pendingDeltas = undefined;
		const targets = new Set(listChildren());
		const position = getTreePosition();
		if (hasOwnChange && position.relay !== self) {
			const relayAddress = findAddress(position.relay);
			if (relayAddress !== undefined) {
				targets.add(relayAddress);
			}
		}

		hasOwnChange = false;
		for (const address of targets) {
			void pushDeltas(address, deltas);
		}
	};

	const handleConfigurationChange = ({deltas, from}: ConfigurationChange): void => {
		hasOwnChange ||= from === 'own';
		// Only the relay, the root of the tree, batches; a wait on every node would add up per level.
		const waitMs = isRelay() ? settings.batchWindowMs : 0;
		const hasGap = deltas.length === 0;
		const timer = pendingDeltas?.timer ?? setTimeout(flushDeltas, waitMs);
		pendingDeltas = {timer, items: hasGap ? [] : [...pendingDeltas?.items ?? [], ...deltas]};
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
		}, recordBatchWindowMs);
		const ids = new Set(records.map(record => record.id));
		const kept = pending?.items.filter(record => !ids.has(record.id)) ?? [];
		pendingRecords.set(address, {timer, items: [...kept, ...records]});
	};

	const listRecordTargets = (from: NodeId | undefined): readonly Address[] => {
		const position = getTreePosition();
		const children = listChildren();
		const sender = from === undefined ? undefined : getRecord(directory.getDirectory(), from);
		if (position.relay === self) {
			const isFromOutside = sender !== undefined && sender.failureDomain !== domain;
			return isFromOutside ? children : [...children, ...listOtherDomainRelays().map(record => record.controlAddress)];
		}

		const relayAddress = findAddress(position.relay);
		return from !== position.parent && relayAddress !== undefined ? [...children, relayAddress] : children;
	};

	const handleRecords = (records: readonly NodeRecord[], source: RecordSource): void => {
		// Most other nodes already have the records that were pulled, and a pull may return thousands of them.
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

	const recordRefusedConfiguration = (version: number, reason: string, from: string): void => {
		timeline.record({
			kind: 'configuration-refused', version, reason, from,
		});
	};

	const pullAndApply = async (address: Address, from: string): Promise<boolean> => {
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
					recordRefusedConfiguration(reply.version, error.type, from);
				})
				.isOk();
		}

		return applyPulledBuckets(reply, from);
	};

	type PulledBuckets = {
		readonly version: number;
		readonly digest: string;
		readonly parentDigest: string;
		readonly buckets: readonly ConfigurationBucket[];
		readonly submissions: ReadonlyArray<{readonly id: string; readonly version: number}>;
	};

	const applyPulledBuckets = (reply: PulledBuckets, from: string): boolean => decodeBuckets(reply.buckets)
		.andThen(buckets => configuration.applyUpdate({
			version: reply.version,
			digest: toDigest(reply.digest),
			parentDigest: toDigest(reply.parentDigest),
			buckets,
			submissions: reply.submissions.map(({id, version}) => ({id: toSubmissionId(id), version})),
		}, from))
		.mapErr(error => {
			recordRefusedConfiguration(reply.version, error.type, from);
		})
		.isOk();

	const runPull = async (address: Address, from: string): Promise<boolean> => {
		const isApplied = await settle(pullAndApply(address, from));
		pullInFlight = undefined;
		return isApplied ?? false;
	};

	const pullConfiguration = async (address: Address, from: string): Promise<boolean> => {
		// Only one pull is in flight at a time; concurrent callers share its result.
		pullInFlight ??= runPull(address, from);
		return pullInFlight;
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
		getTreePosition,
		isRelay,
		handleConfigurationChange,
		handleRecords,
		pullConfiguration,
		pullDirectory,
		listOtherDomainRelays,
		listOtherDomainWatchers,
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
