import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {createMemoryLedger, type MemoryLedger} from '../memory/memory-ledger.js';
import {silentLog} from '../timeline/mesh-log.js';
import {createNotRun} from './forward-result.js';
import {createFrameReader, encodeFrameHead, type Frame} from './frame.js';
import {createGateServer, type GateServerContext} from './gate-server.js';
import {createLinkWriter} from './link-writer.js';

type Gate = GateServerContext['gate'];

type Fixture = {
	readonly open: () => Promise<Socket>;
	/** Causes of the refusals. */
	readonly refused: string[];
	/** Returns the number of calls at the gate whose scopes have not ended. */
	readonly countCalls: () => number;
};

const configBytes = 1_000_000;

/** Starts a gate server whose gate reads the body of each upload, and holds each other call until its scope ends. */
async function startFixture(context: TestContext, ledger?: MemoryLedger): Promise<Fixture> {
	const refused: string[] = [];
	let calls = 0;
	const gate: Pick<Gate, 'run'> = {
		async run({scope, isLargeUpload, readBody}) {
			if (isLargeUpload) {
				await readBody();
				return {result: createNotRun('full', 'read'), load: undefined};
			}

			return new Promise(resolve => {
				calls++;
				scope.subscribe(reason => {
					calls--;
					resolve({result: createNotRun(reason, 'ended'), load: undefined});
				});
			});
		},
	};
	const {server, dispose} = createGateServer({
		...ledger !== undefined && {ledger},
		gate: gate as Gate, getConfig: () => ({head: ['whole'], body: Buffer.alloc(configBytes)}), log: silentLog, link: createLinkWriter(1000),
		async waitForPendingInput() {
			// The event loop does not lag in this test.
		},
		refusals: {
			record({cause}) {
				refused.push(cause);
			},
			dispose: () => undefined,
		},
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		dispose();
		server.close();
	});
	return {
		refused,
		countCalls: () => calls,
		async open() {
			const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
			socket.on('error', () => undefined);
			context.after(() => {
				socket.destroy();
			});
			await once(socket, 'connect');
			return socket;
		},
	};
}

const encode = (frame: Pick<Frame, 'type' | 'id'> & Partial<Frame>): Uint8Array => Buffer.concat([encodeFrameHead(frame), frame.body ?? Buffer.alloc(0)]);
const encodeRequest = (id: number): Uint8Array => encode({type: 'request', id, head: ['c1', 'i-1', 'GET', '/', {}, 0, 'hall', 1, 60_000, 0]});

const encodeOffer = (id: number): Uint8Array => encode({type: 'offer', id, head: ['c1', 'i-1', 'POST', '/', {}, 1, 'hall', 1, 60_000, 0]});

const expectClosed = async (socket: Socket): Promise<void> => expectSoon('the connection is closed', () => socket.destroyed || socket.readableEnded);

test('unreadable bytes close their connection and cancel its requests; other connections are not affected', async context => {
	const {open, refused, countCalls} = await startFixture(context);
	const [good, bad] = [await open(), await open()];
	good.write(encodeRequest(1));
	bad.write(encodeRequest(1));
	await expectSoon('both requests are in flight', () => countCalls() === 2);
	bad.resume();
	bad.write('GET / HTTP/1.1\r\n\r\n');
	await expectClosed(bad);
	await expectSoon('one request is in flight', () => countCalls() === 1);
	assert.deepEqual(refused, ['unreadable']);
	const frames: Frame[] = [];
	const reader = createFrameReader();
	good.on('data', (bytes: Uint8Array) => {
		frames.push(...reader.read(bytes));
	});
	good.write(encode({type: 'ping', id: 5}));
	await expectSoon('the other connection receives a pong', () => frames.some(({type}) => type === 'pong'));
	assert.equal(countCalls(), 1);
});

test('a request with an id that is already in flight closes the connection', async context => {
	const {open, refused, countCalls} = await startFixture(context);
	const socket = await open();
	socket.resume();
	socket.write(Buffer.concat([encodeRequest(1), encodeRequest(1)]));
	await expectClosed(socket);
	assert.deepEqual(refused, ['unreadable']);
	await expectSoon('no request is in flight', () => countCalls() === 0);
});

test('too many requests in flight on a connection are refused as a flood', async context => {
	const {open, refused, countCalls} = await startFixture(context);
	const socket = await open();
	socket.resume();
	socket.write(Buffer.concat(Array.from({length: 5000}, (_, id) => encodeRequest(id))));
	await expectClosed(socket);
	assert.deepEqual(refused, ['flood']);
	await expectSoon('no request is in flight', () => countCalls() === 0);
});

test('unread responses are buffered up to a limit', async context => {
	const {open, refused} = await startFixture(context);
	const socket = await open();
	socket.pause();
	for (let id = 0; id < 200; id++) {
		socket.write(encode({type: 'config', id}));
	}

	await expectSoon('the connection is refused', () => refused.length > 0);
	assert.deepEqual(refused, ['flood']);
});

