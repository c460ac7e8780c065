/**
 * A node that is stopped while clients are connected that do not read.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {createRequestHead} from '../platform/crowd-requests.js';
import {openCrowd, createTexts} from './crowd.js';
import {startCrowdMesh} from './crowd-mesh.js';

// Guards against a stop that waits for callers which never read, or ends by the memory that it waits with.
test('an entry that gets SIGTERM while callers do not read their answers ends by itself with code 0', async context => {
	const mesh = await startCrowdMesh(context);
	const crowd = openCrowd(context, {
		address: mesh.entry.settings.listen.callers, connections: 60,
		createTexts: () => createTexts(20, () => createRequestHead('/logs/1000000')),
	});
	await crowd.settle(mesh.server.countRuns);
	mesh.entry.expectWithinLimits();
	mesh.entry.child.kill('SIGTERM');
	assert.equal(await mesh.entry.waitForExit(), 0);
	mesh.beside.expectWithinLimits();
});
