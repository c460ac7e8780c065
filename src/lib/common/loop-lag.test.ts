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
		// The process stands still, and what arrives waits.
	}
}

/** Sends a byte and closes, both while the process stands still; yields whether the close was known when the byte was worked on. */
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
				// Not before both are sent.
				setImmediate(() => {
					blockEventLoop(50);
				});
			});
		});
	});
}

test('while the process lags, a close that came with a request is heard before the request is worked on', async () => {
	const lag = createLoopLag();
	lag.recordTimerDelay(150);
	assert.equal(await isCloseReadFirst(lag.waitForPendingInput), true);
});

test('without a lag nothing is waited for', async () => {
	const lag = createLoopLag();
	lag.recordTimerDelay(50);
	let turns = 0;
	setImmediate(() => {
		turns++;
	});
	await lag.waitForPendingInput();
	assert.equal(turns, 0);
});

/** Callers of another thread: each sends a byte and closes, once it is told to. */
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

test('within one long turn of the loop, closes that came with the requests read last are heard before these are worked on', async () => {
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
				// All of it arrives while the process stands still.
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
