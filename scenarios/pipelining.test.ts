/**
 * Guards against an answer that its caller never gets although its request was passed on: a node that shut down closed each connection
 * with its next response, and dropped those that callers waited for behind it. Runs nodes with the stand-in for a users' backend server.
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import test, {type TestContext} from 'node:test';
import {parseConfigurationDocument} from '../src/index.js';
import {openRawCaller, type RawCaller} from '../stand-ins/raw-caller.js';
import {createWorld, waitFor, type World} from './world.js';

async function startWorld(context: TestContext, workMs: number): Promise<World> {
	const world = await createWorld();
	context.after(world.dispose);
	await world.startNodes(2, 1);
	await world.startServer('logview-2', 'logview', 'node-2');
	world.getServer('logview-2').setBehaviour({workMs});
	const items = parseConfigurationDocument(await readFile(new URL('../../examples/build-mesh.yaml', import.meta.url), 'utf8'))._unsafeUnwrap();
	await world.submit('node-1', items.map(item => ({type: 'put', item})));
	await waitFor('the configuration is in force on every node', () => world.listRunning().every(({node}) => node.getStatus().version > 0));
	await waitFor('a page is served', async () => (await world.call('node-1', {path: '/logs/first'})).status === 200);
	return world;
}

const createRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: mesh.example\r\n\r\n`;

const openConnection = (context: TestContext, world: World): RawCaller => openRawCaller(context, world.getNode('node-1').settings.listen.callers);

const listStatuses = (caller: RawCaller): readonly number[] => caller.listResponses().map(({status}) => status);

const countRequests = (world: World): number => world.getServer('logview-2').getRequestCounts().requests;

test('requests that a caller pipelines before a node shuts down are all answered', async context => {
	const world = await startWorld(context, 800);
	const connection = openConnection(context, world);
	const before = countRequests(world);
	connection.send(['/logs/a', '/logs/b', '/logs/c'].map(path => createRequest(path)).join(''));
	await waitFor('the requests run', () => countRequests(world) === before + 3);
	const entry = world.getNode('node-1');
	await entry.node.drain();
	entry.isRunning = false;
	await waitFor('the connection ends', connection.hasEnded);
	assert.deepEqual(listStatuses(connection), [200, 200, 200]);
});

test('a request is answered although bytes that are no request follow it', async context => {
	const world = await startWorld(context, 300);
	const connection = openConnection(context, world);
	connection.send(`${createRequest('/logs/a')}no request\r\n\r\n`);
	await waitFor('the connection ends', connection.hasEnded);
	assert.deepEqual(listStatuses(connection), [200, 400]);
});
