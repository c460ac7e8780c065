/**
 * Single requests at the limits of the pages, on the users' smallest machines, with nothing beside them.
 */
import assert from 'node:assert/strict';
import test from 'node:test';
import {sendCall} from '../platform/test-mesh.js';
import {createFiller} from './crowd.js';
import {sheetLimits, startCrowdMesh} from './crowd-mesh.js';

const mostBytes = 64 * 1024 * 1024;

// Guards against a bound on memory that a client inside the limits meets.
test('a single answer of 64 MiB is served within the memory of the smallest machine', async context => {
	const mesh = await startCrowdMesh(context, sheetLimits);
	const {status, body} = await sendCall(mesh.entry.settings.listen.callers, `/logs/${mostBytes}`, {timeLeftMs: 30_000});
	assert.deepEqual([status, body.length], [200, mostBytes]);
	await mesh.expectServing();
});

// Guards against a bound on memory that a client inside the limits meets.
test('a single body of 64 MiB is served within the memory of the smallest machine', async context => {
	const mesh = await startCrowdMesh(context, sheetLimits);
	const {status, body} = await sendCall(mesh.entry.settings.listen.callers, '/up/x', {method: 'POST', body: createFiller(mostBytes), timeLeftMs: 30_000});
	assert.deepEqual([status, body], [200, String(mostBytes)]);
	await mesh.expectServing();
});
