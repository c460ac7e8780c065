import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toDigest, toSubmissionId} from '../common/ids.js';
import {
	applyDelta, applyBucketUpdate, createConfiguration, getItem, listItems, prepareDelta, type Configuration, type Delta,
} from './configuration.js';
import {type ItemChange} from './configured-item.js';
import {samplePolicy, samplePool, sampleRoute} from './sample-items.js';

const base: readonly ItemChange[] = [samplePolicy, samplePool, sampleRoute].map(item => ({type: 'put', item}));

function createChain(length: number): {readonly deltas: readonly Delta[]; readonly last: Configuration} {
	const deltas: Delta[] = [];
	let last = createConfiguration();
	for (let version = 1; version <= length; version++) {
		const changes: readonly ItemChange[] = version === 1 ? base : [{type: 'put', item: {...samplePool, slowStartMs: version}}];
		const {delta, next} = prepareDelta(last, changes, [toSubmissionId(`s${version}`)]);
		deltas.push(delta);
		last = next;
	}

	return {deltas, last};
}

test('applying the same deltas leads to the same version, and each item has the revision that last changed it', () => {
	const {deltas, last} = createChain(3);
	let configuration = createConfiguration();
	for (const delta of deltas) {
		configuration = applyDelta(configuration, delta)._unsafeUnwrap();
	}

	assert.equal(configuration.digest, last.digest);
	assert.equal(getItem(configuration, 'pool/logs')?.revision, 3);
	assert.equal(getItem(configuration, 'route/logs')?.revision, 1);
	assert.deepEqual(configuration.submissions.map(({id}) => id), ['s1', 's2', 's3']);
});

test('repeated, reordered, damaged or foreign deltas never lower the version and are never applied partially', () => {
	const {deltas} = createChain(6);
	const foreign = createChain(2).deltas.map(delta => ({...delta, digest: toDigest('x'.repeat(43))}));
	const replaceChanges = (delta: Delta): Delta => ({...delta, changes: [{type: 'remove', key: 'pool/logs'}]});
	const candidates = [...deltas, ...deltas.map(delta => replaceChanges(delta)), ...foreign, {...deltas[4]!, parentDigest: toDigest('p'.repeat(43))}];
	const byVersion = new Map(deltas.map(delta => [delta.version, delta.digest]));
	fc.assert(fc.property(fc.array(fc.constantFrom(...candidates), {maxLength: 40}), arrivals => {
		let configuration = createConfiguration();
		for (const delta of arrivals) {
			const before = configuration;
			const result = applyDelta(before, delta);
			configuration = result.unwrapOr(before);
			assert.ok(configuration.version >= before.version);
			assert.ok(configuration.version <= before.version + 1);
			if (configuration.version > 0) {
				assert.equal(configuration.digest, byVersion.get(configuration.version));
			}
		}
	}));
});

test('each way in which a delta can be invalid has its own error type', () => {
	const {deltas} = createChain(3);
	const firstVersion = applyDelta(createConfiguration(), deltas[0]!)._unsafeUnwrap();
	assert.equal(applyDelta(firstVersion, deltas[0]!)._unsafeUnwrapErr().type, 'already-applied');
	assert.equal(applyDelta(firstVersion, deltas[2]!)._unsafeUnwrapErr().type, 'gap');
	assert.equal(applyDelta(firstVersion, {...deltas[1]!, parentDigest: toDigest('x')})._unsafeUnwrapErr().type, 'wrong-parent');
	assert.equal(applyDelta(firstVersion, {...deltas[1]!, changes: []})._unsafeUnwrapErr().type, 'wrong-digest');
});

test('a delta with the correct digest is rejected if it removes the pool of a route', () => {
	const {last} = createChain(1);
	const {delta} = prepareDelta(last, [{type: 'remove', key: 'pool/logs'}], []);
	const refused = applyDelta(last, delta)._unsafeUnwrapErr();
	assert.deepEqual(refused, {type: 'dangling', version: 2, references: [{route: 'route/logs', missing: 'pool/logs'}]});
});

test('a bucket update is applied completely or not at all', () => {
	const {last} = createChain(4);
	const update = {
		...last, buckets: new Map(last.tree.buckets.map((bucket, index) => [index, [...bucket.entries.values()].map(entry => entry.value)])),
	};
	assert.equal(applyBucketUpdate(createConfiguration(), update)._unsafeUnwrap().tree.root, last.tree.root);
	const truncated = {...update, buckets: new Map([...update.buckets].filter(([, items]) => items.length === 0))};
	assert.equal(applyBucketUpdate(createConfiguration(), truncated)._unsafeUnwrapErr().type, 'wrong-digest');
	assert.equal(applyBucketUpdate(last, update)._unsafeUnwrapErr().type, 'already-applied');
	assert.equal(listItems(last).length, 3);
});
