/** Guards against a response that a server broke off in its head, and that callers get as a complete one with an empty or short body. */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'node:test';
import {createGate} from '../admission/gate.js';
import {
	toAddress, toBackendServerId, toNodeId, type CallId,
} from '../common/ids.js';
import {settle} from '../common/settle.js';
import {createSilentQuarantine} from '../quarantine/sample-quarantine.js';
import {createTimeline} from '../timeline/timeline.js';
import {createLamportClock} from '../timeline/lamport-clock.js';
import {createServerSender} from './server-sender.js';

const deadlineMs = 10_000;

/** Responses with a length and in chunks. */
const responses: readonly string[] = [
	'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\nwhole answer',
	'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n',
];

test('a response of which only a part arrived is a failure, or its body ends with an error', async context => {
	let text = '';
	const server = createServer((socket: Socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end(text, 'latin1');
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const slots = 4;
	const gate = createGate(slots, {
		queuePerSlot: 2, maximumWaitMs: 500, targetWaitMs: 50, bulkShare: 0.5, announcementLifeMs: 6000,
	});
	const sender = createServerSender({
		id: toBackendServerId('s-1'), service: 'pages', address: toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), slots, connections: slots, startedAt: 1000, isDraining: false,
	}, gate, {
		quarantine: createSilentQuarantine(), maxLimitWaitMs: 100, timeline: createTimeline(toNodeId('n-1'), createLamportClock()), handleLeaving: () => undefined,
	});
	context.after(async () => {
		await sender.dispose();
		server.close();
	});
	/** Returns the whole body that a caller would get; `undefined` if it would get none. */
	const readBody = async (): Promise<string | undefined> => {
		const result = await sender.send({
			call: 'c1' as CallId, method: 'GET', path: '/', headers: {}, body: undefined, workClass: 'interactive', deadline: Date.now() + deadlineMs, signal: AbortSignal.timeout(deadlineMs),
			fingerprint: undefined, entry: 'n-1', limitPerSecond: undefined,
		});
		if (result.type === 'failed') {
			assert.equal(result.verdict, 'may-have-run');
			return undefined;
		}

		const chunks = await settle(result.body.setEncoding('latin1').toArray() as Promise<readonly string[]>);
		return chunks?.join('');
	};

	for (const whole of responses) {
		for (let length = 0; length < whole.length; length++) {
			text = whole.slice(0, length);
			assert.equal(await readBody(), undefined, `${length} of ${whole.length} bytes: ${JSON.stringify(text.slice(-20))}`);
		}

		text = whole;
		assert.equal(await readBody(), 'whole answer');
	}
});
