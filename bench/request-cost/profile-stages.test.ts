import assert from 'node:assert/strict';
import test from 'node:test';
import {
	listSourcePaths, sumStageTimes, type CpuProfile, type ProfileNode,
} from './profile-stages.js';

const bundle = ['"use strict";', '// src/lib/forwarding/entry-server.ts', 'function handle() {}', '// src/lib/forwarding/frame.ts', 'function write() {}', '// src/lib/decisions/new-decision.ts', 'function decide() {}'].join('\n');

const createNode = (id: number, functionName: string, lineNumber: number, children: readonly number[] = [], url = '/tmp/sidecar-0.cjs'): ProfileNode => ({
	id, callFrame: {functionName, url, lineNumber}, children,
});

/** The entry writes a frame, which the runtime sends; garbage is collected and the process waits. */
const profile: CpuProfile = {
	nodes: [
		createNode(1, '(root)', -1, [2, 5, 6, 8], ''),
		createNode(2, 'handle', 2, [3]),
		createNode(3, 'write', 4, [4]),
		createNode(4, 'writeGeneric', 10, [], 'node:net'),
		createNode(5, '(garbage collector)', -1, [], ''),
		createNode(6, 'onread', 10, [7], 'node:net'),
		createNode(7, 'decide', 6),
		createNode(8, '(idle)', -1, [], ''),
	],
	samples: [2, 3, 4, 5, 6, 7, 8],
	timeDeltas: [1, 2, 4, 8, 16, 32, 64],
};

// A stage that gets the time of another one, or loses that of the runtime, would send a search for a regression to the wrong code.
test('each sample counts for the innermost stage on its stack, and what the runtime does for it is part of it', () => {
	const {byStage} = sumStageTimes(profile, bundle, 'sidecar-0.cjs');
	assert.deepEqual(Object.fromEntries(byStage), {
		entry: 1, 'link between nodes': 2 + 4, 'garbage collection': 8, runtime: 16, 'choice of a server': 32,
	});
});

test('the beginning of a profile is left out', () => {
	const {byStage} = sumStageTimes(profile, bundle, 'sidecar-0.cjs', 8);
	assert.deepEqual(Object.fromEntries(byStage), {'garbage collection': 8, runtime: 16, 'choice of a server': 32});
});

test('lines of a bundle belong to the source file that is named before them', () => {
	assert.deepEqual(listSourcePaths(bundle).slice(0, 4), ['', 'src/lib/forwarding/entry-server.ts', 'src/lib/forwarding/entry-server.ts', 'src/lib/forwarding/frame.ts']);
});
