import assert from 'node:assert/strict';
import {Agent} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {sendCall} from '../../platform/test-mesh.js';
import {blockEventLoop} from '../../stand-ins/event-loop.js';
import {startLinkProxy} from '../link-proxy.js';
import {
	createLinkWatch, createSocketWatch, explainConnection, watchCall, type CallConnection, type FindConnection,
} from './connection-watch.js';
import {sumDelays, watchLoop} from './loop-delays.js';

const linkAddress = `127.80.${process.pid % 250}.1:7010`;

const response = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';

/** Starts a node that answers each request in one packet, except those for `/reset`, which reset their connection. */
async function startNode(context: TestContext): Promise<{readonly address: string; readonly close: () => void}> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', (data: Uint8Array) => {
			if (String(data).includes('/reset')) {
				socket.resetAndDestroy();
			} else {
				socket.write(response);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const close = (): void => {
		server.close();
	};

	context.after(close);
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close};
}

async function send(address: string, target: string, findConnection: FindConnection, agent?: Agent): Promise<CallConnection | undefined> {
	const {handleSocket, finish} = watchCall(findConnection);
	await sendCall(address, target, {id: 'c1', handleSocket, ...agent === undefined ? {} : {agent}});
	return finish();
}

const call = {
	id: 'c1', node: 'n1', target: '/view/c1', timeLeftMs: 1500, sentAt: 1000, endedAt: 1298, status: 0, isSigned: false, text: '',
};

// Guards against a lost request of which the record does not tell whether the node ever had its connection or its bytes.
test('a request that a node resets is told from one that no node accepts, behind a link and without one', async context => {
	const node = await startNode(context);
	const {findConnection, handleConnection} = createLinkWatch();
	const link = await startLinkProxy(linkAddress, node.address, 8, handleConnection);
	context.after(link.close);
	link.setMode('delay');
	const direct = createSocketWatch();
	const reset = await Promise.all([send(linkAddress, '/reset', findConnection), send(node.address, '/reset', direct)]);
	node.close();
	await sleep(50);
	const refused = await Promise.all([send(linkAddress, '/', findConnection), send(node.address, '/', direct)]);
	for (const connection of reset) {
		assert.ok(connection?.openAt !== undefined && connection.endedAt !== undefined && connection.passedBytes > 0);
	}

	for (const connection of refused) {
		assert.equal(connection?.failure, 'ECONNREFUSED');
		assert.equal(connection.openAt, undefined);
		assert.equal(connection.passedBytes, 0);
	}
});

// Guards against bytes of earlier requests that are taken for those of the request in question.
test('on a kept connection only the bytes of the request itself count', async context => {
	const {address} = await startNode(context);
	const agent = new Agent({keepAlive: true});
	context.after(() => {
		agent.destroy();
	});
	const find = createSocketWatch();
	const first = await send(address, '/1', find, agent);
	const second = await send(address, '/2', find, agent);
	assert.deepEqual([first?.isNew, second?.isNew], [true, false]);
	assert.equal(second?.returnedBytes, response.length);
	assert.equal(second.passedBytes, first?.passedBytes);
});

// Guards against an event that the soak handled late and that is taken for a late event.
test('a delay of the soak is recorded and named beside the connection', async () => {
	const loop = watchLoop();
	await sleep(30);
	const from = Date.now();
	blockEventLoop(80);
	await sleep(30);
	const {longestMs} = sumDelays(loop.stop(), from, Date.now());
	assert.ok(longestMs >= 70, `${longestMs} ms`);
	const delays = [{at: 900, lateMs: 50}, {at: 1100, lateMs: 91}, {at: 1400, lateMs: 150}];
	const connection = {
		startedAt: 1009, openAt: undefined, failure: 'ECONNREFUSED', endedAt: 1290, isNew: true, passedBytes: 0, returnedBytes: 0,
	};
	assert.equal(
		explainConnection({...call, connection}, delays),
		'Its new connection: begun after 9 ms, never open at the node, 0 bytes of the request passed on, 0 came back, ended after 290 ms (ECONNREFUSED); meanwhile the soak\'s loop stood still for 139 ms in all, 91 ms at once',
	);
	assert.equal(explainConnection(call, []), 'No connection to the node was begun; meanwhile the soak\'s loop stood still for 0 ms in all, 0 ms at once');
});
