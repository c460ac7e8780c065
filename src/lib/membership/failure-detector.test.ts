import assert from 'node:assert/strict';
import test from 'node:test';
import {toNodeId, type NodeId} from '../common/ids.js';
import {
	createDetectorState, defaultDetectorSettings, stepDetector, type DetectorEffect, type DetectorState,
} from './failure-detector.js';

const settings = defaultDetectorSettings;
const members = ['a', 'b', 'c', 'd'].map(name => toNodeId(name));
const tickMs = settings.periodMs / 5;

type Run = {readonly state: DetectorState; readonly effects: readonly DetectorEffect[]};

/** Runs the detector for `forMs`. Members for which `answers` returns true acknowledge each ping immediately. */
function runDetector(start: DetectorState, from: number, forMs: number, answers: (member: NodeId) => boolean): Run {
	let state = start;
	const effects: DetectorEffect[] = [];
	// The directory no longer lists a dead member as a target.
	const isListed = (member: NodeId): boolean => !effects.some(effect => effect.type === 'dead' && effect.member === member);
	for (let now = from; now < from + forMs; now += tickMs) {
		const step = stepDetector(state, {type: 'tick', now, members: members.filter(member => isListed(member))}, settings, () => 0.3);
		state = step.state;
		effects.push(...step.effects);
		for (const effect of step.effects) {
			if (effect.type === 'ping' && answers(effect.target)) {
				state = stepDetector(state, {type: 'ack', from: effect.target, sequenceNumber: effect.sequenceNumber}, settings, () => 0.3).state;
			}
		}
	}

	return {state, effects};
}

function listMarked(effects: readonly DetectorEffect[], type: 'suspect' | 'dead'): readonly string[] {
	return effects.flatMap(effect => effect.type === type ? [effect.member] : []);
}

test('sends one ping per period, to each member in turn', () => {
	const {effects} = runDetector(createDetectorState(0), 0, 8 * settings.periodMs, () => true);
	const targets = effects.flatMap(effect => effect.type === 'ping' ? [effect.target] : []);
	assert.equal(targets.length, 8);
	assert.deepEqual(targets.slice(0, 4).toSorted(), members);
	assert.deepEqual(listMarked(effects, 'suspect'), []);
});

test('a member that does not answer is probed indirectly, becomes suspect, and is then declared dead', () => {
	const {effects} = runDetector(createDetectorState(0), 0, 14 * settings.periodMs, member => member !== 'b');
	assert.ok(effects.some(effect => effect.type === 'ping-request' && effect.target === 'b'));
	assert.deepEqual(listMarked(effects, 'suspect'), ['b']);
	assert.deepEqual(listMarked(effects, 'dead'), ['b']);
});

test('a suspect whose suspicion is refuted is not declared dead', () => {
	const suspected = runDetector(createDetectorState(0), 0, 6 * settings.periodMs, member => member !== 'b');
	assert.ok(suspected.state.suspects.has(toNodeId('b')));
	const refuted = stepDetector(suspected.state, {type: 'refuted', member: toNodeId('b')}, settings, () => 0).state;
	const {effects} = runDetector(refuted, 6 * settings.periodMs, 12 * settings.periodMs, () => true);
	assert.deepEqual(listMarked(effects, 'dead'), []);
});

test('after a pause of this node, the timeouts of its suspects start again', () => {
	const suspected = runDetector(createDetectorState(0), 0, 6 * settings.periodMs, member => member !== 'b');
	const wokenAt = 60 * settings.periodMs;
	const woken = stepDetector(suspected.state, {type: 'tick', now: wokenAt, members}, settings, () => 0.3);
	assert.deepEqual(listMarked(woken.effects, 'dead'), []);
	const {effects} = runDetector(woken.state, wokenAt + tickMs, settings.suspicionMs - settings.periodMs, () => true);
	assert.deepEqual(listMarked(effects, 'dead'), []);
});
