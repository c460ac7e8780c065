/**
 * Holds this node's directory and its own record in it.
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

/** Milliseconds for which a node that is gone is remembered, so that late news of its life is known to be old. */
const tombstoneRetentionMs = 600_000;

/** How records came to this node. @internal */
export type RecordSource =
	| {readonly type: 'own'}
	| {readonly type: 'push'; readonly from: NodeId}
	| {readonly type: 'pull'};

/** Told of records that were new to this node. @internal */
export type RecordListener = (records: readonly NodeRecord[], source: RecordSource) => void;

/** @public */
export type DirectoryKeeper = {
	readonly getDirectory: () => Directory;
	readonly getOwnRecord: () => NodeRecord;
	/** Merges records from elsewhere; a wrong claim about this node itself is refuted. */
	readonly merge: (records: readonly NodeRecord[], source: RecordSource) => void;
	readonly setServers: (servers: readonly BackendServer[]) => void;
	readonly setOwnStatus: (status: NodeStatus) => void;
	/** Worsens the status of another node, as this node observed it. */
	readonly markStatus: (id: NodeId, status: NodeStatus) => void;
	readonly listDifferingRecords: (bucketDigests: readonly string[]) => readonly NodeRecord[];
	readonly listBucketDigests: () => readonly string[];
	readonly removeOldTombstones: () => void;
};

/**
 * Creates the directory of a node that knows only itself.
 *
 * @param self - The node's own record.
 * @param handleChange - Told of every change, this node's own included.
 * @returns The keeper.
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
				// Somebody holds a later word on this node than its own: an accusation, or a run before a clock went back.
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
