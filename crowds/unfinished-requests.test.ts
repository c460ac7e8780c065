/**
 * Callers that begin and do not end. Each test checks that both processes run on within the memory and the descriptors of
 * their settings, and that an ordinary request is answered while the crowd is still connected.
 */
import test from 'node:test';
import {createRequestHead} from '../platform/crowd-requests.js';
import {createFiller, openCrowd, createTexts} from './crowd.js';
import {startCrowdMesh} from './crowd-mesh.js';

const uploadBytes = 2_000_000;

// Guards against uploads that are kept for as long as their senders like, beside answers and requests that have bounds of their own.
test('uploads that never end do not take the memory of the entry', async context => {
	const mesh = await startCrowdMesh(context);
	const crowd = openCrowd(context, {
		address: mesh.entry.settings.listen.callers, connections: 60,
		createTexts: () => [createRequestHead('/up/x', {method: 'POST', headers: `Content-Length: ${uploadBytes}\r\n`}), createFiller(uploadBytes - 1)],
	});
	await crowd.settle(mesh.server.countRuns);
	await mesh.expectServing();
});

// Guards against heads that take memory before there is a request to count, and connections that take descriptors: the entry had more than its machine allows.
test('heads that never end take neither the memory of the entry nor its descriptors', async context => {
	const mesh = await startCrowdMesh(context);
	const crowd = openCrowd(context, {
		address: mesh.entry.settings.listen.callers, connections: 600,
		createTexts: () => [`${createRequestHead('/logs/10').slice(0, -2)}X-Long: ${createFiller(60_000)}`],
	});
	await crowd.settle(mesh.server.countRuns);
	await mesh.expectServing();
});

// Guards against connections that cost nothing but a descriptor, of which there are few.
test('connections without a request do not take the descriptors of the entry', async context => {
	const mesh = await startCrowdMesh(context);
	const crowd = openCrowd(context, {address: mesh.entry.settings.listen.callers, connections: 600, createTexts: () => []});
	await crowd.settle(mesh.server.countRuns);
	await mesh.expectServing();
});

// Guards against a bound for callers only: the other addresses accept connections as well.
for (const place of ['gate', 'announcements', 'readiness', 'metrics'] as const) {
	test(`connections without a request to the address ${place} do not take the descriptors of the node beside the server`, async context => {
		const mesh = await startCrowdMesh(context);
		const crowd = openCrowd(context, {address: mesh.beside.settings.listen[place], connections: 600, createTexts: () => []});
		await crowd.settle(mesh.server.countRuns);
		await mesh.expectServing();
	});

	// Guards against answers at the other addresses that wait for a reader without a bound.
	test(`requests sent ahead to the address ${place}, their answers unread, do not take the memory of the node beside the server`, async context => {
		const mesh = await startCrowdMesh(context);
		const crowd = openCrowd(context, {
			address: mesh.beside.settings.listen[place], connections: 40,
			createTexts: () => createTexts(2000, () => 'GET /metrics HTTP/1.1\r\nHost: mesh.example\r\n\r\n'),
		});
		await crowd.settle(mesh.server.countRuns);
		await mesh.expectServing();
	});
}
