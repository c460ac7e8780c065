/**
 * One version of the configuration, whole and immutable, and the step from one
 * version to the next.
 *
 * Versions form a chain: the digest of a version covers its number, its
 * parent's digest and all of its items. A node that was handed a damaged,
 * foreign or misplaced step computes another digest and refuses it.
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
	/** The latest submissions, oldest first: what settles a lost answer. */
	readonly submissions: readonly AcceptedSubmission[];
};

/** @public */
export type AcceptedSubmission = {
	readonly id: SubmissionId;
	readonly version: number;
};

/** The step from one version to the next. @public */
export type Delta = {
	readonly version: number;
	readonly parentDigest: Digest;
	readonly digest: Digest;
	readonly submissionIds: readonly SubmissionId[];
	readonly changes: readonly ItemChange[];
};

/** Why a node did not apply what it was handed. It keeps what it had, whole. @public */
export type ApplyError =
	| {readonly type: 'already-applied'; readonly version: number}
	| {readonly type: 'gap'; readonly have: number; readonly got: number}
	| {readonly type: 'wrong-parent'; readonly version: number}
	| {readonly type: 'wrong-digest'; readonly version: number}
	| {readonly type: 'dangling'; readonly version: number; readonly references: readonly DanglingReference[]};

/** Submissions that a configuration remembers. @internal */
export const maximumRememberedSubmissions = 1024;

const genesisDigest = computeDigest('stonemoor');

/**
 * Creates version 0, which every mesh starts from.
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
 * @returns The entry that stands for it in the tree.
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
 * Prepares the next version. The caller has validated the changes.
 *
 * @param configuration - The current version.
 * @param changes - What the next version changes.
 * @param submissionIds - The submissions that it carries out.
 * @returns The step and the version that it leads to.
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
 * Applies a step to the version it belongs to, whole or not at all.
 *
 * @param configuration - The current version; it stays as it is.
 * @param delta - A step, perhaps damaged, repeated, early or foreign.
 * @returns The next version, or why the step was refused.
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

/** What a later version looks like to a node that holds an earlier one. @internal */
export type BucketUpdate = {
	readonly version: number;
	readonly digest: Digest;
	readonly parentDigest: Digest;
	readonly buckets: ReadonlyMap<number, readonly ConfiguredItem[]>;
	readonly submissions: readonly AcceptedSubmission[];
};

/**
 * Moves to a later version by replacing the buckets that differ, whole or not at all.
 *
 * @param configuration - The current version; it stays as it is.
 * @param update - The later version: the buckets in which it differs from the current one.
 * @returns The later version, or why it was refused.
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
 * @param configuration - Where to look.
 * @param key - The item's key.
 * @returns The item and its revision, or `undefined`.
 * @public
 */
export function getItem(configuration: Configuration, key: ItemKey): ConfiguredItem | undefined {
	return getTreeValue(configuration.tree, key);
}

/**
 * @param configuration - What to list.
 * @returns Every item, in the order of their keys.
 * @public
 */
export function listItems(configuration: Configuration): readonly ConfiguredItem[] {
	return listTreeValues(configuration.tree)
		.toSorted((left, right) => formatItemKey(left.item) < formatItemKey(right.item) ? -1 : 1);
}

/**
 * @param configuration - Where to look.
 * @param id - The submission's id.
 * @returns The version that carried the submission out, or `undefined` if it is not among the remembered ones.
 * @internal
 */
export function findSubmission(configuration: Configuration, id: SubmissionId): number | undefined {
	return configuration.submissions.findLast(submission => submission.id === id)?.version;
}
