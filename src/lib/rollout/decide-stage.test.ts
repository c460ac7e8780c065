import assert from 'node:assert/strict';
import test from 'node:test';
import {decideStage, type RolloutView} from './decide-stage.js';
import {createSampleRecord} from './sample-rollout.js';
import {type VersionVerdict} from './version-judge.js';

const good: VersionVerdict = {
	type: 'good', reason: 'r', certainty: 'certain', isProvenAtFullLoad: true,
};
const bad: VersionVerdict = {type: 'bad', reason: 'many failures'};

const createView = (stage: RolloutView['record']['stage'], ageMs: number, changes: Partial<RolloutView> = {}): RolloutView => ({
	record: createSampleRecord({stage, ageMs}), verdict: good, reachableTargets: 10, targetSlots: 60, promotedMs: 2000, demand: 30, busyOthers: 0, silentOthers: 0, ...changes,
});

const getStage = (view: RolloutView): string => {
	const decision = decideStage(view);
	return decision.type === 'change' ? decision.stage : decision.type;
};

test('a good version is promoted only after it was observed, and only if its servers can carry the load', () => {
	assert.equal(getStage(createView('canary', 1000)), 'stay');
	assert.equal(getStage(createView('canary', 5000)), 'loading');
	assert.equal(getStage(createView('canary', 5000, {targetSlots: 30})), 'stay');
	assert.equal(getStage(createView('canary', 5000, {verdict: {...good, certainty: 'likely'}})), 'stay');
	assert.equal(getStage(createView('canary', 6000, {verdict: {...good, certainty: 'likely'}})), 'loading');
	assert.equal(getStage(createView('canary', 7000, {verdict: {...good, certainty: 'possible'}})), 'stay');
	assert.equal(getStage(createView('canary', 7600, {verdict: {...good, certainty: 'possible'}})), 'loading');
	assert.equal(getStage(createView('loading', 5500)), 'promoting');
	assert.equal(getStage(createView('loading', 5500, {verdict: {...good, isProvenAtFullLoad: false}})), 'stay');
	assert.equal(getStage(createView('loading', 9400, {verdict: {...good, isProvenAtFullLoad: false}})), 'stay');
	assert.equal(getStage(createView('loading', 9600, {verdict: {...good, isProvenAtFullLoad: false}})), 'rolled-back');
});

test('a bad version is rolled back at any age, by the node alone until others stop accepting requests, and then by the store', () => {
	for (const stage of ['canary', 'loading'] as const) {
		assert.deepEqual(decideStage(createView(stage, 100, {verdict: bad})), {
			type: 'change', stage: 'rolled-back', reason: 'many failures', needsStore: false,
		});
	}

	assert.deepEqual(decideStage(createView('promoting', 6000, {verdict: bad})), {
		type: 'change', stage: 'rolled-back', reason: 'many failures', needsStore: true,
	});
});

test('a rollout is completed only when no other server may have requests; a silent one is waited for until shortly before the end', () => {
	assert.equal(getStage(createView('promoting', 6000, {promotedMs: 1000})), 'stay');
	assert.equal(getStage(createView('promoting', 6000, {busyOthers: 1})), 'stay');
	assert.equal(getStage(createView('promoting', 6000, {busyOthers: 1, silentOthers: 1})), 'stay');
	assert.equal(getStage(createView('promoting', 9000, {busyOthers: 1, silentOthers: 1})), 'completed');
	assert.equal(getStage(createView('promoting', 9000, {busyOthers: 2, silentOthers: 1})), 'stay');
	assert.equal(getStage(createView('promoting', 6000)), 'completed');
});

test('a version that is not proven in time, or whose servers never come, is rolled back at the end of the ordered duration', () => {
	assert.equal(getStage(createView('canary', 10_000, {verdict: {type: 'undecided', reason: 'no requests'}, reachableTargets: 0, targetSlots: 0})), 'rolled-back');
	assert.equal(getStage(createView('loading', 9600, {verdict: {type: 'undecided', reason: 'no requests'}})), 'rolled-back');
	assert.equal(getStage(createView('loading', 9400, {verdict: {type: 'undecided', reason: 'no requests'}})), 'stay');
});

test('a rollout whose new servers are lost while the others accept no requests is rolled back by the store', () => {
	assert.deepEqual(decideStage(createView('promoting', 6000, {reachableTargets: 0, busyOthers: 3})), {
		type: 'change', stage: 'rolled-back', reason: 'no server of the version is left', needsStore: true,
	});
});

test('a rollout that has ended stays as it is', () => {
	for (const stage of ['rolled-back', 'completed'] as const) {
		assert.equal(getStage(createView(stage, 20_000, {verdict: bad})), 'stay');
	}
});
