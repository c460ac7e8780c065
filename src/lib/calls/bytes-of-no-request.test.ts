/** Guards against a response that is taken for the answer to another request, and a request that ends while its server works on it, since the server sent bytes that belong to no request. */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {Readable} from 'node:stream';
import test, {type TestContext} from 'node:test';
import {createGate} from '../admission/gate.js';
import {
	toAddress, toBackendServerId, toNodeId, type CallId,
} from '../common/ids.js';
import {settle} from '../common/settle.js';
import {createSilentQuarantine} from '../quarantine/sample-quarantine.js';
import {createTimeline} from '../timeline/timeline.js';
import {createLamportClock} from '../timeline/lamport-clock.js';
import {type Attempt} from './attempt.js';
import {createServerSender, type ServerSender} from './server-sender.js';

/** Time that a request has. */
const deadlineMs = 1500;

/** How long after its answer a server sends the other bytes. */
const otherBytesAfterMs = 3;

/** How long a server works on a request. */
const workMs = 50;

/** A request as the server received its head. */
type Received = {readonly call: string; readonly path: string; readonly number: number; readonly receivedBefore: number};

type Behaviour = (socket: Socket, request: Received) => void;

const formatAnswer = (call: string | undefined, body: string): string => `HTTP/1.1 200 OK\r\n${call === undefined ? '' : `stonemoor-call: ${call}\r\n`}content-length: ${body.length}\r\n\r\n${body}`;

type Fixture = {
	readonly sender: ServerSender;
	readonly countConnections: () => number;
	readonly countReceivedBytes: () => number;
};

