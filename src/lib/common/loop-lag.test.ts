import assert from 'node:assert/strict';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import test from 'node:test';
import {Worker} from 'node:worker_threads';
import {createLoopLag} from './loop-lag.js';

function blockEventLoop(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Block the event loop, so that input stays unread.
	}
}

/** Sends a byte and closes the connection while the event loop is blocked. Returns whether the server had read the close when it handled the byte. */
async function isCloseReadFirst(waitForPendingInput: () => Promise<void>): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer((socket: Socket) => {
			let isClosed = false;
			socket.once('end', () => {
				isClosed = true;
			});
			socket.once('data', async () => {
				await waitForPendingInput();
				resolve(isClosed);
				socket.destroy();
				server.close();
			});
		});
		server.listen(0, '127.0.0.1', () => {
			const caller = connect((server.address() as AddressInfo).port, '127.0.0.1', () => {
				caller.end('x');
				// Block only after the byte and the close have been sent.
				setImmediate(() => {
					blockEventLoop(50);
				});
			});
		});
	});
}

test('while the process lags, a close that arrived with a request is read before the request is handled', async () => {
	const lag = createLoopLag();
	lag.recordTimerDelay(150);
	assert.equal(await isCloseReadFirst(lag.waitForPendingInput), true);
});

test('without lag, waitForPendingInput returns immediately', async () => {
	const lag = createLoopLag();
	lag.recordTimerDelay(50);
	let iterations = 0;
	setImmediate(() => {
		iterations++;
	});
	await lag.waitForPendingInput();
	assert.equal(iterations, 0);
});

/** Callers in another thread: on a message, each sends a byte and closes its connection. */
const callersScript = `
const {parentPort, workerData} = require('node:worker_threads');
const {connect} = require('node:net');
const callers = Array.from({length: workerData.callers}, () => connect(workerData.port, '127.0.0.1'));
parentPort.once('message', () => {
	for (const caller of callers) {
		caller.end('x');
	}
});
`;

test('within one long iteration of the event loop, closes that arrived with the last requests are read before these are handled', async () => {
	const lag = createLoopLag();
	lag.recordTimerDelay(0);
	const callers = 10;
	const closedInTime = await new Promise<readonly boolean[]>(resolve => {
		const seen: boolean[] = [];
		let connected = 0;
		const server = createServer((socket: Socket) => {
			let isClosed = false;
			socket.once('end', () => {
				isClosed = true;
			});
			socket.once('data', async () => {
				await lag.waitForPendingInput();
				seen.push(isClosed);
				blockEventLoop(30);
				socket.destroy();
				if (seen.length === callers) {
					server.close();
					void worker.terminate();
					resolve(seen);
				}
			});
			connected++;
			if (connected === callers) {
				worker.postMessage('send');
				// All bytes and closes arrive while the event loop is blocked.
				blockEventLoop(300);
			}
		});
		let worker: Worker;
		server.listen(0, '127.0.0.1', () => {
			worker = new Worker(callersScript, {eval: true, workerData: {callers, port: (server.address() as AddressInfo).port}});
		});
	});
	assert.ok(closedInTime.filter(Boolean).length >= callers / 2, closedInTime.join(' '));
});
