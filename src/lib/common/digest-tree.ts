/**
 * An immutable map with a digest of its whole content: a hash tree of two levels.
 *
 * Entries are distributed over a fixed number of buckets by a hash of their key.
 * Each bucket has a digest over its entries, and the root digest covers all
 * buckets. A change copies and digests one bucket only, and two nodes find
 * the differences between their trees by comparing bucket digests.
 *
 * @module
 */
import murmurhash from 'murmurhash';
import {computeDigest} from './digest.js';
import {type Digest} from './ids.js';

/** Number of buckets of every tree. More buckets make a change cheaper and a comparison more expensive. @internal */
export const bucketCount = 256;

/** A value with the text that represents it in digests. @internal */
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
 * Returns the bucket of a key, which is the same on every node.
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
 * Applies changes to a copy of a tree.
 *
 * @param tree - The tree, which is not modified.
 * @param changes - The changes, applied in order; the last change of a key counts.
 * @returns The changed tree, which shares all unchanged buckets with the given tree.
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
 * Replaces the whole content of some buckets, as received from another node.
 *
 * @param tree - The tree, which is not modified.
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
 * Looks up a value.
 *
 * @param tree - The tree.
 * @param key - The entry's key.
 * @returns The value, or `undefined` if the key is not in the tree.
 * @internal
 */
export function getTreeValue<T>(tree: DigestTree<T>, key: string): T | undefined {
	return tree.buckets[findBucketIndex(key)]?.entries.get(key)?.value;
}

/**
 * Lists the values of a tree.
 *
 * @param tree - The tree.
 * @returns All values, bucket by bucket.
 * @internal
 */
export function listTreeValues<T>(tree: DigestTree<T>): readonly T[] {
	return tree.buckets.flatMap(bucket => [...bucket.entries.values()].map(entry => entry.value));
}

/**
 * Finds the buckets that differ from those of another node.
 *
 * @param tree - This node's tree.
 * @param digests - The other node's bucket digests, or their first characters, in order.
 * @returns Indexes of the buckets whose digests differ; all of them if the list has the wrong length.
 * @internal
 */
export function findDifferingBuckets<T>(tree: DigestTree<T>, digests: readonly string[]): readonly number[] {
	const isComplete = digests.length === bucketCount;
	return tree.buckets.flatMap((bucket, index) => isComplete && bucket.digest.startsWith(digests[index] ?? ' ') ? [] : [index]);
}

/** Characters of a bucket digest that are sent to other nodes: 72 bits make a collision among 256 buckets very unlikely. */
const shortDigestCharacterCount = 12;

/**
 * Lists the shortened bucket digests that are sent to other nodes.
 *
 * @param tree - The tree.
 * @returns The first characters of each bucket's digest, in order.
 * @internal
 */
export function listShortBucketDigests<T>(tree: DigestTree<T>): readonly string[] {
	return tree.buckets.map(bucket => bucket.digest.slice(0, shortDigestCharacterCount));
}
