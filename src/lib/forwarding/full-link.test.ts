/** Tests what a node sends and fetches while large responses or uploads saturate the link of its VM. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, Socket, type AddressInfo, type NetConnectOpts, type Server,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {readSteadyMs} from '../common/clock.js';
import {toAddress, toBackendServerId, type Address} from '../common/ids.js';
import {createLoopLag} from '../common/loop-lag.js';
import {silentLog} from '../timeline/mesh-log.js';
import {silentRefusalLog} from '../timeline/refusal-log.js';
import {createCallScope} from './call-scope.js';
import {encodeConfigAnswer} from './config-messages.js';
import {createNotRun} from './forward-result.js';
import {createFrameReader, writeFrame} from './frame.js';
import {createGateClient} from './gate-client.js';
import {createGateServer} from './gate-server.js';
import {createLinkWriter} from './link-writer.js';
import {type LocalGate} from './local-gate.js';
import {encodePeerAnswer} from './peer-messages.js';

async function listen(context: TestContext, server: Server): Promise<number> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	context.after(() => {
		server.close();
	});
	return (server.address() as AddressInfo).port;
}

const slowMbps = 10;

/** Bytes that the link carries in the given time. */
const countCarriedBytes = (ms: number): number => slowMbps * 1000 / 8 * ms;

/** Maximum queueing delay on the link behind large responses. Opening a connection, sending a request and receiving its response take three such delays, and a call waits at most 300 ms for a connection. */
const maxQueueMs = 100;

// Guards against nodes that keep routing by an old configuration because everything that they send waits behind their own large responses.
test('large responses are written no faster than the link carries them, so that other traffic of the node is sent soon', async context => {
	let received = 0;
	const port = await listen(context, createServer(socket => {
		socket.on('data', bytes => {
			received += bytes.length;
		});
		socket.on('error', () => undefined);
	}));
	const sockets = Array.from({length: 8}, () => connect(port, '127.0.0.1'));
	await Promise.all(sockets.map(async socket => once(socket, 'connect')));
	context.after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const answers = createLinkWriter(slowMbps);
	const startedAt = readSteadyMs();
	for (let id = 0; id < 40; id++) {
		answers.write(sockets[id % sockets.length]!, {type: 'answer', id, body: Buffer.alloc(90_000)});
	}

	for (let check = 0; check < 5; check++) {
		await sleep(100);
		const elapsedMs = readSteadyMs() - startedAt;
		assert.ok(received <= countCarriedBytes(elapsedMs + maxQueueMs), `${received} bytes after ${Math.round(elapsedMs)} ms, of which the link carries ${Math.round(countCarriedBytes(elapsedMs))}`);
	}

	assert.ok(received >= countCarriedBytes(400) / 2, `${received} bytes were sent in half a second: the link is not used`);
});

/** Creates a function that opens connections with a delay, as over a saturated link. */
function createSlowOpening(openMs: number): (options: NetConnectOpts) => Socket {
	return options => {
		const socket = new Socket();
		// Makes the socket buffer writes until it connects, as any opening socket does.
		Reflect.set(socket, 'connecting', true);
		setTimeout(() => {
			if (!socket.destroyed) {
				socket.connect(options);
			}
		}, openMs).unref();
		return socket;
	};
}

const someCall = {
	id: 'c1', server: toBackendServerId('i-1'), method: 'POST', target: '/', callerService: 'hall', rank: 1, mayWaitMs: 0, isCounted: false,
} as const;

/** Starts a gate server that responds to configuration requests. */
async function startConfigurationGate(context: TestContext): Promise<Address> {
	const localGate: Partial<LocalGate> = {};
	const gate = createGateServer({
		gate: localGate as LocalGate,
		getConfig: () => encodeConfigAnswer({type: 'whole', text: 'nine'}),
		waitForPendingInput: createLoopLag().waitForPendingInput,
		log: silentLog,
		refusals: silentRefusalLog,
		link: createLinkWriter(1000),
	});
	context.after(gate.dispose);
	return toAddress(`127.0.0.1:${await listen(context, gate.server)}`);
}

// Guards against a node that never gets a newer configuration because it abandons each connection before the saturated link has established it, and then opens another one.
test('a node can fetch the configuration although connecting takes longer than a call waits for a connection', async context => {
	const address = await startConfigurationGate(context);
	const client = createGateClient({openSocket: createSlowOpening(500)});
	context.after(client.dispose);
	const startedAt = readSteadyMs();
	// Retries as a node does that is repeatedly notified of a newer version, until the time limit for activating that version.
	let answer;
	while (answer === undefined && readSteadyMs() - startedAt < 2000) {
		const scope = createCallScope(startedAt + 2000);
		const fetched = await client.fetchConfig(address, 7, scope);
		scope.dispose();
		answer = fetched.unwrapOr(undefined);
	}

	assert.deepEqual(answer, {type: 'whole', text: 'nine'});
});

