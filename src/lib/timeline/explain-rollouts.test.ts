import assert from 'node:assert/strict';
import test from 'node:test';
import {type LogLine} from './explain-call.js';
import {explainRollouts} from './explain-rollouts.js';

const write = (node: string, seconds: number, stage: string, from: string, changes: {readonly service?: string; readonly order?: number} = {}): LogLine => ({
	kind: 'rollout-stage', node, time: new Date(Date.UTC(2026, 0, 1) + (seconds * 1000)).toISOString(), service: 'hall', targetVersion: 'v2', order: 7, stage, reason: `${stage} by ${node}`,
	ageMs: seconds * 1000, from, ...changes,
});

test('each stage has the time of its first node, the node that decided, its reason, and the delay of the last node', () => {
	const [rollout] = explainRollouts([
		write('n2', 1.4, 'canary', 'n1'),
		write('n1', 1, 'canary', 'store'),
		write('n3', 5.2, 'rolled-back', 'n2'),
		write('n2', 5, 'rolled-back', 'this node'),
		write('n1', 5.1, 'rolled-back', 'n2'),
		write('n1', 9, 'rolled-back', 'n2'),
	], 'hall');
	assert.deepEqual(rollout?.stages.map(({stage, ageMs, node, reason, nodes, lastDelayMs}) => [stage, ageMs, node, reason, nodes, lastDelayMs]), [
		['canary', 1000, 'n1', 'canary by n1', 2, 400],
		['rolled-back', 5000, 'n2', 'rolled-back by n2', 3, 200],
	]);
});

test('orders and services are told apart, and other services are left out on request', () => {
	const lines = [write('n1', 1, 'canary', 'store'), write('n1', 2, 'canary', 'store', {order: 9}), write('n1', 3, 'canary', 'store', {service: 'archive'})];
	assert.deepEqual(explainRollouts(lines).map(({service, order}) => [service, order]), [['hall', 7], ['hall', 9], ['archive', 7]]);
	assert.deepEqual(explainRollouts(lines, 'hall').map(({order}) => order), [7, 9]);
	assert.deepEqual(explainRollouts(lines, 'none'), []);
});
