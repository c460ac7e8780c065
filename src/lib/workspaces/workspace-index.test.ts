import assert from 'node:assert/strict';
import test from 'node:test';
import {inspect} from 'node:util';
import {createSampleWorkspace} from './sample-workspace.js';
import {createWorkspaceIndex} from './workspace-index.js';

const alpha = createSampleWorkspace({name: 'alpha', keys: ['alpha-1', 'alpha-2']});
const beta = createSampleWorkspace({name: 'beta', keys: ['beta-1']});

test('each key leads to the workspace that holds it, and no other text does', () => {
	const index = createWorkspaceIndex([alpha, beta]);
	assert.deepEqual(['alpha-1', 'alpha-2', 'beta-1'].map(key => index.findByKey(key)?.name), ['alpha', 'alpha', 'beta']);
	for (const key of ['', 'alpha', 'alpha-', 'alpha-11', 'ALPHA-1', 'alpha-1 ', '__proto__', 'constructor']) {
		assert.equal(index.findByKey(key), undefined, key);
	}
});

test('an index without workspaces is empty; one whose workspaces hold no key is not, since requests need a key there', () => {
	assert.equal(createWorkspaceIndex([]).isEmpty, true);
	assert.equal(createWorkspaceIndex([createSampleWorkspace({keys: []})]).isEmpty, false);
});

// Guards against a look-up that compares keys, whose timing would reveal how much of a guessed key is right.
test('the digest of a key is known, and the index shows no key', () => {
	assert.ok(!inspect(createWorkspaceIndex([beta]), {depth: 5, showHidden: true}).includes('beta-1'));
});
