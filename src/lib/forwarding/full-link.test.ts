/** What a node sends and asks while the link of its VM is full of large answers. */
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
import {silentRefusals} from '../timeline/refusals.js';
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

/** Bytes that the link carries in so many milliseconds. */
const countCarried = (ms: number): number => slowMbps * 1000 / 8 * ms;

/** How long what is sent next may wait on the link behind large answers. Milliseconds: a new connection, a question and its answer are three such waits, and a call may wait 300 ms for the connection. */
const mostQueueMs = 100;

// Guards against nodes that serve by an older configuration since everything that they send waits behind their own large answers.
test('the link of a VM is not handed more large answers than it carries, so that whatever else its node sends leaves soon', async context => {
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

	for (let look = 0; look < 5; look++) {
		await sleep(100);
		const elapsedMs = readSteadyMs() - startedAt;
		assert.ok(received <= countCarried(elapsedMs + mostQueueMs), `${received} bytes after ${Math.round(elapsedMs)} ms, of which the link carries ${Math.round(countCarried(elapsedMs))}`);
	}

	assert.ok(received >= countCarried(400) / 2, `${received} bytes left in half a second: the link is not used`);
});

/** Opens connections that are up after so many milliseconds, as over a link that is full. */
function createSlowOpening(openMs: number): (options: NetConnectOpts) => Socket {
	return options => {
		const socket = new Socket();
		// What is written meanwhile waits, as on any connection that is being opened.
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
	id: 'c1', server: toBackendServerId('i-1'), method: 'POST', target: '/', callerService: 'hall', rank: 1, mayWaitMs: 0,
} as const;

/** A gate that hands a configuration over. */
async function startConfigGate(context: TestContext): Promise<Address> {
	const localGate: Partial<LocalGate> = {};
	const gate = createGateServer({
		gate: localGate as LocalGate,
		getConfig: () => encodeConfigAnswer({type: 'whole', text: 'nine'}),
		catchUp: createLoopLag().catchUp,
		log: silentLog,
		refusals: silentRefusals,
		link: createLinkWriter(1000),
	});
	context.after(gate.dispose);
	return toAddress(`127.0.0.1:${await listen(context, gate.server)}`);
}

// Guards against a node that never gets a newer configuration since it gives each connection up before the link has let it through, and begins anew.
test('a node that connections take longer to reach than a call waits for one is handed the configuration all the same', async context => {
	const address = await startConfigGate(context);
	const client = createGateClient({openSocket: createSlowOpening(500)});
	context.after(client.dispose);
	const startedAt = readSteadyMs();
	// As a node asks that hears of the version again and again: within the time in which it has to be in force.
	let answer;
	while (answer === undefined && readSteadyMs() - startedAt < 2000) {
		const scope = createCallScope(startedAt + 2000);
		const fetched = await client.fetchConfig(address, 7, scope);
		scope.dispose();
		answer = fetched.unwrapOr(undefined);
	}

	assert.deepEqual(answer, {type: 'whole', text: 'nine'});
});

// Guards against a refusal that says "not run" for a request that leaves after all once the link lets its connection through.
test('a call that has gone elsewhere before its connection was up never leaves, and the next one finds the connection open', async context => {
	const heard: string[] = [];
	const address = toAddress(`127.0.0.1:${await listen(context, createServer(socket => {
		const reader = createFrameReader();
		socket.on('data', bytes => {
			for (const {type, id} of reader.read(bytes)) {
				heard.push(type);
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
	// As a node does with the connections of one that could not be reached.
	client.renewConnections(address, 'unreachable');
	await sleep(300);
	assert.deepEqual(heard, []);
	assert.equal(await send(), 'not-run full');
	assert.deepEqual(heard, ['request']);
	assert.equal(opened, 1);
});

test('a node that is back is not waited for on a connection that was being opened while it was away', async context => {
	let opened = 0;
	const client = createGateClient({
		openSocket(options) {
			opened++;
			return createSlowOpening(opened === 1 ? 60_000 : 0)(options);
		},
	});
	const address = await startConfigGate(context);
	context.after(client.dispose);
	const scopes = [createCallScope(readSteadyMs() + 1000), createCallScope(readSteadyMs() + 1000)];
	const first = client.fetchConfig(address, 7, scopes[0]!);
	client.renewConnections(address, 'back');
	const second = await client.fetchConfig(address, 7, scopes[1]!);
	assert.ok(second.isOk());
	scopes[0]!.end('cancelled');
	assert.ok((await first).isErr());
});

// Guards against the same at a node whose callers upload: its own large bodies before whatever else it sends.
test('the link of a VM is not handed more large bodies than it carries, and one that nobody waits for stays', async context => {
	let received = 0;
	let cut = 0;
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

			cut = reader.countBufferedBytes();
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

	for (let look = 0; look < 4; look++) {
		await sleep(100);
		const elapsedMs = readSteadyMs() - startedAt;
		assert.ok(received <= countCarried(elapsedMs + mostQueueMs), `${received} bytes after ${Math.round(elapsedMs)} ms, of which the link carries ${Math.round(countCarried(elapsedMs))}`);
	}

	assert.ok(received >= countCarried(300) / 2, `${received} bytes left: the link is not used`);
	for (const scope of scopes) {
		scope.end('cancelled');
	}

	assert.ok(link.countWaiting() <= 1, 'what nobody waits for any more stays, but for the one that may have begun to leave');
	await expectSoon('what has begun to leave has arrived whole', () => link.countWaiting() === 0 && cut === 0);
	assert.ok(bodies.length < scopes.length / 2, `${bodies.length} bodies left`);
	assert.ok(bodies.every(length => length === 90_000));
});
