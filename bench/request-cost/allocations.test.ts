import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import process from 'node:process';
import test from 'node:test';
import {promisify} from 'node:util';
import {findProgram} from '../../demo/processes.js';

/**
 * What a call through two nodes allocates, as a multiple of a call to a bare HTTP server. Before limits, roll-outs, load reports, workspaces,
 * quotas and the quarantine were added it was 4.46. Where none of them is configured they may add a tenth.
 */
const maxFactor = 4.46 * 1.1;

/** So large that nothing is collected during the measurement. */
const flags = ['--expose-gc', '--single-threaded', '--min-semi-space-size=128', '--max-semi-space-size=128'];

// Copies of objects and closures for features that are not configured: each is small, and together they made garbage collection three times as dear and nodes too slow for their load.
test('a call allocates no more than before features were added that are not configured', async () => {
	const {stdout} = await promisify(execFile)(process.execPath, [...flags, findProgram('bench/request-cost/allocations.js')]);
	const {factor} = JSON.parse(stdout) as {readonly factor: number};
	assert.ok(factor <= maxFactor, `${factor} times as much as a bare call, at most ${maxFactor.toFixed(2)}`);
});
