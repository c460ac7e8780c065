/** Guards against a request that the node answers with its own 502 while its server works on it, since bytes that belong to no request came first. */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {createSilentQuarantine} from '../quarantine/sample-quarantine.js';
import {noRollouts} from '../rollout/no-rollouts.js';
import {silentLog} from '../timeline/mesh-log.js';
import {createCallScope} from './call-scope.js';
import {type CallHeaderNames} from './call-headers.js';
import {createLocalGate, type GateCall, type LocalGate} from './local-gate.js';

const headerNames: CallHeaderNames = {
	callId: 'x-call', timeLeft: 'x-left', expectedServer: 'x-server', callerService: 'x-caller', signature: 'x-signature', notRun: 'x-not-run', serverLimit: 'x-limit', serverLeaving: 'x-leaving', serverLoad: 'x-load', authorization: 'authorization', authorizationScheme: 'token', workspace: 'x-workspace',
};
const id = toBackendServerId('i-1');

const formatAnswer = (call: string, body = 'page'): string => `HTTP/1.1 200 OK\r\nx-call: ${call}\r\nx-signature: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

/** How long after the other bytes a server sends the response that is due. */
const ownAnswerMs = 50;

/** Time that the caller of a request has. */
const timeLeftMs = 1500;

type Fixture = {
	readonly gate: LocalGate;
	readonly countConnections: () => number;
};

/** What a server sends to the last request instead of or before its response; `undefined` for the response. */
type Behaviour = (socket: Socket, own: string) => void;

/** Starts a gate beside a server that answers each request, the last one as the behaviour says. */
async function startGate(context: TestContext, requests: readonly string[], behave: Behaviour): Promise<Fixture> {
	const sockets = new Set<Socket>();
	let received = 0;
	const server = createServer(socket => {
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			const own = formatAnswer(requests[received] ?? '', 'whole');
			received++;
			if (received === requests.length) {
				behave(socket, own);
			} else {
				socket.write(own);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const gate = createLocalGate({
		drainMs: 2500,
		headerNames, log: silentLog, refusals: {record: () => undefined}, handleChange: () => undefined, getMaxConnections: () => 1, quarantine: createSilentQuarantine(), isLeaving: () => false,
		linkMbps: 1000, countQueuedBytes: () => 0, rollouts: noRollouts, countLimited: () => undefined, findRouteName: () => undefined,
	});
	context.after(() => {
		gate.dispose();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	gate.announce({
		lifetime: {id, startedAt: Date.now()}, service: 'pages', version: 'v1', address: toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), slots: 1, isDraining: false, coldMs: 0, sequence: 1,
	});
	return {gate, countConnections: () => sockets.size};
}

function createCall(context: TestContext, call: string, method: string): GateCall {
	const scope = createCallScope(performance.now() + timeLeftMs);
	context.after(scope.dispose);
	return {
		id: call, server: id, method, target: '/', headers: {}, hasBody: false, isLargeUpload: false, readBody: async () => undefined, callerService: 'front', rank: 0, mayWaitMs: 1000, isCounted: false,
		scope,
	};
}

/** Sends requests one after the other, and returns how the last one ended. */
async function sendAll(context: TestContext, {gate}: Fixture, requests: readonly string[], methods: readonly string[] = []): Promise<string> {
	let last = '';
	for (const [index, call] of requests.entries()) {
		const {result} = await gate.run(createCall(context, call, methods[index] ?? 'POST'));
		last = result.type === 'answered' ? `${result.status} ${new TextDecoder().decode(result.body)}` : `${result.reason} ${result.verdict}`;
	}

	return last;
}

const requests = ['one', 'two', 'three', 'four'];

/** A server that sends other bytes before its response, in a packet of their own. */
const sendBefore = (other: string): Behaviour => (socket, own) => {
	socket.write(other, 'latin1');
	setTimeout(() => {
		socket.write(own);
	}, ownAnswerMs);
};

/** A server that sends other bytes and its response at once. */
const sendTogether = (other: string): Behaviour => (socket, own) => {
	socket.write(other + own, 'latin1');
};

const otherBytes: ReadonlyArray<readonly [string, string]> = [
	['a copy of the answer to the request before', formatAnswer('three')],
	['copies of the answers to three requests', formatAnswer('two') + formatAnswer('one') + formatAnswer('three')],
	['two copies of one answer', formatAnswer('three') + formatAnswer('three')],
	['a copy without an id', 'HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 4\r\n\r\npage'],
	['a refusal without an id', 'HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n'],
	['an answer to a request that the connection has not carried', formatAnswer('other')],
	['a copy that closes its connection', 'HTTP/1.1 200 OK\r\nx-call: three\r\nx-signature: s\r\nconnection: close\r\ncontent-length: 4\r\n\r\npage'],
	['a copy without a length', 'HTTP/1.1 200 OK\r\nx-call: three\r\nx-signature: s\r\n\r\npage'],
	['a copy that is shorter than its length', 'HTTP/1.1 200 OK\r\nx-call: three\r\nx-signature: s\r\ncontent-length: 40\r\n\r\npage'],
	['a copy that is longer than its length', 'HTTP/1.1 200 OK\r\nx-call: three\r\nx-signature: s\r\ncontent-length: 2\r\n\r\npage'],
	['a copy in chunks', 'HTTP/1.1 200 OK\r\nx-call: three\r\ntransfer-encoding: chunked\r\n\r\n4\r\npage\r\n0\r\n\r\n'],
	['a copy in malformed chunks', 'HTTP/1.1 200 OK\r\nx-call: three\r\ntransfer-encoding: chunked\r\n\r\n-4\r\npage\r\n'],
	['a copy of an answer to HEAD', 'HTTP/1.1 200 OK\r\nx-call: three\r\nx-signature: s\r\ncontent-length: 600\r\n\r\n'],
	['a copy that breaks off between two headers', 'HTTP/1.1 200 OK\r\nx-call: three\r\n'],
	['a copy that breaks off within the name of a header', 'HTTP/1.1 200 OK\r\nx-ca'],
	['a copy that breaks off within the value of a header', 'HTTP/1.1 200 OK\r\nx-signature: ab'],
	['a refusal that breaks off within the value of a header', 'HTTP/1.1 503 Full\r\nx-not-run: 1\r\nserver: ab'],
	['an interim response and a refusal that breaks off', 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nx-not-run: 1\r\nserver: ab'],
	['an interim response and a status line that breaks off', 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 Inte'],
	['a copy that breaks off within the reason of its status line', 'HTTP/1.1 200 O'],
	['a malformed copy that names the id of the request', 'HTTP/1.1 200 OK\r\nx-call: three\r\nlocation: /four\r\ncontent-length: +1\r\n\r\n'],
	['a malformed copy whose id begins with that of the request', 'HTTP/1.1 200 OK\r\nx-call: four4\r\ncontent-length: +1\r\n\r\n'],
	['60 answers to other requests', formatAnswer('other').repeat(60)],
	['a copy that breaks off in its status line', 'HTTP/1.1 20'],
	['an interim response', 'HTTP/1.1 100 Continue\r\n\r\n'],
	['an interim response that breaks off in a header', 'HTTP/1.1 103 Early Hints\r\nlink: </'],
	['an interim response that breaks off in its status line', 'HTTP/1.1 100 '],
	['a copy that breaks off behind its status', 'HTTP/1.1 200 '],
	['an empty answer', 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'],
	['an answer without headers', 'HTTP/1.1 204 No Content\r\n\r\n'],
	['an upgrade', 'HTTP/1.1 101 Switching Protocols\r\n\r\n'],
	['bytes that are no response', 'qpwoeiruty 5521 0x7f\r\nalskdjf\r\n\r\n'],
	['bytes without an end of line', 'qpwoeiruty 5521 0x7f'],
	['the id of the request in bytes that are no response', 'four four\r\n\r\n'],
	['an empty line', '\r\n'],
	['bytes that resemble a status line', 'HTTP/1.HTTP/1.1 2HTTP/2 200 OK\r\n\r\n'],
	['thousands of bytes without an end', 'x'.repeat(40_000)],
];

for (const [name, other] of otherBytes) {
	for (const [how, behave] of [['in a packet of its own', sendBefore], ['right before the answer', sendTogether]] as const) {
		test(`a POST at work gets its answer behind ${name}, ${how}`, async context => {
			const fixture = await startGate(context, requests, behave(other));
			assert.equal(await sendAll(context, fixture, requests), '200 whole');
		});
	}
}

test('the first bytes that a new connection receives may belong to no request', async context => {
	const fixture = await startGate(context, ['one'], sendBefore('qpwoeiruty 5521 0x7f\r\nalskdjf\r\n\r\n'));
	assert.equal(await sendAll(context, fixture, ['one']), '200 whole');
});

for (const [before, method] of [['HEAD', 'POST'], ['POST', 'HEAD'], ['HEAD', 'HEAD']] as const) {
	test(`a ${method} at work gets its answer behind a copy of the answer to a ${before}`, async context => {
		const copy = `HTTP/1.1 200 OK\r\nx-call: one\r\nx-signature: s\r\ncontent-length: 4\r\n\r\n${before === 'HEAD' ? '' : 'page'}`;
		const pair = ['one', 'two'];
		const formatOwn = (own: string): string => method === 'HEAD' ? own.replace('whole', '') : own;
		const fixture = await startGate(context, pair, (socket, own) => {
			sendBefore(copy)(socket, formatOwn(own));
		});
		assert.equal(await sendAll(context, fixture, pair, [before === 'HEAD' ? 'GET' : before, method]), method === 'HEAD' ? '200 ' : '200 whole');
	});
}

test('other bytes that arrive byte by byte are skipped, and the answer behind them is read byte by byte', async context => {
	const fixture = await startGate(context, requests, async (socket, own) => {
		for (const byte of `junk${formatAnswer('three')}${own}`) {
			await new Promise(resolve => {
				socket.write(byte, resolve);
			});
		}
	});
	assert.equal(await sendAll(context, fixture, requests), '200 whole');
});

test('a connection on which other bytes came is not used again', async context => {
	const fixture = await startGate(context, requests, sendBefore(formatAnswer('three')));
	assert.equal(await sendAll(context, fixture, requests), '200 whole');
	assert.equal(fixture.countConnections(), 1);
	await sendAll(context, fixture, ['five']);
	assert.equal(fixture.countConnections(), 2);
});

test('a request whose connection closes behind other bytes ends at once, and may have run', async context => {
	const fixture = await startGate(context, requests, socket => {
		socket.end(formatAnswer('three'));
	});
	const startedAt = performance.now();
	assert.equal(await sendAll(context, fixture, requests), 'connection-lost may-have-run');
	assert.ok(performance.now() - startedAt < timeLeftMs / 2);
});

test('a request behind which only other bytes come ends at its deadline, and may have run', async context => {
	const fixture = await startGate(context, requests, socket => {
		socket.write(formatAnswer('three'));
	});
	assert.equal(await sendAll(context, fixture, requests), 'timeout may-have-run');
});

test('an answer with the id of the request that is malformed ends it at once', async context => {
	for (const malformed of [
		'HTTP/1.1 200 OK\r\nx-call: four\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n',
		'HTTP/1.1 200 OK\r\nx-call: four\r\ntransfer-encoding: chunked\r\n\r\n-1\r\n',
		'HTTP/1.1 200 OK\r\nx-call: four\r\ncontent-length: +1\r\nx-end: H\r\n\r\n',
		'HTTP/1.1 200 OK\r\nx-upstream: HTTP/1.1 200 OK\r\nx-call: four\r\ncontent-length: 0\r\n\r\n',
	]) {
		const fixture = await startGate(context, requests, socket => {
			socket.write(`junk${malformed}`);
		});
		const startedAt = performance.now();
		assert.equal(await sendAll(context, fixture, requests), 'connection-lost may-have-run', malformed);
		assert.ok(performance.now() - startedAt < timeLeftMs / 2);
	}
});

test('a status line in a header behind the id is the value of that header', async context => {
	const fixture = await startGate(context, requests, socket => {
		socket.write('HTTP/1.1 200 OK\r\nx-call: four\r\nx-signature: s\r\nx-upstream: HTTP/1.1 500 Bad\r\ncontent-length: 5\r\n\r\nwhole');
	});
	assert.equal(await sendAll(context, fixture, requests), '200 whole');
});

// Guards against responses without end that take the processor time of the gate, or end the request.
test('responses without end that belong to other requests leave the request until its deadline', async context => {
	const fixture = await startGate(context, requests, socket => {
		socket.write(formatAnswer('other').repeat(100));
	});
	assert.equal(await sendAll(context, fixture, requests), 'timeout may-have-run');
});
