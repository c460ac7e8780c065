import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import test from 'node:test';
import fc from 'fast-check';
import {createConfigHistory, parseConfigSteps, type ConfigStep} from './config-history.js';
import {applyTextDelta, computeTextDelta, parseTextDelta} from './text-delta.js';

const describeRoute = (index: number, timeout = '1s'): string => `{"name":"r${index}","match":{"prefix":"/p${index}/"},"action":{"service":"s","timeout":"${timeout}"}}`;

const createText = (version: number, changed?: number): string =>
	`{"version":${version},"routes":[${Array.from({length: 400}, (_, index) => describeRoute(index, index === changed ? '2s' : '1s')).join(',')}]}`;

test('the delta for a change of one route among many is small', () => {
	const delta = computeTextDelta(createText(1), createText(2, 37));
	assert.ok(JSON.stringify(delta).length < 400, `${JSON.stringify(delta).length} characters`);
	assert.equal(applyTextDelta(createText(1), delta), createText(2, 37));
});

test('property: applying the delta between two texts to the old one yields the new one', () => {
	const text = fc.stringMatching(/^[ab{}]{0,40}$/);
	fc.assert(fc.property(text, text, (before, after) => {
		const sent = JSON.stringify(computeTextDelta(before, after));
		const delta = parseTextDelta(JSON.parse(sent));
		assert.ok(delta !== undefined);
		assert.equal(applyTextDelta(before, delta), after);
	}));
});

test('a delta that is damaged, or applied to a different text, is rejected', () => {
	const delta = computeTextDelta(createText(1), createText(2, 37));
	assert.equal(applyTextDelta(createText(1, 5), delta), undefined);
	assert.equal(applyTextDelta(createText(1), {...delta, steps: delta.steps.slice(1)}), undefined);
});

test('property: parseConfigSteps returns valid steps or undefined for any input', () => {
	fc.assert(fc.property(fc.anything(), value => {
		const steps = parseConfigSteps(value);
		assert.ok(steps === undefined || steps.every(({from}) => typeof from === 'number'));
	}));
	assert.deepEqual(parseConfigSteps([{from: 1, to: 2, delta: {digest: 'd', steps: [[0, 1], 'x']}}])?.length, 1);
	assert.equal(parseConfigSteps([{from: 1, to: 2, delta: {digest: 'd', steps: [[0, -1]]}}]), undefined);
});

const createStep = (from: number, to: number): ConfigStep => ({from, to, delta: computeTextDelta(createText(from), createText(to))});

test('listSteps returns all steps from a version to the newest, or undefined', () => {
	const history = createConfigHistory();
	history.add(createStep(1, 4));
	history.add(createStep(4, 5));
	assert.deepEqual(history.listSteps(1)?.map(({to}) => to), [4, 5]);
	assert.deepEqual(history.listSteps(4)?.map(({to}) => to), [5]);
	assert.equal(history.listSteps(2), undefined);
	// A version that was received whole: its step is not known.
	history.add(undefined);
	assert.equal(history.listSteps(4), undefined);
	history.add(createStep(9, 10));
	history.add(createStep(12, 13));
	assert.equal(history.listSteps(9), undefined);
});

test('the history drops old steps and does not keep large ones', () => {
	const history = createConfigHistory();
	for (let version = 1; version <= 60; version++) {
		history.add(createStep(version, version + 1));
	}

	assert.equal(history.listSteps(5), undefined);
	assert.equal(history.listSteps(55)?.length, 6);
	history.add({from: 61, to: 62, delta: computeTextDelta('', 'x'.repeat(600_000))});
	assert.equal(history.listSteps(61), undefined);
});

test('a delta that copies the old text many times is rejected once the result exceeds the size limit, even if its digest matches', () => {
	const oldText = '{a}'.repeat(100_000);
	const apply = (times: number): number | undefined => {
		const digest = createHash('sha256').update(oldText.repeat(times)).digest('base64url');
		return applyTextDelta(oldText, {digest, steps: Array.from({length: times}, () => [0, 100_000] as const)})?.length;
	};

	assert.equal(apply(2), 600_000);
	assert.equal(apply(60), undefined);
});

test('steps with invalid or decreasing versions, and lists of too many steps, are rejected', () => {
	const {delta} = createStep(1, 2);
	assert.deepEqual(parseConfigSteps([{from: 1, to: 2, delta}]), [{from: 1, to: 2, delta}]);
	for (const [from, to] of [[2, 1], [1, 1], [-1, 2], [0.5, 2], [1, 1e300], ['1', 2], [null, 2]]) {
		assert.equal(parseConfigSteps([{from, to, delta}]), undefined, `${from} to ${to}`);
	}

	assert.equal(parseConfigSteps(Array.from({length: 65}, (_, from) => ({from, to: from + 1, delta}))), undefined);
});
