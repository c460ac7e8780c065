/**
 * An immutable keyed collection that knows the digest of its whole content.
 *
 * Entries are spread over a fixed number of buckets by a hash of their key.
 * Each bucket has a digest over its entries, and the root digest covers all
 * buckets. A change copies and digests one bucket only, and two holders find
 * what differs between them by comparing bucket digests.
 *
 * @module
 */
import murmurhash from 'murmurhash';
import {computeDigest} from './digest.js';
import {type Digest} from './ids.js';

/** Buckets in every tree. More make a change cheaper and a comparison dearer. @internal */
export const bucketCount = 256;

/** One value with the text that stands for it in digests. @internal */
export type TreeEntry<T> = {
	readonly value: T;
	readonly fingerprint: string;
};

/** @internal */
export type TreeBucket<T> = {
	readonly entries: ReadonlyMap<string, TreeEntry<T>>;
	readonly digest: Digest;
};

/** @internal */
export type DigestTree<T> = {
	readonly buckets: ReadonlyArray<TreeBucket<T>>;
	readonly root: Digest;
	readonly size: number;
};

/** One change: an entry to put, or `undefined` to remove the key. @internal */
export type TreeChange<T> = {
	readonly key: string;
	readonly entry: TreeEntry<T> | undefined;
};

/**
 * Finds the bucket of a key, the same on every node.
 *
 * @param key - The entry's key.
 * @returns An index from 0 to {@link bucketCount} - 1 (MurmurHash3).
 * @internal
 */
export function findBucketIndex(key: string): number {
	return murmurhash.v3(key) % bucketCount;
}

function buildBucket<T>(entries: ReadonlyMap<string, TreeEntry<T>>): TreeBucket<T> {
	const lines = [...entries].map(([key, entry]) => `${key} ${entry.fingerprint}`);
	return {entries, digest: computeDigest(lines.sort().join('\n'))};
}

function buildTree<T>(buckets: ReadonlyArray<TreeBucket<T>>): DigestTree<T> {
	let size = 0;
	let digests = '';
	for (const bucket of buckets) {
		size += bucket.entries.size;
		digests += bucket.digest;
	}

	return {buckets, size, root: computeDigest(digests)};
}

/**
 * Creates an empty tree.
 *
 * @returns A tree without entries.
 * @internal
 */
export function createDigestTree<T>(): DigestTree<T> {
	const empty = buildBucket<T>(new Map());
	return buildTree(Array.from({length: bucketCount}, () => empty));
}

/**
 * Applies changes to a tree. The given tree stays as it is.
 *
 * @param tree - The tree to start from.
 * @param changes - Applied in order; the last change of a key counts.
 * @returns The changed tree, which shares every untouched bucket.
 * @internal
 */
export function applyTreeChanges<T>(tree: DigestTree<T>, changes: ReadonlyArray<TreeChange<T>>): DigestTree<T> {
	if (changes.length === 0) {
		return tree;
	}

	const copies = new Map<number, Map<string, TreeEntry<T>>>();
	for (const {key, entry} of changes) {
		const index = findBucketIndex(key);
		const copy = copies.get(index) ?? new Map(tree.buckets[index]?.entries);
		copies.set(index, copy);
		if (entry === undefined) {
			copy.delete(key);
		} else {
			copy.set(key, entry);
		}
	}

	return buildTree(tree.buckets.map((bucket, index) => {
		const copy = copies.get(index);
		return copy === undefined ? bucket : buildBucket(copy);
	}));
}

/**
 * Replaces the whole content of some buckets, as received from another holder.
 *
 * @param tree - The tree to start from.
 * @param replacements - New entries by bucket index.
 * @returns The changed tree.
 * @internal
 */
export function replaceBuckets<T>(tree: DigestTree<T>, replacements: ReadonlyMap<number, ReadonlyMap<string, TreeEntry<T>>>): DigestTree<T> {
	return buildTree(tree.buckets.map((bucket, index) => {
		const entries = replacements.get(index);
		return entries === undefined ? bucket : buildBucket(entries);
	}));
}

/**
 * @param tree - Where to look.
 * @param key - The entry's key.
 * @returns The value, or `undefined` if the tree lacks the key.
 * @internal
 */
export function getTreeValue<T>(tree: DigestTree<T>, key: string): T | undefined {
	return tree.buckets[findBucketIndex(key)]?.entries.get(key)?.value;
}

/**
 * @param tree - What to list.
 * @returns Every value, bucket by bucket.
 * @internal
 */
export function listTreeValues<T>(tree: DigestTree<T>): readonly T[] {
	return tree.buckets.flatMap(bucket => [...bucket.entries.values()].map(entry => entry.value));
}

/**
 * Finds the buckets in which another holder differs.
 *
 * @param tree - This side's tree.
 * @param digests - The other side's bucket digests, or their first characters, in order.
 * @returns Indexes of the buckets whose digests differ; all of them if the list has the wrong length.
 * @internal
 */
export function findDifferingBuckets<T>(tree: DigestTree<T>, digests: readonly string[]): readonly number[] {
	const isComplete = digests.length === bucketCount;
	return tree.buckets.flatMap((bucket, index) => isComplete && bucket.digest.startsWith(digests[index] ?? ' ') ? [] : [index]);
}

/** Characters of a bucket digest that travel: 72 bits tell 256 buckets apart safely. */
const shortDigestCharacterCount = 12;

/**
 * @param tree - The tree to describe.
 * @returns The first characters of each bucket's digest, in order.
 * @internal
 */
export function listShortBucketDigests<T>(tree: DigestTree<T>): readonly string[] {
	return tree.buckets.map(bucket => bucket.digest.slice(0, shortDigestCharacterCount));
}
