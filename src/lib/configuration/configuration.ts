/**
 * One complete, immutable version of the configuration, and the delta from one
 * version to the next.
 *
 * Versions form a chain: the digest of a version covers its number, its
 * parent's digest and all of its items. A node that receives a damaged, foreign
 * or misplaced delta computes a different digest and rejects the delta.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {
	applyTreeChanges, createDigestTree, getTreeValue, listTreeValues, replaceBuckets,
	type DigestTree, type TreeChange, type TreeEntry,
} from '../common/digest-tree.js';
import {computeDigest, formatCanonical} from '../common/digest.js';
import {type Digest, type SubmissionId} from '../common/ids.js';
import {type ConfiguredItem, type ItemChange} from './configured-item.js';
import {findDanglingReferences, type DanglingReference} from './find-dangling-references.js';
import {formatItemKey, type ItemKey} from './item.js';

/** One version of the configuration. @public */
export type Configuration = {
	readonly version: number;
	readonly digest: Digest;
	readonly parentDigest: Digest;
	readonly tree: DigestTree<ConfiguredItem>;
	/** The latest accepted submissions, oldest first. They show whether a submission was accepted if its response was lost. */
	readonly submissions: readonly AcceptedSubmission[];
};

/** @public */
export type AcceptedSubmission = {
	readonly id: SubmissionId;
	readonly version: number;
};

/** The changes from one version to the next. @public */
export type Delta = {
	readonly version: number;
	readonly parentDigest: Digest;
	readonly digest: Digest;
	readonly submissionIds: readonly SubmissionId[];
	readonly changes: readonly ItemChange[];
};

/** Why a delta or bucket update was not applied. The node keeps its configuration unchanged. @public */
export type ApplyError =
	| {readonly type: 'already-applied'; readonly version: number}
	| {readonly type: 'gap'; readonly have: number; readonly got: number}
	| {readonly type: 'wrong-parent'; readonly version: number}
	| {readonly type: 'wrong-digest'; readonly version: number}
	| {readonly type: 'dangling'; readonly version: number; readonly references: readonly DanglingReference[]};

/** Maximum number of accepted submissions that a configuration remembers. @internal */
export const maximumRememberedSubmissions = 1024;

const genesisDigest = computeDigest('stonemoor');

/**
 * Creates version 0, with which every mesh starts.
 *
 * @returns A configuration without items.
 * @public
 */
export function createConfiguration(): Configuration {
	const tree = createDigestTree<ConfiguredItem>();
	return {
		version: 0, digest: genesisDigest, parentDigest: genesisDigest, tree, submissions: [],
	};
}

/**
 * @param change - A change of one item.
 * @returns The key of the item that it changes.
 * @internal
 */
export function getChangedKey(change: ItemChange): ItemKey {
	return change.type === 'put' ? formatItemKey(change.item) : change.key;
}

/**
 * @param configured - An item and its revision.
 * @returns Its entry in the digest tree.
 * @internal
 */
export function createItemEntry(configured: ConfiguredItem): TreeEntry<ConfiguredItem> {
	return {value: configured, fingerprint: computeDigest(`${configured.revision} ${formatCanonical(configured.item)}`)};
}

function computeChainDigest(version: number, parentDigest: Digest, root: Digest): Digest {
	return computeDigest(`${version} ${parentDigest} ${root}`);
}

function advanceConfiguration(configuration: Configuration, changes: readonly ItemChange[], submissionIds: readonly SubmissionId[]): Configuration {
	const version = configuration.version + 1;
	const treeChanges = changes.map((change): TreeChange<ConfiguredItem> => ({
		key: getChangedKey(change),
		entry: change.type === 'put' ? createItemEntry({item: change.item, revision: version}) : undefined,
	}));
	const tree = applyTreeChanges(configuration.tree, treeChanges);
	const accepted = submissionIds.map(id => ({id, version}));
	return {
		version,
		digest: computeChainDigest(version, configuration.digest, tree.root),
		parentDigest: configuration.digest,
		tree,
		submissions: [...configuration.submissions, ...accepted].slice(-maximumRememberedSubmissions),
	};
}

