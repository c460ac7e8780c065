import assert from 'node:assert/strict';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import test from 'node:test';
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {createRequestStartLimiter} from './request-start-limiter.js';

test('the first of a turn begin at once, the others in turns of their own, in order', async () => {
	const turns = createRequestStartLimiter();
	const begun: number[] = [];
	const all = Array.from({length: 10}, async (_, index) => {
		await turns.waitForStart();
		begun.push(index);
	});
	await Promise.resolve();
	await Promise.resolve();
	const first = begun.length;
	assert.ok(first > 0 && first < 10, `${first} at once`);
	await waitForImmediate();
	assert.ok(begun.length > first && begun.length <= first * 2, `${begun.length} after a turn`);
	await Promise.all(all);
	assert.deepEqual(begun, Array.from({length: 10}, (_, index) => index));
});

test('what comes while others wait does not overtake them', async () => {
	const turns = createRequestStartLimiter();
	const begun: string[] = [];
	const start = async (name: string): Promise<void> => {
		await turns.waitForStart();
		begun.push(name);
	};

	const all = Array.from({length: 6}, async (_, index) => start(`early ${index}`));
	await waitForImmediate();
	all.push(start('late'));
	await Promise.all(all);
	assert.equal(begun.at(-1), 'late');
});

/** Work that is done while connections are counted, in milliseconds. It counts and not the time that passes: a machine that is busy with other things stretches that for both sides alike. */
const workMs = 400;

/**
 * Counts the connections that are taken while so much work is done. Forty callers keep the process busy, each with a millisecond of work for each byte and a
 * next byte for each answer; two hundred others connect meanwhile. All are in this thread, so that each turn
 * brings the same whatever else the machine does.
 */
async function countConnections(begin: () => Promise<void>): Promise<number> {
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
			await begin();
			const until = performance.now() + 1;
			while (performance.now() < until) {
				// Work.
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

test('a busy process takes several times as many new connections as with long turns', async context => {
	const before = await countConnections(async () => undefined);
	const {waitForStart: begin} = createRequestStartLimiter();
	const after = await countConnections(begin);
	context.diagnostic(`${before} connections in ${workMs} ms of work, ${after} with short turns`);
	assert.ok(after > Math.max(1, before) * 2, `${before} and ${after}`);
});
