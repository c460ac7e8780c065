import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {blockEventLoop} from '../../../stand-ins/event-loop.js';
import {openRawCaller, type RawCaller, type RawResponse} from '../../../stand-ins/raw-caller.js';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {watchCallerConnections, type CallerConnections} from './caller-connections.js';

type Fixture = {
	readonly connections: CallerConnections;
	/** Paths of the requests that were admitted. */
	readonly admitted: readonly string[];
	/** Paths of the requests that were not admitted. */
	readonly dropped: readonly string[];
	/** Answers an admitted request with a body of this many bytes, and closes the connection. */
	readonly respond: (path: string, size: number) => void;
	/** Answers an admitted request. With `isClosing`, its response closes the connection if it may. */
	readonly answer: (path: string, isClosing?: boolean) => void;
	readonly send: (text: string) => void;
	/** `HOST:PORT` of the server. */
	readonly address: string;
	/** Returns the sockets that the server has accepted, in their order. */
	readonly listSockets: () => readonly Socket[];
} & Pick<RawCaller, 'listResponses' | 'hasEnded'>;

const createRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: mesh.example\r\n\r\n`;

/** Starts a server and a caller with one connection. */
async function startFixture(context: TestContext): Promise<Fixture> {
	const open = new Map<string, {readonly request: IncomingMessage; readonly response: ServerResponse}>();
	const admitted: string[] = [];
	const dropped: string[] = [];
	const server = createServer((request, response) => {
		const path = request.url ?? '';
		if (!connections.admit(request, response)) {
			dropped.push(path);
			return;
		}

		admitted.push(path);
		open.set(path, {request, response});
	});
	const connections = watchCallerConnections(server);
	const sockets: Socket[] = [];
	server.on('connection', (socket: Socket) => {
		sockets.push(socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const caller = openRawCaller(context, address);
	context.after(() => {
		server.close();
		server.closeAllConnections();
	});
	return {
		connections,
		admitted,
		dropped,
		answer(path, isClosing = true) {
			const {request, response} = open.get(path)!;
			response.writeHead(200, {'content-length': path.length, ...isClosing && connections.tryClose(request) ? {connection: 'close'} : {}});
			response.end(path);
		},
		respond(path, size) {
			const {request, response} = open.get(path)!;
			response.writeHead(200, {'content-length': size, ...connections.tryClose(request) ? {connection: 'close'} : {}});
			response.end(Buffer.alloc(size, 'x'));
		},
		send: caller.send,
		address,
		listSockets: () => sockets,
		listResponses: caller.listResponses,
		hasEnded: caller.hasEnded,
	};
}

const listBodies = (responses: readonly RawResponse[]): readonly string[] => responses.map(({text}) => text.split('\r\n\r\n')[1] ?? '').filter(body => body !== '');

// Guards against an answer that is dropped although its request was passed on, because the answer before it closed the connection.
test('responses close the connection only after the last request that was read, in whichever order they are ready', async context => {
	for (const order of [['/a', '/b', '/c'], ['/c', '/b', '/a'], ['/b', '/c', '/a']]) {
		const {send, admitted, answer, listResponses, hasEnded} = await startFixture(context);
		send(['/a', '/b', '/c'].map(path => createRequest(path)).join(''));
		await expectSoon('all are read', () => admitted.length === 3);
		for (const path of order) {
			answer(path);
		}

		await expectSoon('the connection ends', hasEnded);
		assert.deepEqual(listBodies(listResponses()), ['/a', '/b', '/c']);
		assert.deepEqual(listResponses().map(({isClosing}) => isClosing), [false, false, true]);
	}
});

// Guards against a request that is passed on although its answer cannot be sent any more.
test('a request behind a response that closes is not admitted', async context => {
	const {send, admitted, dropped, answer, listResponses, hasEnded} = await startFixture(context);
	send(createRequest('/a') + createRequest('/b'));
	await expectSoon('both are read', () => admitted.length === 2);
	answer('/b');
	send(createRequest('/c'));
	await expectSoon('the third is dropped', () => dropped.length === 1);
	answer('/a');
	await expectSoon('the connection ends', hasEnded);
	assert.deepEqual(listBodies(listResponses()), ['/a', '/b']);
});

// Guards against an answer that is lost because its caller has sent bytes behind its request that are none.
test('a request in work is answered before bytes behind it that are no request, and these get 400', async context => {
	const {send, admitted, answer, listResponses, hasEnded} = await startFixture(context);
	send(`${createRequest('/a')}${createRequest('/b')}no request\r\n\r\n`);
	await expectSoon('both are read', () => admitted.length === 2);
	send('more of it');
	answer('/b', false);
	answer('/a', false);
	await expectSoon('the connection ends', hasEnded);
	assert.deepEqual(listBodies(listResponses()), ['/a', '/b']);
	assert.deepEqual(listResponses().map(({status, isClosing}) => [status, isClosing]), [[200, false], [200, false], [400, true]]);
});

test('bytes that are no request, and a body that breaks off in error, get 400 at once', async context => {
	for (const text of ['no request\r\n\r\n', 'POST /a HTTP/1.1\r\nHost: mesh.example\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n']) {
		const {send, listResponses, hasEnded} = await startFixture(context);
		send(text);
		await expectSoon('the connection ends', hasEnded);
		assert.deepEqual(listResponses().map(({status}) => status), [400]);
	}
});

// Guards against a shutdown that closes a connection while a request that was read from it is in work.
test('stopping closes idle connections at once and the others after their last response', async context => {
	const idle = await startFixture(context);
	idle.send(createRequest('/a'));
	await expectSoon('it is read', () => idle.admitted.length === 1);
	idle.answer('/a', false);
	await expectSoon('it is answered', () => listBodies(idle.listResponses()).length === 1);
	await idle.connections.stop();
	await expectSoon('the idle connection ends', idle.hasEnded);

	const busy = await startFixture(context);
	busy.send(createRequest('/a') + createRequest('/b'));
	await expectSoon('both are read', () => busy.admitted.length === 2);
	busy.answer('/b', false);
	assert.equal(busy.connections.countUnsent(), 1, 'the second response waits behind the first');
	await busy.connections.stop();
	busy.send(createRequest('/c'));
	await expectSoon('the third is dropped', () => busy.dropped.length === 1);
	busy.answer('/a');
	await expectSoon('the connection ends', busy.hasEnded);
	assert.deepEqual(listBodies(busy.listResponses()), ['/a', '/b']);
	assert.equal(busy.connections.countUnsent(), 0);
});

// Guards against a shutdown that resets connections whose requests arrived while the process stood still, since due timers run before the sockets are read.
test('requests and connections that arrived before the stop are read before anything is closed', async context => {
	const fixture = await startFixture(context);
	fixture.send(createRequest('/a'));
	await expectSoon('it is read', () => fixture.admitted.length === 1);
	fixture.answer('/a', false);
	await expectSoon('it is answered', () => listBodies(fixture.listResponses()).length === 1);
	const callers = Array.from({length: 4}, () => openRawCaller(context, fixture.address));
	await new Promise<void>(resolve => {
		setTimeout(async () => {
			await fixture.connections.stop();
			resolve();
		}, 20);
		fixture.send(createRequest('/kept'));
		for (const [index, caller] of callers.entries()) {
			caller.send(createRequest(`/new${index}`));
		}

		blockEventLoop(100);
	});
	const paths = ['/kept', '/new0', '/new1', '/new2', '/new3'];
	assert.deepEqual(fixture.admitted.slice(1).toSorted(), paths);
	for (const path of paths) {
		fixture.answer(path);
	}

	await expectSoon('the connections end', () => fixture.hasEnded() && callers.every(caller => caller.hasEnded()));
	assert.deepEqual(listBodies(fixture.listResponses()), ['/a', '/kept']);
	assert.deepEqual(callers.map(caller => listBodies(caller.listResponses())), paths.slice(1).map(path => [path]));
});

// Guards against a shutdown that decides once which connections are idle and closes them all, so that requests which arrive meanwhile, as while the process stands still, get no response.
test('a request that arrives after another idle connection was closed at the stop, and before its own is, is answered', async context => {
	const fixture = await startFixture(context);
	const callers = Array.from({length: 6}, () => openRawCaller(context, fixture.address));
	for (const [index, caller] of callers.entries()) {
		const path = `/first${index}`;
		caller.send(createRequest(path));
		await expectSoon('it is read', () => fixture.admitted.includes(path));
		fixture.answer(path, false);
		await expectSoon('it is answered', () => listBodies(caller.listResponses()).length === 1);
	}

	await new Promise<void>(resolve => {
		// The first connection is that of the fixture itself.
		fixture.listSockets()[1]!.once('finish', () => {
			for (const [index, caller] of callers.entries()) {
				caller.send(createRequest(`/late${index}`));
			}

			blockEventLoop(100);
			resolve();
		});
		void fixture.connections.stop();
	});
	const paths = callers.slice(1).map((_, index) => `/late${index + 1}`);
	await expectSoon('the requests on the other connections are admitted', () => fixture.admitted.length === callers.length + paths.length);
	for (const path of paths) {
		fixture.answer(path);
	}

	await expectSoon('the connections end', () => callers.every(caller => caller.hasEnded()));
	assert.deepEqual(callers.slice(1).map(caller => listBodies(caller.listResponses()).at(-1)), paths);
});

// Guards against a shutdown that closes a connection whose caller is sending a request, or has just connected to send one.
test('stopping leaves connections open for a moment on which a request is expected, and answers it', async context => {
	const used = await startFixture(context);
	used.send(createRequest('/a'));
	await expectSoon('it is read', () => used.admitted.length === 1);
	used.answer('/a', false);
	await expectSoon('it is answered', () => listBodies(used.listResponses()).length === 1);
	const request = createRequest('/late');
	used.send(request.slice(0, 10));
	const [opened, silent] = [openRawCaller(context, used.address), openRawCaller(context, used.address)];
	await expectSoon('all are accepted', () => used.listSockets().length === 3 && used.listSockets()[0]!.bytesRead > createRequest('/a').length);
	await used.connections.stop();
	assert.equal(used.connections.countUnsent(), 3);
	await sleep(100);
	used.send(request.slice(10));
	opened.send(createRequest('/first'));
	await expectSoon('both are admitted', () => used.admitted.length === 3);
	used.answer('/late');
	used.answer('/first');
	await expectSoon('their connections end', () => used.hasEnded() && opened.hasEnded());
	assert.deepEqual([used, opened].map(caller => listBodies(caller.listResponses()).at(-1)), ['/late', '/first']);
	await expectSoon('the connection without a request ends', silent.hasEnded);
	assert.equal(used.connections.countUnsent(), 0);
});

/** Sends a request on a connection of its own, reads nothing until it has sent more behind the response, and returns how many bytes of a body it got. */
async function readLate(context: TestContext, {address, admitted}: Pick<Fixture, 'address' | 'admitted'>, answer: () => void, textBehind: string): Promise<number> {
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port)});
	context.after(() => {
		socket.destroy();
	});
	let received = '';
	socket.on('error', () => undefined);
	socket.on('data', (bytes: Uint8Array) => {
		received += Buffer.from(bytes).toString('latin1');
	});
	socket.pause();
	socket.write(createRequest('/late'));
	await expectSoon('the request is read', () => admitted.includes('/late'));
	answer();
	for (let sent = 0; sent < 3; sent++) {
		await sleep(20);
		socket.write(textBehind);
	}

	await sleep(50);
	socket.resume();
	await expectSoon('the connection ends', () => socket.closed);
	return (received.split('\r\n\r\n')[1] ?? '').length;
}

// Guards against a caller that gets no whole answer, or none, since bytes behind its request reset the connection that the answer has closed.
for (const [size, behind, text] of [
	[1500, 'requests', createRequest('/behind')],
	[300_000, 'requests', createRequest('/behind')],
	[300_000, 'bytes that are no request', 'no request\r\n\r\n'],
	[6_000_000, 'requests', createRequest('/behind')],
] as const) {
	test(`a response of ${size} bytes that closes its connection reaches a caller that sends ${behind} behind it and reads late`, async context => {
		const {address, admitted, respond, connections} = await startFixture(context);
		const bytes = await readLate(context, {address, admitted}, () => {
			respond('/late', size);
		}, text);
		assert.equal(bytes, size);
		assert.deepEqual(admitted, ['/late']);
		await expectSoon('nothing is unsent', () => connections.countUnsent() === 0);
	});
}

// Guards against a shutdown that takes a response which was handed over, and is not sent, for one that its caller has.
test('stopping does not cut off a response whose caller has not read it yet', async context => {
	const {address, admitted, respond, connections} = await startFixture(context);
	const size = 6_000_000;
	const bytes = await readLate(context, {address, admitted}, () => {
		respond('/late', size);
		void connections.stop();
	}, '');
	assert.equal(bytes, size);
});

// Guards against a node that exits before a caller has read the response that closed its connection.
test('a response that closed its connection counts as unsent until its caller closes too, or for a moment', async context => {
	const {address, admitted, respond, connections} = await startFixture(context);
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port), allowHalfOpen: true});
	context.after(() => {
		socket.destroy();
	});
	socket.resume();
	socket.write(createRequest('/a'));
	await expectSoon('it is read', () => admitted.length === 1);
	respond('/a', 10);
	await sleep(100);
	assert.equal(connections.countUnsent(), 1);
	await expectSoon('it does not count any more', () => connections.countUnsent() === 0);
});
