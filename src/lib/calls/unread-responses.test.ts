/** Guards against an uncaught exception, which ends the process, when a connection ends while the caller has not read the response. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {createGate} from '../admission/gate.js';
import {
	toAddress, toBackendServerId, toNodeId, type Address, type CallId,
} from '../common/ids.js';
import {createSystemNetwork} from '../common/network.js';
import {createSilentQuarantine} from '../quarantine/sample-quarantine.js';
import {createTimeline} from '../timeline/timeline.js';
import {createLamportClock} from '../timeline/lamport-clock.js';
import {type Attempt, type AttemptResult} from './attempt.js';
import {createGateClient} from './gate-client.js';
import {createServerSender} from './server-sender.js';

/** More than the HTTP client buffers of a body before it pauses. */
const firstBytes = 70_000;

/** So few that they are received, with the end of the connection, while the HTTP client has paused. */
const lastBytes = 10_000;

/** So many that the HTTP client reads the last bytes, and so few that it pauses again behind them. */
const partlyReadBytes = 8000;

/** Time in which what a server has sent on the loopback interface is received. */
const receiveMs = 100;

const deadlineMs = 10_000;

type LastStep = (socket: Socket) => void;

type Fixture = {
	readonly address: Address;
	/** Lets the server send the rest of its response and end the connection. */
	readonly sendRest: () => void;
};

/** Starts a server that sends all but the last bytes of a response, and the others as the step says. */
async function startServer(context: TestContext, headers: string, step: LastStep): Promise<Fixture> {
	let connection: Socket | undefined;
	const server = createServer(socket => {
		connection = socket;
		socket.on('error', () => undefined);
		socket.once('data', (bytes: Uint8Array) => {
			const call = /stonemoor-call: (\S+)/.exec(Buffer.from(bytes).toString('latin1'))?.[1] ?? '';
			socket.write(`HTTP/1.1 200 OK\r\nstonemoor-call: ${call}\r\nstonemoor-answered-by: server\r\n${headers}content-length: ${firstBytes + lastBytes}\r\n\r\n`);
			socket.write(Buffer.alloc(firstBytes));
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		connection?.destroy();
		server.close();
	});
	return {
		address: toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`),
		sendRest() {
			step(connection!);
		},
	};
}

const createAttempt = (): Attempt => ({
	call: 'c-1' as CallId, method: 'GET', path: '/', headers: {}, body: undefined, workClass: 'interactive', deadline: Date.now() + deadlineMs, signal: AbortSignal.timeout(deadlineMs),
	fingerprint: undefined, entry: 'n-1', limitPerSecond: undefined,
});

async function sendToServer(context: TestContext, address: Address): Promise<AttemptResult> {
	const gate = createGate(1, {
		queuePerSlot: 2, maximumWaitMs: 500, targetWaitMs: 50, bulkShare: 0.5, announcementLifeMs: 6000,
	});
	const sender = createServerSender({
		id: toBackendServerId('s-1'), service: 'pages', address, slots: 1, connections: 1, startedAt: 1000, isDraining: false,
	}, gate, {
		quarantine: createSilentQuarantine(), maxLimitWaitMs: 100, timeline: createTimeline(toNodeId('n-1'), createLamportClock()), handleLeaving: () => undefined,
	});
	context.after(sender.dispose);
	return sender.send(createAttempt());
}

async function sendToGate(context: TestContext, address: Address): Promise<AttemptResult> {
	const client = createGateClient(createLamportClock(), createSystemNetwork());
	context.after(client.dispose);
	return client.send(address, toBackendServerId('s-1'), createAttempt());
}

/** Reads the body as a slow caller does. Returns the number of bytes, or `broken` if the body ends with an error. */
async function readSlowly(result: AttemptResult, sendRest: () => void): Promise<number | string> {
	assert.ok(result.type === 'answered');
	const {body} = result;
	let bytes = 0;
	const ended = new Promise<number | string>(resolve => {
		body.once('error', () => {
			resolve('broken');
		});
		body.once('end', () => {
			resolve(bytes);
		});
	});
	await expectSoon('the HTTP client pauses', () => body.readableLength >= body.readableHighWaterMark);
	sendRest();
	await sleep(receiveMs);
	bytes += (body.read(partlyReadBytes) as Uint8Array | null)?.length ?? 0; // eslint-disable-line @typescript-eslint/no-restricted-types -- the stream's own type
	await sleep(receiveMs);
	body.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
	});
	return ended;
}

const closeHeader = 'connection: close\r\n';

const endWhole: LastStep = socket => {
	socket.end(Buffer.alloc(lastBytes));
};

const endEarly: LastStep = socket => {
	socket.end(Buffer.alloc(lastBytes - 1));
};

const reset: LastStep = socket => {
	socket.write(Buffer.alloc(lastBytes - 1), () => {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, receiveMs / 2);
	});
};

const cases: ReadonlyArray<readonly [string, string, LastStep, number | string]> = [
	['the connection closes behind the response, which announced it', closeHeader, endWhole, firstBytes + lastBytes],
	['the connection closes behind the response', '', endWhole, firstBytes + lastBytes],
	['the connection closes before the last byte of the response, which announced it', closeHeader, endEarly, 'broken'],
	['the connection closes before the last byte of the response', '', endEarly, 'broken'],
	['the connection is reset, and the response announced its end', closeHeader, reset, 'broken'],
	['the connection is reset', '', reset, 'broken'],
];

// The gates come last, so that an uncaught exception behind one of their tests counts for no test of a backend server.
for (const [from, send] of [['a backend server', sendToServer], ['the gate of another node', sendToGate]] as const) {
	for (const [name, headers, step, expected] of cases) {
		test(`a slow caller gets what ${from} sent, and the process runs on: ${name}`, async context => {
			const {address, sendRest} = await startServer(context, headers, step);
			assert.equal(await readSlowly(await send(context, address), sendRest), expected);
		});
	}
}