test('incomplete frames are buffered up to a limit over all connections, and a closed connection releases its bytes', async context => {
	const {open, refused, countCalls} = await startFixture(context);
	const sockets = [await open(), await open()];
	const part = Buffer.concat([encodeFrameHead({type: 'body', id: 1, body: Buffer.alloc(60_000_000)}), Buffer.alloc(50_000_000)]);
	for (const socket of sockets) {
		socket.resume();
		socket.write(part);
	}

	await expectSoon('one connection is closed', () => sockets.some(socket => socket.destroyed || socket.readableEnded));
	const held = sockets.find(socket => !socket.destroyed && !socket.readableEnded)!;
	const frames: Frame[] = [];
	const reader = createFrameReader();
	held.on('data', (bytes: Uint8Array) => {
		frames.push(...reader.read(bytes));
	});
	held.write(Buffer.alloc(10_000_000));
	held.write(encode({type: 'ping', id: 5}));
	await expectSoon('the other connection receives a pong', () => frames.some(({type}) => type === 'pong'));
	// The closed connection and the completed frame have released their bytes, so there is room for another connection.
	const last = await open();
	last.on('data', () => undefined);
	last.write(part);
	last.write(Buffer.alloc(10_000_000));
	last.write(encodeRequest(2));
	await expectSoon('the request of the last connection is in flight', () => countCalls() === 1);
	assert.deepEqual(refused, ['flood']);
});

/** Opens a connection on which the bodies of uploads can be sent. */
async function openForUploads({open}: Fixture): Promise<{readonly socket: Socket; readonly expectFrame: (type: Frame['type'], id: number) => Promise<void>}> {
	const socket = await open();
	const reader = createFrameReader();
	const received = new Set<string>();
	socket.on('data', (bytes: Uint8Array) => {
		for (const {type, id} of reader.read(bytes)) {
			received.add(`${type} ${id}`);
		}
	});
	return {socket, expectFrame: async (type, id) => expectSoon(`${type} ${id} arrives`, () => received.has(`${type} ${id}`))};
}

// Guards against a limit that each complete body raises, since more bytes are released with it than were counted.
test('bodies in pieces are buffered up to a limit, whatever arrived before', async context => {
	const fixture = await startFixture(context);
	const {socket, expectFrame} = await openForUploads(fixture);
	for (let id = 1; id <= 5; id++) {
		socket.write(encodeOffer(id));
		await expectFrame('continue', id);
		socket.write(encode({type: 'piece', id, body: Buffer.alloc(1)}));
		socket.write(encode({type: 'body', id, body: Buffer.alloc(20_000_000)}));
		await expectFrame('answer', id);
	}

	assert.deepEqual(fixture.refused, []);
	socket.write(encodeOffer(6));
	await expectFrame('continue', 6);
	for (let count = 0; count < 9; count++) {
		socket.write(encode({type: 'piece', id: 6, body: Buffer.alloc(10_000_000)}));
	}

	await expectClosed(socket);
	assert.deepEqual(fixture.refused, ['flood']);
});

// Guards against memory without a limit for pieces that are empty or nearly so, of which each takes more than its bytes.
test('empty pieces of a body are buffered up to a limit', async context => {
	const fixture = await startFixture(context);
	const {socket, expectFrame} = await openForUploads(fixture);
	socket.write(encodeOffer(1));
	await expectFrame('continue', 1);
	const piece = encode({type: 'piece', id: 1});
	socket.write(Buffer.alloc(piece.length * 800_000, piece));
	await expectClosed(socket);
	assert.deepEqual(fixture.refused, ['flood']);
});

/** Longer than a client may be without progress, in milliseconds. */
const silentMs = 1100;

// Guards against requests that end while servers work on them, since the other node sends nothing meanwhile and others need room.
test('a connection of another node is not given up for what others need while it waits for servers, and is if it waits for nothing', async context => {
	const ledger = createMemoryLedger({bufferBytes: 100_000, requestBytes: 100_000});
	const {open, refused, countCalls} = await startFixture(context, ledger);
	const [waiting, stalled] = [await open(), await open()];
	const frame = encode({
		type: 'request', id: 2, head: ['c2', 'i-1', 'POST', '/', {}, 0, 'hall', 1, 60_000, 0], body: Buffer.alloc(80_000),
	});
	const part = frame.subarray(0, frame.length / 2);
	waiting.write(Buffer.concat([encodeRequest(1), part]));
	stalled.write(part);
	await expectSoon('both have sent a part', () => countCalls() === 1 && ledger.count('buffers') >= 2 * part.length);
	await sleep(silentMs);
	assert.ok(ledger.clearRoom('buffers', 50_000));
	assert.ok(!ledger.clearRoom('buffers', 90_000));
	stalled.resume();
	await expectClosed(stalled);
	assert.deepEqual([countCalls(), refused], [1, ['flood']]);
});