// Guards against the verdict "not-run" for a request that is sent after all once its connection is established.
test('a call that was retried elsewhere before its connection was established is never sent, and the next call reuses the connection', async context => {
	const received: string[] = [];
	const address = toAddress(`127.0.0.1:${await listen(context, createServer(socket => {
		const reader = createFrameReader();
		socket.on('data', bytes => {
			for (const {type, id} of reader.read(bytes)) {
				received.push(type);
				writeFrame(socket, {type: 'answer', id, ...encodePeerAnswer({result: createNotRun('full', 'all slots are taken'), load: undefined})});
			}
		});
		socket.on('error', () => undefined);
	}))}`);
	let opened = 0;
	const openSlowly = createSlowOpening(500);
	const client = createGateClient({
		openSocket(options) {
			opened++;
			return openSlowly(options);
		},
	});
	context.after(client.dispose);
	const send = async () => {
		const scope = createCallScope(readSteadyMs() + 2000);
		const {result} = await client.send({
			...someCall, gate: address, headers: {}, body: undefined, isBulk: false, scope,
		});
		scope.dispose();
		return result.type === 'answered' ? 'answered' : `${result.verdict} ${result.reason}`;
	};

	assert.equal(await send(), 'not-run node-unreachable');
	// A node renews the connections of a node that it could not reach.
	client.renewConnections(address, 'unreachable');
	await sleep(300);
	assert.deepEqual(received, []);
	assert.equal(await send(), 'not-run full');
	assert.deepEqual(received, ['request']);
	assert.equal(opened, 1);
});

test('after a node is reachable again, a new connection replaces one that was opening while the node was unreachable', async context => {
	let opened = 0;
	const client = createGateClient({
		openSocket(options) {
			opened++;
			return createSlowOpening(opened === 1 ? 60_000 : 0)(options);
		},
	});
	const address = await startConfigurationGate(context);
	context.after(client.dispose);
	const scopes = [createCallScope(readSteadyMs() + 1000), createCallScope(readSteadyMs() + 1000)];
	const first = client.fetchConfig(address, 7, scopes[0]!);
	client.renewConnections(address, 'back');
	const second = await client.fetchConfig(address, 7, scopes[1]!);
	assert.ok(second.isOk());
	scopes[0]!.end('cancelled');
	assert.ok((await first).isErr());
});

// Guards against the same delay at a node whose callers upload: everything else that it sends waits behind the large request bodies.
test('large request bodies are written no faster than the link carries them, and those of cancelled calls are not sent', async context => {
	let received = 0;
	let partialBytes = 0;
	const bodies: number[] = [];
	const port = await listen(context, createServer(socket => {
		const reader = createFrameReader();
		socket.on('data', bytes => {
			received += bytes.length;
			for (const {type, id, body} of reader.read(bytes)) {
				if (type === 'offer') {
					writeFrame(socket, {type: 'continue', id});
				} else if (type === 'body') {
					bodies.push(body.length);
				}
			}

			partialBytes = reader.countBufferedBytes();
		});
		socket.on('error', () => undefined);
	}));
	const link = createLinkWriter(slowMbps);
	const client = createGateClient({link});
	context.after(client.dispose);
	const scopes = Array.from({length: 20}, () => createCallScope(readSteadyMs() + 20_000));
	const startedAt = readSteadyMs();
	for (const scope of scopes) {
		void client.send({
			...someCall, gate: toAddress(`127.0.0.1:${port}`), headers: {'content-length': '90000'}, body: Buffer.alloc(90_000), isBulk: true, scope,
		});
	}

	for (let check = 0; check < 4; check++) {
		await sleep(100);
		const elapsedMs = readSteadyMs() - startedAt;
		assert.ok(received <= countCarriedBytes(elapsedMs + maxQueueMs), `${received} bytes after ${Math.round(elapsedMs)} ms, of which the link carries ${Math.round(countCarriedBytes(elapsedMs))}`);
	}

	assert.ok(received >= countCarriedBytes(300) / 2, `${received} bytes were sent: the link is not used`);
	for (const scope of scopes) {
		scope.end('cancelled');
	}

	assert.ok(link.countQueued() <= 1, 'the bodies of cancelled calls are removed from the queue, except one that may be partly written');
	await expectSoon('the partly written body has arrived completely', () => link.countQueued() === 0 && partialBytes === 0);
	assert.ok(bodies.length < scopes.length / 2, `${bodies.length} bodies were sent`);
	assert.ok(bodies.every(length => length === 90_000));
});
