import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {createServer as createRawServer, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {readSteadyMs} from '../common/clock.js';
import {toAddress} from '../common/ids.js';
import {createCallScope} from './call-scope.js';
import {encodeRequestHead} from './encode-request-head.js';
import {runExchange, type ExchangeResult} from './exchange.js';
import {createServerConnectionPool, type ServerConnectionPool} from './server-connection-pool.js';

type Fixture = {
	readonly server: Server;
	/** Connections that the server accepted. */
	readonly sockets: readonly Socket[];
	readonly pool: ServerConnectionPool;
	readonly get: (target: string) => Promise<ExchangeResult>;
};

/** Starts a server that sends the same bytes whenever it receives any. */
async function startRawServer(context: TestContext, text: string): Promise<{readonly sockets: readonly Socket[]; readonly pool: ServerConnectionPool}> {
	const sockets: Socket[] = [];
	const server = createRawServer(socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			socket.write(text);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const pool = createServerConnectionPool({
		address: toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), maxConnections: 8, idleMs: 4000, connectTimeoutMs: 400,
	});
	context.after(() => {
		pool.dispose();
		server.close();
	});
	return {sockets, pool};
}

async function sendOver(pool: ServerConnectionPool, target: string): Promise<ExchangeResult> {
	const scope = createCallScope(readSteadyMs() + 2000);
	const result = await runExchange({
		pool, id: target, method: 'GET', target, headers: {host: 'h'}, body: undefined, scope, idHeader: 'x-call', isOwnResponse: () => true,
	});
	scope.dispose();
	return result;
}

/** Starts a server that responds with the request's path, and creates a pool for it. */
async function startFixture(context: TestContext, limits: {readonly maxConnections?: number; readonly idleMs?: number} = {}): Promise<Fixture> {
	const sockets: Socket[] = [];
	const server = createServer((request, response) => {
		setTimeout(() => {
			response.end(request.url);
		}, 20);
	});
	server.on('connection', (socket: Socket) => {
		sockets.push(socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const pool = createServerConnectionPool({
		address: toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), maxConnections: 8, idleMs: 4000, connectTimeoutMs: 400, ...limits,
	});
	context.after(() => {
		pool.dispose();
		server.closeAllConnections();
		server.close();
	});
	return {
		server, sockets, pool,
		get: async target => sendOver(pool, target),
	};
}

const readBody = (result: ExchangeResult): string => result.type === 'answered' ? new TextDecoder().decode(result.body) : result.reason;

test('a connection is reused for sequential requests, and each gets its own response', async context => {
	const {sockets, get} = await startFixture(context);
	assert.equal(readBody(await get('/a')), '/a');
	assert.equal(readBody(await get('/b')), '/b');
	assert.equal(sockets.length, 1);
	const both = await Promise.all([get('/c'), get('/d')]);
	assert.deepEqual(both.map(result => readBody(result)), ['/c', '/d']);
	assert.equal(sockets.length, 2);
});

test('at most the maximum number of connections is opened; further requests wait for one', async context => {
	const {sockets, get} = await startFixture(context, {maxConnections: 2});
	const targets = ['/a', '/b', '/c', '/d', '/e'];
	const results = await Promise.all(targets.map(async target => get(target)));
	assert.deepEqual(results.map(result => readBody(result)), targets);
	assert.equal(sockets.length, 2);
});

test('a connection that was idle for too long is not reused', async context => {
	const {sockets, get} = await startFixture(context, {idleMs: 30});
	await get('/a');
	await new Promise(resolve => {
		setTimeout(resolve, 60);
	});
	assert.equal(readBody(await get('/b')), '/b');
	assert.equal(sockets.length, 2);
});

test('a connection with bytes after the response is not reused', async context => {
	const {sockets, pool} = await startRawServer(context, 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother');
	assert.equal(readBody(await sendOver(pool, '/a')), 'ok');
	assert.equal(readBody(await sendOver(pool, '/b')), 'ok');
	assert.equal(sockets.length, 2);
});

test('a connection that receives bytes without a request is not reused', async context => {
	const {sockets, get} = await startFixture(context);
	await get('/a');
	sockets[0]!.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother');
	await expectSoon('the connection is closed', () => sockets[0]!.destroyed);
	assert.equal(readBody(await get('/b')), '/b');
	assert.equal(sockets.length, 2);
});

test('after a renewal new connections are opened, and requests in flight on the old ones still get their responses', async context => {
	const {sockets, pool, get} = await startFixture(context);
	const before = get('/a');
	await expectSoon('the first request is connected', () => sockets.length === 1);
	pool.renew();
	const after = get('/b');
	assert.equal(readBody(await before), '/a');
	assert.equal(readBody(await after), '/b');
	assert.equal(sockets.length, 2);
	await expectSoon('the old connection is closed', () => sockets[0]!.destroyed);
});

test('a refused connection proves that the request was not sent; a lost connection does not', async context => {
	const {server, sockets, get} = await startFixture(context);
	const interrupted = get('/a');
	await expectSoon('the request is connected', () => sockets.length === 1);
	sockets[0]!.destroy();
	const lost = await interrupted;
	assert.deepEqual([lost.type, lost.type === 'failed' && lost.isSent], ['failed', true]);
	server.closeAllConnections();
	await new Promise(resolve => {
		server.close(resolve);
	});
	const refused = await get('/b');
	assert.deepEqual([refused.type, refused.type === 'failed' && refused.isSent], ['failed', false]);
});

test('a request whose method, target or headers would change the structure of the head is not sent', () => {
	const bad = [
		{method: 'GET', target: '/a b', headers: {}},
		{method: 'GET', target: '/a\r\nx: y', headers: {}},
		{method: 'GET /x', target: '/', headers: {}},
		{method: 'GET', target: '/', headers: {name: 'a\nb: c'}},
		{method: 'GET', target: '/', headers: {name: ['a', 'b\rc']}},
		{method: 'GET', target: '/', headers: {name: 'a\r\nb: c'}},
	];
	for (const request of bad) {
		assert.throws(() => encodeRequestHead({...request, body: undefined}), JSON.stringify(request));
	}
});

test('a request without a body has content-length: 0 if its method usually has a body', () => {
	const encode = (method: string): string => encodeRequestHead({
		method, target: '/', headers: {host: 'h'}, body: undefined,
	});
	assert.equal(encode('GET'), 'GET / HTTP/1.1\r\nhost: h\r\nconnection: keep-alive\r\n\r\n');
	assert.equal(encode('POST'), 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\nconnection: keep-alive\r\n\r\n');
});
