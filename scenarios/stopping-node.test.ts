/** Tests that a node that stops answers the requests that it has taken. Runs nodes with the stand-in for a users' backend server. */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'node:test';
import {parseConfigurationDocument} from '../src/index.js';
import {openRawCaller} from '../stand-ins/raw-caller.js';
import {createWorld, waitFor} from './world.js';

/** Longer than a node waits for calls before it exits. */
const workMs = 20_000;

// Guards against a node that exits while a request is in work, and closes the connection of its caller without an answer.
test('each request that a node has read is answered before it exits', async context => {
	const world = await createWorld();
	context.after(world.dispose);
	await world.startNodes(2, 1);
	await world.startServer('logview-2', 'logview', 'node-2');
	const text = await readFile(new URL('../../examples/build-mesh.yaml', import.meta.url), 'utf8');
	const items = parseConfigurationDocument(text.replace('"timeoutMs": 2000', `"timeoutMs": ${workMs}`))._unsafeUnwrap();
	await world.submit('node-1', items.map(item => ({type: 'put', item})));
	await waitFor('the configuration is in force on every node', () => world.listRunning().every(({node}) => node.getStatus().version > 0));
	await waitFor('a request is served', async () => (await world.call('node-1', {path: '/logs/first'})).status === 200);
	const server = world.getServer('logview-2');
	server.setBehaviour({workMs});
	const before = server.getRequestCounts().requests;
	const entry = world.getNode('node-1');
	const {callers} = entry.settings.listen;
	const running = openRawCaller(context, callers);
	running.send('GET /logs/a HTTP/1.1\r\nHost: mesh.example\r\n\r\nGET /logs/b HTTP/1.1\r\nHost: mesh.example\r\n\r\n');
	const uploading = openRawCaller(context, callers);
	uploading.send('PUT /bundles/c HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: 1000\r\n\r\nhalf of it');
	await waitFor('the requests run', () => server.getRequestCounts().requests === before + 2);
	await entry.node.drain();
	entry.isRunning = false;
	await waitFor('the connections end', () => running.hasEnded() && uploading.hasEnded());
	assert.deepEqual(running.listResponses().map(({status}) => status), [502, 502]);
	assert.deepEqual(uploading.listResponses().map(({status}) => status), [503]);
	assert.match(uploading.listResponses()[0]!.text, /"verdict":"not-run"/);
});

// Guards against a server that cannot finish a request, because the node that took it no longer accepts the calls that the server needs for it.
test('a stopping node accepts calls while its server works on requests, and refuses what may take longer than it runs', async context => {
	const world = await createWorld();
	context.after(world.dispose);
	await world.startNodes(2, 1);
	await world.startServer('releasehall-1', 'releasehall', 'node-1');
	await world.startServer('logview-2', 'logview', 'node-2');
	const text = await readFile(new URL('../../examples/build-mesh.yaml', import.meta.url), 'utf8');
	await world.submit('node-1', parseConfigurationDocument(text)._unsafeUnwrap().map(item => ({type: 'put', item})));
	await waitFor('the configuration is in force on every node', () => world.listRunning().every(({node}) => node.getStatus().version > 0));
	await waitFor('requests are served', async () => {
		const answers = await Promise.all([world.call('node-1', {path: '/logs/first'}), world.call('node-1', {path: '/releases/first'})]);
		return answers.every(({status}) => status === 200);
	});
	const server = world.getServer('releasehall-1');
	const entry = world.getNode('node-1');
	server.setBehaviour({workMs: 1200, nestedUrl: `http://${entry.settings.listen.callers}/logs/nested`});
	const before = server.getRequestCounts().requests;
	const release = world.call('node-1', {method: 'POST', path: '/releases/1', headers: {'idempotency-key': 'k1'}});
	await waitFor('the request runs', () => server.getRequestCounts().requests === before + 1);
	const stopped = entry.node.drain();
	entry.isRunning = false;
	await sleep(600);
	const tooLong = await world.call('node-1', {method: 'GET', path: '/bundles/1'});
	assert.deepEqual([tooLong.status, tooLong.verdict], [503, 'not-run']);
	const answer = await release;
	assert.equal(answer.status, 200);
	assert.equal(await stopped, true);
});