/** Starts a server that handles each request as the behaviour says, and a sender to it. */
async function startSender(context: TestContext, behave: Behaviour): Promise<Fixture> {
	const sockets = new Set<Socket>();
	let number = 0;
	let receivedBytes = 0;
	const server = createServer(socket => {
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('data', (bytes: Uint8Array) => {
			receivedBytes += bytes.length;
			const text = new TextDecoder('latin1').decode(bytes);
			const path = /^[A-Z]+ (\S+) HTTP\/1\.1\r\n/.exec(text)?.[1];
			if (path === undefined) {
				return;
			}

			number++;
			behave(socket, {
				call: /stonemoor-call: (\S+)/.exec(text)?.[1] ?? '', path, number, receivedBefore: receivedBytes - bytes.length,
			});
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const slots = 1;
	const sender = createServerSender({
		id: toBackendServerId('s-1'), service: 'pages', address: toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), slots, connections: slots, startedAt: 1000, isDraining: false,
	}, createGate(slots, {
		queuePerSlot: 2, maximumWaitMs: 500, targetWaitMs: 50, bulkShare: 0.5, announcementLifeMs: 6000,
	}), {
		quarantine: createSilentQuarantine(), maxLimitWaitMs: 100, timeline: createTimeline(toNodeId('n-1'), createLamportClock()), handleLeaving: () => undefined,
	});
	context.after(async () => {
		await sender.dispose();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {sender, countConnections: () => sockets.size, countReceivedBytes: () => receivedBytes};
}

/** Sends a request and returns what its caller gets. */
async function send({sender}: Fixture, path: string, method = 'POST', body?: Attempt['body']): Promise<string> {
	const result = await sender.send({
		call: `call-${path.slice(1)}` as CallId, method, path, headers: {}, body, workClass: 'interactive', deadline: Date.now() + deadlineMs, signal: AbortSignal.timeout(deadlineMs),
		fingerprint: undefined, entry: 'n-1', limitPerSecond: undefined,
	});
	if (result.type === 'failed') {
		return `${result.reason} ${result.verdict}`;
	}

	const chunks = await settle(result.body.setEncoding('latin1').toArray() as Promise<readonly string[]>);
	return chunks === undefined ? 'broken' : `${result.status} ${chunks.join('')}`;
}

/** Sends the paths one after the other. */
async function sendAll(fixture: Fixture, paths: readonly string[], method = 'POST'): Promise<readonly string[]> {
	const results: string[] = [];
	for (const path of paths) {
		results.push(await send(fixture, path, method));
	}

	return results;
}

/** A server that answers at once, sends other bytes 3 ms later on each kept connection, and works longer on the next requests. */
const answerAndSend = (format: (request: Received) => string, createOther: (request: Received) => string): Behaviour => (socket, request) => {
	setTimeout(() => {
		socket.write(format(request), 'latin1');
		setTimeout(() => {
			socket.write(createOther(request), 'latin1');
		}, otherBytesAfterMs);
	}, request.number === 1 ? 0 : workMs);
};

const formatWithId = ({call, path}: Received): string => formatAnswer(call, path);
const formatWithoutId = ({path}: Received): string => formatAnswer(undefined, path);

const paths = ['/one', '/two', '/three'];
const ownAnswers = ['200 /one', '200 /two', '200 /three'];

const otherBytes: ReadonlyArray<readonly [string, (request: Received) => string]> = [
	['a copy of its answer', ({call, path}) => formatAnswer(call, path)],
	['a copy of its answer without the id', ({path}) => formatAnswer(undefined, path)],
	['two copies of its answer', ({call, path}) => formatAnswer(call, path).repeat(2)],
	['a copy that is shorter than its length', ({call}) => `HTTP/1.1 200 OK\r\nstonemoor-call: ${call}\r\ncontent-length: 40\r\n\r\npage`],
	['a copy that is longer than its length', ({call}) => `HTTP/1.1 200 OK\r\nstonemoor-call: ${call}\r\ncontent-length: 2\r\n\r\npage`],
	['a copy that closes its connection', ({call}) => `HTTP/1.1 200 OK\r\nstonemoor-call: ${call}\r\nconnection: close\r\ncontent-length: 4\r\n\r\npage`],
	['a copy that breaks off in its head', ({call}) => `HTTP/1.1 200 OK\r\nstonemoor-call: ${call}\r\n`],
	['a refusal without an id', () => 'HTTP/1.1 503 Full\r\nstonemoor-verdict: not-run\r\ncontent-length: 0\r\n\r\n'],
	['an interim response', () => 'HTTP/1.1 100 Continue\r\n\r\n'],
	['bytes that are no response', () => 'qpwoeiruty 5521 0x7f\r\nalskdjf\r\n\r\n'],
	['an empty line', () => '\r\n'],
];

for (const [name, createOther] of otherBytes) {
	for (const [kind, format] of [['names the call in its answers', formatWithId], ['names no call', formatWithoutId]] as const) {
		test(`each request gets its own answer from a server that ${kind} and sends ${name} 3 ms later`, async context => {
			const fixture = await startSender(context, answerAndSend(format, createOther));
			assert.deepEqual(await sendAll(fixture, paths), ownAnswers);
		});
	}
}

test('the answer of a kept connection that arrives right behind a copy is found', async context => {
	let earlier = '';
	const fixture = await startSender(context, (socket, request) => {
		socket.write(earlier + formatWithId(request), 'latin1');
		earlier = formatWithId(request);
	});
	assert.deepEqual(await sendAll(fixture, [...paths, '/four']), [...ownAnswers, '200 /four']);
});

test('the answer behind a copy is found if both arrive byte by byte', async context => {
	let earlier = '';
	const fixture = await startSender(context, async (socket, request) => {
		const text = earlier + formatWithId(request);
		earlier = `junk${formatWithId(request)}`;
		for (const byte of text) {
			await new Promise(resolve => {
				socket.write(byte, resolve);
			});
		}
	});
	assert.deepEqual(await sendAll(fixture, paths), ownAnswers);
});

test('HEAD: each request gets its own answer behind copies', async context => {
	const format = ({call, path}: Received): string => formatAnswer(call, path).slice(0, -path.length);
	const fixture = await startSender(context, answerAndSend(format, format));
	assert.deepEqual(await sendAll(fixture, paths, 'HEAD'), ['200 ', '200 ', '200 ']);
});

test('interim responses before an answer are passed over', async context => {
	const fixture = await startSender(context, (socket, request) => {
		socket.write('HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n');
		setTimeout(() => {
			socket.write(formatWithId(request));
		}, workMs);
	});
	assert.deepEqual(await sendAll(fixture, paths), ownAnswers);
});

test('connections of a server that names the call in its answers are kept; those of another carry one request each', async context => {
	const naming = await startSender(context, (socket, request) => {
		socket.write(formatWithId(request));
	});
	await sendAll(naming, [...paths, '/four', '/five']);
	// The first answer shows that the server names the call.
	assert.equal(naming.countConnections(), 2);
	const other = await startSender(context, (socket, request) => {
		socket.write(formatWithoutId(request));
	});
	assert.deepEqual(await sendAll(other, paths), ownAnswers);
	assert.equal(other.countConnections(), paths.length);
});

// A server may pass on an answer of the mesh to a call of its own, with the id of that call.
test('an answer with the id of another call is its own on the first request of a connection of a server that names no call', async context => {
	const fixture = await startSender(context, (socket, {path}) => {
		socket.write(formatAnswer('nested', path));
	});
	assert.deepEqual(await sendAll(fixture, paths), ownAnswers);
});

test('an answer with the id of another call is never that of a request to a server that names the call', async context => {
	const fixture = await startSender(context, (socket, request) => {
		socket.write(request.number === 1 ? formatWithId(request) : formatAnswer('call-one', '/one'));
	});
	assert.deepEqual(await sendAll(fixture, ['/one', '/two']), ['200 /one', 'timeout may-have-run']);
});

test('a request whose connection closes behind other bytes ends at once, and may have run', async context => {
	const fixture = await startSender(context, (socket, request) => {
		if (request.number === 3) {
			socket.end(formatAnswer('call-two', '/two'));
		} else {
			socket.write(formatWithId(request));
		}
	});
	const startedAt = performance.now();
	assert.deepEqual(await sendAll(fixture, paths), ['200 /one', '200 /two', 'connection-lost may-have-run']);
	assert.ok(performance.now() - startedAt < deadlineMs / 2);
});

test('an upload goes on while other bytes arrive, and its answer is read as a stream', {timeout: 20_000}, async context => {
	const bodyBytes = 20_000_000;
	const pieceBytes = 100_000;
	const answer = 'x'.repeat(3_000_000);
	const fixture = await startSender(context, (socket, request) => {
		if (request.number < 3) {
			socket.write(formatWithId(request));
			return;
		}

		socket.write(formatAnswer('call-two', '/two'));
		const timer = setInterval(() => {
			if (fixture.countReceivedBytes() - request.receivedBefore > bodyBytes) {
				clearInterval(timer);
				socket.write(formatAnswer(request.call, answer));
			}
		}, 5);
		socket.once('close', () => {
			clearInterval(timer);
		});
	});
	assert.deepEqual(await sendAll(fixture, ['/one', '/two']), ['200 /one', '200 /two']);
	const body = Readable.from((function * () {
		for (let sent = 0; sent < bodyBytes; sent += pieceBytes) {
			yield new Uint8Array(pieceBytes);
		}
	})());
	const result = await send(fixture, '/three', 'PUT', body);
	assert.ok(result === `200 ${answer}`, result.slice(0, 100));
});
