import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {platformHeaders} from '../../platform/platform-headers.js';
import {createPipeliningCaller, type PipeliningCaller} from './pipelining-caller.js';

const createAnswer = (id: string, more = ''): string => `HTTP/1.1 200 OK\r\nContent-Length: ${id.length}\r\n${platformHeaders.signature}: s\r\n${more}\r\n${id}`;

/** Starts a server that handles the requests of a connection once it has a number of them. */
async function startCaller(context: TestContext, count: number, handle: (socket: Socket) => void): Promise<PipeliningCaller> {
	const server = createServer(socket => {
		let text = '';
		socket.on('error', () => undefined);
		socket.on('data', (bytes: Uint8Array) => {
			text += String(bytes);
			if (text.split('\r\n\r\n').length === count + 1) {
				handle(socket);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const caller = createPipeliningCaller(`127.0.0.1:${(server.address() as AddressInfo).port}`);
	context.after(() => {
		caller.close();
		server.close();
	});
	return caller;
}

const send = async (caller: PipeliningCaller, id: string, disconnectAfterMs = 1000) => caller.send(`/view/${id}`, id, 1000, disconnectAfterMs);

// Guards against responses that are given to another request, and against a request behind one that closes being taken for answered.
test('responses belong to the requests in their order, and one that closes leaves those behind it without', async context => {
	const caller = await startCaller(context, 3, socket => {
		socket.write(createAnswer('a').slice(0, 20));
		setTimeout(() => {
			socket.end(`${createAnswer('a').slice(20)}${createAnswer('b', 'Connection: close\r\n')}`);
		}, 5);
	});
	const ends = await Promise.all([send(caller, 'a'), send(caller, 'b'), send(caller, 'c')]);
	assert.deepEqual(ends.map(({status, text, isBehind, hasLeft}) => ({
		status, text, isBehind, hasLeft,
	})), [
		{
			status: 200, text: 'a', isBehind: false, hasLeft: false,
		},
		{
			status: 200, text: 'b', isBehind: true, hasLeft: false,
		},
		{
			status: 0, text: '', isBehind: true, hasLeft: false,
		},
	]);
});

// Guards against a record that takes the caller's own close for a loss.
test('a caller that closes its connection says so for all requests on it', async context => {
	const caller = await startCaller(context, 2, () => undefined);
	const ends = await Promise.all([send(caller, 'a', 20), send(caller, 'b')]);
	assert.deepEqual(ends.map(({status, hasLeft}) => ({status, hasLeft})), [{status: 0, hasLeft: true}, {status: 0, hasLeft: true}]);
});
