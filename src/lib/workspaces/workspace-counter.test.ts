import assert from 'node:assert/strict';
import test from 'node:test';
import {createWorkspaceCounter, otherWorkspaces} from './workspace-counter.js';

test('requests are counted by workspace and outcome, the busiest workspace first', () => {
	const counter = createWorkspaceCounter();
	counter.add('small', 'answered');
	for (const outcome of ['answered', 'full', 'answered']) {
		counter.add('large', outcome);
	}

	assert.deepEqual(counter.list(), [
		{workspace: 'large', outcome: 'answered', count: 2},
		{workspace: 'large', outcome: 'full', count: 1},
		{workspace: 'small', outcome: 'answered', count: 1},
	]);
});

// Guards against metrics, and memory, that grow with the number of workspaces that a configuration ever had.
test('the number of series is bounded, and no request is lost from the sums', () => {
	const counter = createWorkspaceCounter();
	for (let index = 0; index < 3000; index++) {
		counter.add(`w${index}`, 'answered');
		counter.add(`w${index % 10}`, 'full');
	}

	const counts = counter.list();
	assert.equal(new Set(counts.map(({workspace}) => workspace)).size, 51);
	assert.equal(counts.reduce((sum, {count}) => sum + count, 0), 6000);
	assert.deepEqual(counts.filter(({workspace}) => workspace === otherWorkspaces), [{workspace: otherWorkspaces, outcome: 'answered', count: 2950}]);
	assert.ok(counts.some(({workspace, outcome, count}) => workspace === 'w9' && outcome === 'full' && count === 300));
});

test('the counts of workspaces that send little are merged, so that a workspace that is new and busy is listed', () => {
	const counter = createWorkspaceCounter({maxListed: 50, maxCounted: 10});
	for (let index = 0; index < 100; index++) {
		counter.add(`w${index}`, 'answered');
		counter.add('busy', 'answered');
	}

	for (let index = 0; index < 5; index++) {
		counter.add('late', 'full');
	}

	const counts = counter.list();
	assert.ok(counts.length <= 11);
	assert.deepEqual(counts[0], {workspace: 'busy', outcome: 'answered', count: 100});
	assert.ok(counts.some(({workspace, count}) => workspace === 'late' && count === 5));
	assert.equal(counts.reduce((sum, {count}) => sum + count, 0), 205);
});
