/**
 * Guards against requests to a backend server that drains: the node beside it, which had acknowledged the drain, restarted, and the next
 * announcement of the server put it into use again. Runs nodes with the stand-in for a users' backend server.
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {request as sendRequest} from 'undici';
import {parseConfigurationDocument} from '../src/index.js';
import {createWorld, waitFor, type World} from './world.js';

type Fixture = {
	readonly world: World;
	/** Sends a request to a port of the node beside the server. */
	readonly callNode: (port: number, method: 'POST' | 'DELETE', path: string, body?: string) => Promise<number>;
	/** Restarts the node beside the server, and waits until the server has announced itself there. */
	readonly restart: () => Promise<void>;
	/** Sends requests through the other node; returns how many reached the server. */
	readonly countReached: () => Promise<number>;
};

async function startFixture(context: TestContext): Promise<Fixture> {
	const world = await createWorld();
	context.after(world.dispose);
	await world.startNodes(3, 1);
	await world.startServer('logview-1', 'logview', 'node-2');
	const items = parseConfigurationDocument(await readFile(new URL('../../examples/build-mesh.yaml', import.meta.url), 'utf8'))._unsafeUnwrap();
	await world.submit('node-1', items.map(item => ({type: 'put', item})));
	await waitFor('the configuration is in force on every node', () => world.listRunning().every(({node}) => node.getStatus().version > 0));
	await waitFor('a page is served', async () => (await world.call('node-1', {path: '/logs/first'})).status === 200);
	const beside = world.getNode('node-2');
	const countAnnounced = (): number => beside.events.filter(({kind}) => kind === 'server-announced').length;
	return {
		world,
		async callNode(port, method, path, body) {
			const {statusCode, body: answer} = await sendRequest(`http://${beside.host}:${port}${path}`, {method, body: body ?? null, headers: {'content-type': 'application/json'}});
			await answer.dump();
			return statusCode;
		},
		async restart() {
			const before = countAnnounced();
			if (beside.isRunning) {
				await world.killNode('node-2');
			}

			await world.restartNode('node-2');
			await waitFor('the server has announced itself', () => countAnnounced() > before);
		},
		async countReached() {
			const server = world.getServer('logview-1');
			const before = server.getRequestCounts().requests;
			for (let count = 0; count < 40; count++) {
				await world.call('node-1', {path: `/logs/${count}`});
				await sleep(25);
			}

			return server.getRequestCounts().requests - before;
		},
	};
}

const getAnnouncementsPort = (world: World): number => Number(world.getNode('node-2').settings.listen.announcements.split(':')[1]);
const getOperatorsPort = (world: World): number => Number(world.getNode('node-2').settings.listen.operators.split(':')[1]);

test('a server that drains gets no requests after the node beside it was killed and has restarted twice', async context => {
	const {world, callNode, restart, countReached} = await startFixture(context);
	assert.equal(await callNode(getAnnouncementsPort(world), 'POST', '/v1/announcements/logview-1/drain'), 200);
	await restart();
	assert.equal(await countReached(), 0);
	await restart();
	assert.equal(await countReached(), 0);
});

test('a server that an operator drains gets no requests after the node beside it has shut down and restarted', async context => {
	const {world, callNode, restart, countReached} = await startFixture(context);
	assert.equal(await callNode(getOperatorsPort(world), 'POST', '/v1/drain', JSON.stringify({server: 'logview-1'})), 200);
	const beside = world.getNode('node-2');
	await beside.node.drain();
	beside.isRunning = false;
	await restart();
	assert.equal(await countReached(), 0);
});

test('a server gets requests again after its node has shut down and restarted, and after it has withdrawn a drain', async context => {
	const {world, callNode, restart, countReached} = await startFixture(context);
	const beside = world.getNode('node-2');
	await beside.node.drain();
	beside.isRunning = false;
	await restart();
	await waitFor('a page is served', async () => (await world.call('node-1', {path: '/logs/first'})).status === 200);
	assert.equal(await callNode(getAnnouncementsPort(world), 'POST', '/v1/announcements/logview-1/drain'), 200);
	assert.equal(await callNode(getAnnouncementsPort(world), 'DELETE', '/v1/announcements/logview-1'), 200);
	await restart();
	await waitFor('a page is served', async () => (await world.call('node-1', {path: '/logs/first'})).status === 200);
	assert.ok(await countReached() > 0);
});
