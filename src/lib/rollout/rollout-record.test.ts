import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	decodeRecord, encodeRecord, isRejected, mergeRecords, rolloutStages, type RolloutRecord,
} from './rollout-record.js';
import {createSampleRecord} from './sample-rollout.js';

const versions = ['v1', 'v2', 'v3'] as const;

/** Records of up to three orders, in any stage. The target version follows from the revision, as in a store. */
const anyRecord: fc.Arbitrary<RolloutRecord> = fc.record({
	revision: fc.integer({min: 1, max: 3}), stage: fc.constantFrom(...rolloutStages), ageMs: fc.nat({max: 1000}).map(age => age * 10),
}).map(({revision, stage, ageMs}) => createSampleRecord({
	position: {era: 0, revision}, targetVersion: versions[revision - 1]!, stage, ageMs, reason: `${revision} ${stage}`,
}));

const mergeAll = (records: readonly RolloutRecord[]): RolloutRecord => {
	const [first, ...rest] = records;
	let merged = first!;
	for (const record of rest) {
		merged = mergeRecords(merged, record);
	}

	return merged;
};

test('records merge to the same stage and the same rejected versions in any order and any number of times', () => {
	fc.assert(fc.property(fc.array(anyRecord, {minLength: 1, maxLength: 6}), fc.nat(), (records, seed) => {
		const shuffled = [...records, ...records].toSorted((left, right) => (((left.ageMs * 31) + seed) % 17) - (((right.ageMs * 31) + seed) % 17));
		const [merged, other] = [mergeAll(records), mergeAll(shuffled)];
		assert.equal(other.stage, merged.stage);
		assert.equal(other.targetVersion, merged.targetVersion);
		assert.deepEqual(versions.map(version => isRejected(other, version)), versions.map(version => isRejected(merged, version)));
	}));
});

test('the stage of a record never goes back by a merge', () => {
	fc.assert(fc.property(fc.constantFrom(...rolloutStages), fc.constantFrom(...rolloutStages), (left, right) => {
		const {stage} = mergeRecords(createSampleRecord({stage: left}), createSampleRecord({stage: right}));
		assert.ok(rolloutStages.indexOf(stage) >= rolloutStages.indexOf(left));
	}));
});

test('a later order replaces an earlier one, whose version is rejected unless it was completed', () => {
	const later = createSampleRecord({position: {era: 0, revision: 9}, targetVersion: 'v3'});
	assert.ok(isRejected(mergeRecords(createSampleRecord({stage: 'loading'}), later), 'v2'));
	assert.ok(!isRejected(mergeRecords(createSampleRecord({stage: 'completed'}), later), 'v2'));
	assert.equal(mergeRecords(later, createSampleRecord()).targetVersion, 'v3');
});

test('the same version may be ordered again after it was rolled back', () => {
	const again = createSampleRecord({position: {era: 0, revision: 9}});
	const merged = mergeRecords(createSampleRecord({stage: 'rolled-back'}), again);
	assert.equal(merged.stage, 'canary');
	assert.ok(!isRejected(merged, 'v2'));
});

test('an order keeps its stage when the store was restored with the same order', () => {
	const restored = createSampleRecord({position: {era: 1, revision: 7}});
	assert.equal(mergeRecords(createSampleRecord({stage: 'rolled-back'}), restored).stage, 'rolled-back');
});

test('a decoded record equals the encoded one', () => {
	const record = createSampleRecord({
		stage: 'promoting', ageMs: 1230, rejectedVersions: ['v0'], acceptedVersions: ['v1'],
	});
	assert.deepEqual(decodeRecord(structuredClone(encodeRecord(record)), 'record'), record);
});

test('a record with an invalid field is refused with the name of the field', () => {
	const fields: ReadonlyArray<readonly [number, string]> = [
		[0, 'service'], [1, 'targetVersion'], [2, 'era'], [3, 'revision'], [4, 'durationMs'], [5, 'stage'], [6, 'age'], [7, 'rejectedVersions'], [8, 'acceptedVersions'], [9, 'reason'],
	];
	for (const [index, name] of fields) {
		for (const value of [null, {}, -1]) {
			assert.throws(() => decodeRecord(encodeRecord(createSampleRecord()).with(index, value), 'record'), (error: Error) => error.message.startsWith(`record.${name}: found `));
		}
	}
});
