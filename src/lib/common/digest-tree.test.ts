import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	applyTreeChanges, createDigestTree, findDifferingBuckets, getTreeValue, listTreeValues, replaceBuckets, type TreeChange,
} from './digest-tree.js';

const changeArbitrary = fc.record({
	key: fc.constantFrom(...Array.from({length: 40}, (_, index) => `key-${index}`)),
	value: fc.option(fc.nat(5), {nil: undefined}),
});

function toChanges(raw: ReadonlyArray<{readonly key: string; readonly value: number | undefined}>): ReadonlyArray<TreeChange<number>> {
	return raw.map(({key, value}) => ({key, entry: value === undefined ? undefined : {value, fingerprint: String(value)}}));
}

test('property: a tree has the same entries as a map after the same changes, and its root does not depend on how they are grouped', () => {
	fc.assert(fc.property(fc.array(changeArbitrary, {maxLength: 60}), fc.nat(60), (raw, cut) => {
		const changes = toChanges(raw);
		const atOnce = applyTreeChanges(createDigestTree<number>(), changes);
		const inTwo = applyTreeChanges(applyTreeChanges(createDigestTree<number>(), changes.slice(0, cut)), changes.slice(cut));
		const map = new Map<string, number>();
		for (const {key, value} of raw) {
			if (value === undefined) {
				map.delete(key);
			} else {
				map.set(key, value);
			}
		}

		assert.equal(atOnce.root, inTwo.root);
		assert.equal(atOnce.size, map.size);
		for (const [key, value] of map) {
			assert.equal(getTreeValue(atOnce, key), value);
		}
	}));
});

test('property: replacing the buckets that differ makes two trees equal', () => {
	fc.assert(fc.property(fc.array(changeArbitrary), fc.array(changeArbitrary), (left, right) => {
		const mine = applyTreeChanges(createDigestTree<number>(), toChanges(left));
		const other = applyTreeChanges(createDigestTree<number>(), toChanges(right));
		const differing = findDifferingBuckets(other, mine.buckets.map(bucket => bucket.digest));
		const repaired = replaceBuckets(mine, new Map(differing.map(index => [index, other.buckets[index]?.entries ?? new Map()])));
		assert.equal(repaired.root, other.root);
		assert.deepEqual(listTreeValues(repaired), listTreeValues(other));
	}));
});

test('with a list of digests of the wrong length, all buckets differ', () => {
	const tree = createDigestTree<number>();
	assert.equal(findDifferingBuckets(tree, []).length, tree.buckets.length);
});
