/**
 * A short seeded soak of the real program: only promises are judged, and the
 * time until a change has to be in force is longer than any busy machine needs.
 */
import assert from 'node:assert/strict';
import {existsSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'node:test';
import {startProcess} from '../demo/processes.js';

const size = ['--seed', '540', '--seconds', '30', '--nodes', '6', '--apply', '15000'] as const;

test('every promise holds through a short soak', async context => {
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
