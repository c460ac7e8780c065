/**
 * Callers that ask for more than they read. Each test checks that both processes run on within the memory and the
 * descriptors of their settings, and that an ordinary request is answered while the crowd is still connected.
 */
import test from 'node:test';
import {createRequestHead} from '../platform/crowd-requests.js';
import {openCrowd, createTexts} from './crowd.js';
import {startCrowdMesh} from './crowd-mesh.js';

// Guards against requests that are read and kept without a bound: the heap of the entry ended within seconds.
test('callers that send many requests ahead and read nothing do not end the entry', async context => {
	const mesh = await startCrowdMesh(context);
	const crowd = openCrowd(context, {
		address: mesh.entry.settings.listen.callers, connections: 40,
		createTexts: () => createTexts(1000, () => createRequestHead('/logs/10')),
	});
	await crowd.settle(mesh.server.countRuns);
	await mesh.expectServing();
});

// Guards against answers that are kept for slow callers without a bound: entry and the node beside the server took more than their machines have.
test('callers that do not read long answers take neither the memory of the entry nor that of the node beside the server', async context => {
	const mesh = await startCrowdMesh(context);
	const crowd = openCrowd(context, {
		address: mesh.entry.settings.listen.callers, connections: 60,
		createTexts: () => createTexts(1, () => createRequestHead('/logs/4000000')),
	});
	await crowd.settle(mesh.server.countRuns);
	await mesh.expectServing();
});

// Guards against a bound for each answer or each connection alone, which many answers on many connections pass.
test('callers that ask ahead for many answers and do not read them do not take the memory of the entry', async context => {
	const mesh = await startCrowdMesh(context);
	const crowd = openCrowd(context, {
		address: mesh.entry.settings.listen.callers, connections: 20,
		createTexts: () => createTexts(40, () => createRequestHead('/logs/500000')),
	});
	await crowd.settle(mesh.server.countRuns);
	await mesh.expectServing();
});

// Guards against a bound that holds at an entry only: callers of the server's own node share its memory with the answers for other nodes.
test('callers beside the server that do not read long answers do not take the memory of its node', async context => {
	const mesh = await startCrowdMesh(context);
	const crowd = openCrowd(context, {
		address: mesh.beside.settings.listen.callers, connections: 60,
		createTexts: () => createTexts(1, () => createRequestHead('/logs/4000000')),
	});
	await crowd.settle(mesh.server.countRuns);
	await mesh.expectServing();
});
