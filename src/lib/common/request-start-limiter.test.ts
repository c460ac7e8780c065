import assert from 'node:assert/strict';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import test from 'node:test';
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {createRequestStartLimiter} from './request-start-limiter.js';

test('the first requests of an iteration start immediately, the others in later iterations, in order', async () => {
	const limiter = createRequestStartLimiter();
	const started: number[] = [];
	const all = Array.from({length: 10}, async (_, index) => {
		await limiter.waitForStart();
		started.push(index);
	});
	await Promise.resolve();
	await Promise.resolve();
	const first = started.length;
	assert.ok(first > 0 && first < 10, `${first} started at once`);
	await waitForImmediate();
	assert.ok(started.length > first && started.length <= first * 2, `${started.length} started after one iteration`);
	await Promise.all(all);
	assert.deepEqual(started, Array.from({length: 10}, (_, index) => index));
});

test('a request that arrives while others wait starts after them', async () => {
	const limiter = createRequestStartLimiter();
	const started: string[] = [];
	const start = async (name: string): Promise<void> => {
		await limiter.waitForStart();
		started.push(name);
	};

	const all = Array.from({length: 6}, async (_, index) => start(`early ${index}`));
	await waitForImmediate();
	all.push(start('late'));
	await Promise.all(all);
	assert.equal(started.at(-1), 'late');
});

/** Work that is done while connections are counted. The test limits the work instead of the elapsed time, so that load from other processes affects the runs with and without the limiter alike. */
const workMs = 400;

/**
 * Counts the connections that are accepted during a fixed amount of work. 40 callers keep the process busy: each byte causes one
 * millisecond of work, and each response the next byte. Meanwhile 200 other callers connect. All callers are in this thread, so
 * that the load from other processes does not change what arrives in an iteration.
 */
async function countConnections(waitForStart: () => Promise<void>): Promise<number> {
	const [busy, callers] = [40, 200];
	const sockets: Socket[] = [];
	let connections = 0;
	let doneMs = 0;
	let isCounting = false;
	let handleDone = (): void => undefined;
	const done = new Promise<void>(resolve => {
		handleDone = resolve;
	});
	const server = createServer(socket => {
		connections += isCounting ? 1 : 0;
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('data', async () => {
			await waitForStart();
			const until = performance.now() + 1;
			while (performance.now() < until) {
				// Do one millisecond of work.
			}

			doneMs += isCounting ? 1 : 0;
			if (doneMs >= workMs) {
				isCounting = false;
				handleDone();
			}

			socket.write('y');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const open = async (): Promise<Socket> => new Promise((resolve, reject) => {
		const socket = connect(port, '127.0.0.1', () => {
			resolve(socket);
		});
		socket.once('error', reject);
	});
	const busyCallers = await Promise.all(Array.from({length: busy}, open));
	for (const caller of busyCallers) {
		caller.on('data', () => {
			caller.write('x');
		});
		caller.write('x');
	}

	isCounting = true;
	const others = Array.from({length: callers}, () => connect(port, '127.0.0.1'));
	await done;
	for (const socket of [...sockets, ...busyCallers, ...others]) {
		socket.on('error', () => undefined);
		socket.destroy();
	}

	server.close();
	return connections;
}

test('a busy process accepts at least twice as many new connections with the limiter', async context => {
	const before = await countConnections(async () => undefined);
	const {waitForStart} = createRequestStartLimiter();
	const after = await countConnections(waitForStart);
	context.diagnostic(`${before} connections in ${workMs} ms of work without the limiter, ${after} with it`);
	assert.ok(after > Math.max(1, before) * 2, `${before} connections without the limiter, ${after} with it`);
});
