import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'node:test';
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {createWorkTurns} from './work-turns.js';

test('the first of a turn begin at once, the others in turns of their own, in order', async () => {
	const turns = createWorkTurns();
	const begun: number[] = [];
	const all = Array.from({length: 10}, async (_, index) => {
		await turns.begin();
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
	const turns = createWorkTurns();
	const begun: string[] = [];
	const start = async (name: string): Promise<void> => {
		await turns.begin();
		begun.push(name);
	};

	const all = Array.from({length: 6}, async (_, index) => start(`early ${index}`));
	await waitForImmediate();
	all.push(start('late'));
	await Promise.all(all);
	assert.equal(begun.at(-1), 'late');
});

/** Callers of another thread that connect, send a byte, and do so again as long as the test lasts. */
const callersScript = `
const {workerData} = require('node:worker_threads');
const {connect} = require('node:net');
for (let index = 0; index < workerData.busy; index++) {
	const caller = connect(workerData.port, '127.0.0.1', () => caller.write('x'));
	caller.on('data', () => caller.write('x'));
}
setTimeout(() => {
	for (let index = 0; index < workerData.callers; index++) {
		connect(workerData.port, '127.0.0.1');
	}
}, 200);
`;

/** Counts the connections that are taken within a time while forty others keep the process busy with a millisecond of work for each byte. */
async function countConnections(begin: () => Promise<void>): Promise<number> {
	const [busy, callers, afterMs] = [40, 200, 500];
	let connections = 0;
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		connections++;
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('data', async () => {
			await begin();
			const until = performance.now() + 1;
			while (performance.now() < until) {
				// Work.
			}

			socket.write('y');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const worker = new Worker(callersScript, {eval: true, workerData: {busy, callers, port: (server.address() as AddressInfo).port}});
	await new Promise(resolve => {
		worker.once('online', resolve);
	});
	await new Promise(resolve => {
		setTimeout(resolve, 200 + afterMs);
	});
	const taken = connections - busy;
	await worker.terminate();
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
	return taken;
}

test('a busy process takes several times as many new connections as with long turns', async () => {
	const before = await countConnections(async () => undefined);
	const {begin} = createWorkTurns();
	const after = await countConnections(begin);
	assert.ok(after > Math.max(1, before) * 2, `${before} and ${after}`);
});
