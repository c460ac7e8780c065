/** Guards against a response that a server broke off in its head, and that callers get as a complete one with an empty or short body. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {toAddress} from '../common/ids.js';
import {createMemoryLedger} from '../memory/memory-ledger.js';
import {createResponseMemory} from './response-memory.js';
import {createCallScope} from './call-scope.js';
import {runExchange, type ExchangeResult} from './exchange.js';
import {createServerConnectionPool} from './server-connection-pool.js';

/** Responses in each form that the end of a response can take. */
const responses: ReadonlyArray<readonly [string, string]> = [
	['with a length', 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Call: c1\r\nContent-Length: 11\r\n\r\nwhole\r\n\r\nxx'],
	['in chunks', 'HTTP/1.1 200 OK\r\nX-Call: c1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'],
	['up to the end of its connection', 'HTTP/1.1 200 OK\r\nX-Call: c1\r\n\r\nwhole'],
	['behind an interim response', 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 5\r\n\r\nwhole'],
	['with an HTTP/1.0 head', 'HTTP/1.0 200 OK\r\nX-Call: c1\r\n\r\nwhole'],
];

/** Starts a server that sends the given bytes in response to each request and closes its connection. */
async function startServer(context: TestContext, getText: () => string, close: (socket: Socket, text: string) => void): Promise<string> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			close(socket, getText());
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (const [how, close] of [
	['closes its connection', (socket: Socket, text: string) => {
		socket.end(text, 'latin1');
	}],
	['resets its connection', (socket: Socket, text: string) => {
		socket.write(text, 'latin1', () => {
			socket.resetAndDestroy();
		});
	}],
] as const) {
	for (const [framing, whole] of responses) {
		test(`a response ${framing} counts only if all of it arrived when the server ${how}`, async context => {
			let text = '';
			const address = await startServer(context, () => text, close);
			const pool = createServerConnectionPool({
				address: toAddress(address), maxConnections: 4, idleMs: 1000, connectTimeoutMs: 1000,
			});
			context.after(pool.dispose);
			const send = async (): Promise<ExchangeResult> => {
				const scope = createCallScope(performance.now() + 10_000);
				const result = await runExchange({
					pool, id: 'c1', method: 'GET', target: '/', headers: {}, body: undefined, scope,
					memory: createResponseMemory(createMemoryLedger({bufferBytes: 1_000_000, requestBytes: 1_000_000})), idHeader: 'x-call', isOwnResponse: () => true,
				});
				scope.dispose();
				return result;
			};

			const isClosedByEnd = !/content-length|chunked/i.test(whole);
			// An orderly close after the head is a complete response if nothing else tells its end.
			const first = isClosedByEnd && how === 'closes its connection' ? whole.lastIndexOf('\r\n\r\n') + 4 : whole.length;
			for (let length = 0; length < first; length++) {
				text = whole.slice(0, length);
				const result = await send();
				assert.equal(result.type, 'failed', `${length} of ${whole.length} bytes: ${JSON.stringify(text.slice(-20))}`);
			}

			text = whole;
			if (how === 'closes its connection') {
				const result = await send();
				assert.ok(result.type === 'answered' && Buffer.from(result.body).toString().startsWith('whole'));
			}
		});
	}
}
