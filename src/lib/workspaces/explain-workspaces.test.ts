import assert from 'node:assert/strict';
import test from 'node:test';
import {explainWorkspaces} from './explain-workspaces.js';

const formatCalls = (workspace: string, outcome: string, count: number): string => `stonemoor_workspace_calls_total{workspace="${workspace}",outcome="${outcome}"} ${count}`;
const formatRefusals = (kind: string, cause: string, count: number): string => `stonemoor_refusals_total{kind="${kind}",cause="${cause}"} ${count}`;

test('the increases of all nodes are summed by workspace, the busiest first, with the reasons of refusals', () => {
	const first = {
		before: [formatCalls('alpha', 'answered', 100), formatCalls('beta', 'answered', 7)].join('\n'),
		after: [formatCalls('alpha', 'answered', 110), formatCalls('alpha', 'full', 4), formatCalls('alpha', 'over-quota', 6), formatCalls('beta', 'answered', 7), formatRefusals('caller-refused', 'unknown-key', 3)].join('\n'),
	};
	const second = {before: formatCalls('beta', 'answered', 1), after: [formatCalls('beta', 'answered', 31), formatCalls('', 'answered', 2), formatRefusals('peer-refused', 'flood', 9)].join('\n')};
	assert.deepEqual(explainWorkspaces([first, second]), {
		workspaces: [
			{
				workspace: 'beta', asked: 30, answered: 30, refused: [],
			},
			{
				workspace: 'alpha', asked: 20, answered: 10, refused: [{reason: 'over-quota', count: 6}, {reason: 'full', count: 4}],
			},
			{
				workspace: undefined, asked: 2, answered: 2, refused: [],
			},
		],
		unidentified: [{reason: 'unknown-key', count: 3}],
	});
});

test('a node that restarted between the readings counts from zero', () => {
	const {workspaces} = explainWorkspaces([{before: formatCalls('alpha', 'answered', 100), after: formatCalls('alpha', 'answered', 5)}]);
	assert.deepEqual(workspaces.map(({asked}) => asked), [5]);
});

test('sums that fell, because a workspace is listed now, are not counted as requests', () => {
	const {workspaces} = explainWorkspaces([{before: formatCalls('', 'answered', 100), after: formatCalls('', 'answered', 40)}]);
	assert.deepEqual(workspaces, []);
});
