import assert from 'node:assert/strict';
import test from 'node:test';
import {type LifetimeKey} from '../common/server-lifetime.js';
import {
	addOutcome, createTally, decodeTally, encodeTally, type Outcome, type OutcomeTally,
} from './outcome-tally.js';
import {createVersionJudge, type TargetServer} from './version-judge.js';

const createOutcomes = (count: number, changes: Partial<Outcome> = {}): readonly Outcome[] => Array.from({length: count}, () => ({
	route: 'reads', hasFailed: false, tookMs: 100, isCold: false, isFullyLoaded: false, ...changes,
}));

const addOutcomes = (outcomes: readonly Outcome[]): OutcomeTally => {
	let tally = createTally(7);
	for (const outcome of outcomes) {
		tally = addOutcome(tally, outcome);
	}

	return tally;
};

const createTarget = (name: string, outcomes: readonly Outcome[]): TargetServer => ({lifetime: name as LifetimeKey, tally: addOutcomes(outcomes)});

const baseline = [addOutcomes(createOutcomes(200))];

test('a version is bad if several of its servers fail; if only one does, the others decide, with what they have', () => {
	const failing = [...createOutcomes(8), ...createOutcomes(6, {hasFailed: true})];
	const both = createVersionJudge().judge([createTarget('a', failing), createTarget('b', failing)], baseline);
	assert.equal(both.type, 'bad');
	const one = createVersionJudge().judge([createTarget('a', failing), createTarget('b', createOutcomes(4))], baseline);
	assert.equal(one.type === 'good' ? one.certainty : one.type, 'possible');
	const none = createVersionJudge().judge([createTarget('a', failing), createTarget('b', [])], baseline);
	assert.equal(none.type, 'undecided');
});

test('of many servers of a version, a few faulty ones do not make it bad', () => {
	const failing = [...createOutcomes(8), ...createOutcomes(6, {hasFailed: true})];
	const createTargets = (faulty: number) => Array.from({length: 26}, (_, index) => createTarget(`s${index}`, index < faulty ? failing : createOutcomes(14)));
	assert.equal(createVersionJudge().judge(createTargets(4), baseline).type, 'good');
	assert.equal(createVersionJudge().judge(createTargets(12), baseline).type, 'bad');
});

test('the only server of a version needs more failures to count as bad', () => {
	const judge = (failures: number) => createVersionJudge().judge([createTarget('a', createOutcomes(failures, {hasFailed: true}))], baseline).type;
	assert.equal(judge(4), 'undecided');
	assert.equal(judge(8), 'bad');
	const others = [createTarget('a', createOutcomes(8, {hasFailed: true})), createTarget('b', [])];
	assert.equal(createVersionJudge().judge(others, baseline).type, 'undecided', 'another server without outcomes does not agree yet');
});

test('failures that the other servers have as well do not count against a version', () => {
	const faulty = [...createOutcomes(60), ...createOutcomes(40, {hasFailed: true})];
	const {type} = createVersionJudge().judge([createTarget('a', faulty), createTarget('b', faulty)], [addOutcomes(faulty)]);
	assert.notEqual(type, 'bad');
});

test('a version is not found good while the other servers fail so often that a bad one would hardly differ', () => {
	const failing = [...createOutcomes(60), ...createOutcomes(40, {hasFailed: true})];
	const {type} = createVersionJudge().judge([createTarget('a', createOutcomes(100)), createTarget('b', createOutcomes(100))], [addOutcomes(failing)]);
	assert.equal(type, 'undecided');
});

test('a version that is slow for half of its requests is bad; one at half the usual speed, or slow only after its start, is not', () => {
	const judge = (outcomes: readonly Outcome[]) => createVersionJudge().judge([createTarget('a', outcomes), createTarget('b', outcomes)], baseline).type;
	assert.equal(judge([...createOutcomes(10), ...createOutcomes(10, {tookMs: 900})]), 'bad');
	assert.equal(judge(createOutcomes(20, {tookMs: 200})), 'good');
	assert.equal(judge([...createOutcomes(20), ...createOutcomes(10, {tookMs: 900, isCold: true})]), 'good');
});

test('a version that was good for a thousand requests is found bad as fast as at its start', () => {
	const judge = createVersionJudge();
	const before = createOutcomes(1000);
	assert.equal(judge.judge([createTarget('a', before), createTarget('b', before)], baseline).type, 'good');
	const after = [...before, ...createOutcomes(5), ...createOutcomes(5, {hasFailed: true})];
	assert.equal(judge.judge([createTarget('a', after), createTarget('b', after)], baseline).type, 'bad');
});

test('a version that fails on one route only is bad, also if that route has few requests', () => {
	const outcomes = [...createOutcomes(300), ...createOutcomes(5, {route: 'publications', hasFailed: true})];
	const verdict = createVersionJudge().judge([createTarget('a', outcomes), createTarget('b', outcomes)], baseline);
	assert.equal(verdict.type, 'bad');
	assert.match(verdict.reason, /^publications: 10 of 10 bad at 2 servers/);
});

test('a version is undecided until each route that the other servers get often has outcomes', () => {
	const others = [addOutcomes([...createOutcomes(100), ...createOutcomes(100, {route: 'publications'})])];
	const judge = (outcomes: readonly Outcome[]) => createVersionJudge().judge([createTarget('a', outcomes), createTarget('b', outcomes)], others).type;
	assert.equal(judge(createOutcomes(50)), 'undecided');
	assert.equal(judge([...createOutcomes(50), ...createOutcomes(20, {route: 'publications'})]), 'good');
});

test('a decoded tally equals the encoded one', () => {
	const tally = addOutcomes([...createOutcomes(3), ...createOutcomes(2, {hasFailed: true}), ...createOutcomes(1, {isCold: true}), ...createOutcomes(2, {isFullyLoaded: true})]);
	assert.deepEqual(decodeTally(structuredClone(encodeTally(tally)), 'tally'), tally);
});
