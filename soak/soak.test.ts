/**
 * Runs a short soak of the real program with a fixed seed. Only promises are
 * checked, and a configuration has a long time to come into force, so that a busy
 * machine does not fail the test.
 */
import assert from 'node:assert/strict';
import {existsSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'node:test';
import {startProcess} from '../demo/processes.js';

const size = ['--seed', '540', '--seconds', '30', '--nodes', '6', '--apply', '15000'] as const;

test('every promise holds during a short soak', async context => {
	const folder = mkdtempSync(path.join(tmpdir(), 'stonemoor-soak-'));
	const soak = startProcess('soak', 'soak/main.js', [...size, '--out', folder]);
	context.after(() => {
		soak.child.kill('SIGTERM');
	});
	assert.equal(await soak.waitForExit(), 0, soak.getOutput());
	assert.match(soak.getOutput(), /every promise held/);
	assert.ok(existsSync(path.join(folder, 'plan.json')));
	rmSync(folder, {recursive: true});
});
