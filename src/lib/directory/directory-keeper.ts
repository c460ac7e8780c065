/**
 * Holds the current directory of this node, and the node's own record.
 *
 * @module
 */
import {findDifferingBuckets, listShortBucketDigests} from '../common/digest-tree.js';
import {readNow} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';
import {
	createDirectory, removeRecords, getRecord, listRecords, mergeRecords, type Directory,
} from './directory.js';
import {
	compareRecords, isUsable, type BackendServer, type NodeRecord, type NodeStatus,
} from './node-record.js';

/** How long the record of a node that is dead or left is kept as a tombstone, so that a delayed older record does not bring the node back. */
const tombstoneRetentionMs = 600_000;

/** How records reached this node. @internal */
export type RecordSource =
	| {readonly type: 'own'}
	| {readonly type: 'push'; readonly from: NodeId}
	| {readonly type: 'pull'};

/** Called with records that are new to this node. @internal */
export type RecordListener = (records: readonly NodeRecord[], source: RecordSource) => void;

/** @public */
export type DirectoryKeeper = {
	readonly getDirectory: () => Directory;
	readonly getOwnRecord: () => NodeRecord;
	/** Merges records from other nodes. A record of this node itself that is newer than its own is refuted. */
	readonly merge: (records: readonly NodeRecord[], source: RecordSource) => void;
	/** Publishes the backend servers beside this node. */
	readonly setServers: (servers: readonly BackendServer[]) => void;
	readonly setOwnStatus: (status: NodeStatus) => void;
	/** Changes the status of another node, as observed by this node. A status that is earlier in the order of statuses has no effect. */
	readonly markStatus: (id: NodeId, status: NodeStatus) => void;
	/** Lists the records of all buckets whose digests differ from the given ones. */
	readonly listDifferingRecords: (bucketDigests: readonly string[]) => readonly NodeRecord[];
	readonly listBucketDigests: () => readonly string[];
	/** Removes the records of nodes that have been dead or left for longer than the retention time. */
	readonly removeOldTombstones: () => void;
};

/**
 * Creates a directory that contains only the node itself.
 *
 * @param self - The node's own record.
 * @param handleChange - Called after each change, including changes of the own record.
 * @returns The directory keeper.
 * @internal
 */
export function createDirectoryKeeper(self: NodeRecord, handleChange: RecordListener): DirectoryKeeper {
	let own = self;
	let {directory} = mergeRecords(createDirectory(), [self]);
	const tombstoneSince = new Map<NodeId, number>();

	const updateTombstones = (records: readonly NodeRecord[]): void => {
		for (const record of records) {
			if (isUsable(record)) {
				tombstoneSince.delete(record.id);
			} else {
				tombstoneSince.set(record.id, readNow());
			}
		}
	};

	const apply = (records: readonly NodeRecord[], source: RecordSource): void => {
		const merged = mergeRecords(directory, records);
		directory = merged.directory;
		if (merged.changed.length > 0) {
			updateTombstones(merged.changed);
			handleChange(merged.changed, source);
		}
	};

	const updateOwn = (changes: Partial<NodeRecord>): void => {
		own = {...own, ...changes, sequence: own.sequence + 1};
		apply([own], {type: 'own'});
	};

	return {
		getDirectory: () => directory,
		getOwnRecord: () => own,
		merge(records, source) {
			const claim = records.find(record => record.id === own.id && compareRecords(record, own) > 0);
			if (claim !== undefined) {
				// Another node has a newer record of this node: either it suspects this node or declared it dead, or the record is from an
				// earlier run, before the clock was set back. This node makes its own record newer than that one.
				own = {...own, epoch: Math.max(own.epoch, claim.epoch), sequence: claim.sequence + 1};
			}

			apply(records.filter(record => record.id !== own.id), source);
			if (claim !== undefined) {
				apply([own], {type: 'own'});
			}
		},
		setServers(servers) {
			updateOwn({servers});
		},
		setOwnStatus(status) {
			updateOwn({status});
		},
		markStatus(id, status) {
			const record = getRecord(directory, id);
			if (record !== undefined && id !== own.id) {
				apply([{...record, status}], {type: 'own'});
			}
		},
		listDifferingRecords: bucketDigests => findDifferingBuckets(directory.tree, bucketDigests)
			.flatMap(index => [...directory.tree.buckets[index]?.entries.values() ?? []].map(entry => entry.value)),
		listBucketDigests: () => listShortBucketDigests(directory.tree),
		removeOldTombstones() {
			const cutoff = readNow() - tombstoneRetentionMs;
			const ids = listRecords(directory).map(record => record.id).filter(id => (tombstoneSince.get(id) ?? Number.POSITIVE_INFINITY) < cutoff);
			if (ids.length > 0) {
				directory = removeRecords(directory, ids);
				for (const id of ids) {
					tombstoneSince.delete(id);
				}
			}
		},
	};
}