/**
 * Creates the next version from changes that the caller has validated.
 *
 * @param configuration - The current version.
 * @param changes - The changes of the next version.
 * @param submissionIds - The submissions that the changes belong to.
 * @returns The delta and the next version.
 * @internal
 */
export function prepareDelta(
	configuration: Configuration,
	changes: readonly ItemChange[],
	submissionIds: readonly SubmissionId[],
): {readonly delta: Delta; readonly next: Configuration} {
	const next = advanceConfiguration(configuration, changes, submissionIds);
	return {
		next,
		delta: {
			version: next.version, parentDigest: configuration.digest, digest: next.digest, submissionIds, changes,
		},
	};
}

/**
 * Applies a delta to the version that it is based on, completely or not at all.
 *
 * @param configuration - The current version; it is not modified.
 * @param delta - The delta; it may be damaged, repeated, early or foreign.
 * @returns The next version, or why the delta was rejected.
 * @public
 */
export function applyDelta(configuration: Configuration, delta: Delta): Result<Configuration, ApplyError> {
	if (delta.version <= configuration.version) {
		return err({type: 'already-applied', version: delta.version});
	}

	if (delta.version > configuration.version + 1) {
		return err({type: 'gap', have: configuration.version, got: delta.version});
	}

	if (delta.parentDigest !== configuration.digest) {
		return err({type: 'wrong-parent', version: delta.version});
	}

	const next = advanceConfiguration(configuration, delta.changes, delta.submissionIds);
	if (next.digest !== delta.digest) {
		return err({type: 'wrong-digest', version: delta.version});
	}

	const references = findDanglingReferences(next.tree, delta.changes);
	return references.length === 0 ? ok(next) : err({type: 'dangling', version: delta.version, references});
}

/** A later version, given by the buckets in which it differs from the version that a node has. @internal */
export type BucketUpdate = {
	readonly version: number;
	readonly digest: Digest;
	readonly parentDigest: Digest;
	readonly buckets: ReadonlyMap<number, readonly ConfiguredItem[]>;
	readonly submissions: readonly AcceptedSubmission[];
};

/**
 * Advances to a later version by replacing the buckets that differ, completely or not at all.
 *
 * @param configuration - The current version; it is not modified.
 * @param update - The later version, with the buckets in which it differs from the current one.
 * @returns The later version, or why the update was rejected.
 * @internal
 */
export function applyBucketUpdate(configuration: Configuration, update: BucketUpdate): Result<Configuration, ApplyError> {
	if (update.version <= configuration.version) {
		return err({type: 'already-applied', version: update.version});
	}

	const replacements = new Map([...update.buckets].map(([index, items]) => [
		index,
		new Map(items.map(configured => [formatItemKey(configured.item), createItemEntry(configured)])),
	]));
	const tree = replaceBuckets(configuration.tree, replacements);
	if (computeChainDigest(update.version, update.parentDigest, tree.root) !== update.digest) {
		return err({type: 'wrong-digest', version: update.version});
	}

	const references = findDanglingReferences(tree);
	if (references.length > 0) {
		return err({type: 'dangling', version: update.version, references});
	}

	return ok({
		version: update.version, digest: update.digest, parentDigest: update.parentDigest, tree, submissions: update.submissions,
	});
}

/**
 * @param configuration - The version to search.
 * @param key - The item's key.
 * @returns The item and its revision, or `undefined`.
 * @public
 */
export function getItem(configuration: Configuration, key: ItemKey): ConfiguredItem | undefined {
	return getTreeValue(configuration.tree, key);
}

/**
 * @param configuration - The version to list.
 * @returns All items, sorted by key.
 * @public
 */
export function listItems(configuration: Configuration): readonly ConfiguredItem[] {
	return listTreeValues(configuration.tree)
		.toSorted((left, right) => formatItemKey(left.item) < formatItemKey(right.item) ? -1 : 1);
}

/**
 * @param configuration - The version to search.
 * @param id - The submission's id.
 * @returns The version that applied the submission, or `undefined` if the submission is not remembered.
 * @internal
 */
export function findSubmission(configuration: Configuration, id: SubmissionId): number | undefined {
	return configuration.submissions.findLast(submission => submission.id === id)?.version;
}
