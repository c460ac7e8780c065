/** Tests that responses in transit from a gate are not lost when the gate is probed or shuts down. */
import assert from 'node:assert/strict';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {toBackendServerId} from '../common/ids.js';
import {silentLog} from '../timeline/mesh-log.js';
import {encodeConfigAnswer} from './config-messages.js';
import {createFrameReader, writeFrame} from './frame.js';
import {type GateResult} from './forward-result.js';
import {createGateServer, type GateServer} from './gate-server.js';
import {createLinkWriter} from './link-writer.js';
import {type LocalGate} from './local-gate.js';
import {encodePeerRequest} from './peer-messages.js';

const waitForNothing = async (): Promise<void> => undefined;

type Fixture = {
	readonly gate: GateServer;
	/** Connection from another node. */
	readonly socket: Socket;
	readonly refused: readonly unknown[];
	readonly countAnswers: () => number;
	readonly countBytes: () => number;
};

async function startGate(context: TestContext, bodyBytes: number): Promise<Fixture> {
	const refused: unknown[] = [];
	const result: GateResult = {
		load: undefined, result: {
			type: 'answered', status: 200, headers: {}, body: new Uint8Array(bodyBytes),
		},
	};
	const localGate: Pick<LocalGate, 'run'> = {run: async () => result};
	const gate = createGateServer({
		gate: localGate as LocalGate,
		getConfig: () => encodeConfigAnswer(undefined),
		waitForPendingInput: waitForNothing,
		log: silentLog,
		refusals: {record: (refusal: unknown) => refused.push(refusal), dispose: () => undefined},
		link: createLinkWriter(1000),
	});
	await new Promise<void>(resolve => {
		gate.server.listen(0, '127.0.0.1', resolve);
	});
	const socket = connect((gate.server.address() as AddressInfo).port, '127.0.0.1');
	const reader = createFrameReader();
	let answers = 0;
	let bytesRead = 0;
	socket.on('data', bytes => {
		bytesRead += bytes.length;
		answers += reader.read(bytes).filter(({type}) => type === 'answer').length;
	});
	socket.on('error', () => undefined);
	context.after(() => {
		socket.destroy();
		gate.dispose();
		gate.server.close();
	});
	return {
		gate, socket, refused, countAnswers: () => answers, countBytes: () => bytesRead,
	};
}

const sendRequest = (socket: Socket, id: number): void => {
	writeFrame(socket, {
		type: 'request', id, head: encodePeerRequest({
			id: `c${id}`, server: toBackendServerId('i-1'), method: 'GET', target: '/', headers: {}, callerService: 'hall', rank: 1, mayWaitMs: 0, isCounted: false, hasBody: false, leftMs: 20_000,
		}),
	});
};

test('responses queued for a slow link are not cut off by a liveness probe', async context => {
	const {socket, refused, countAnswers} = await startGate(context, 20_000_000);
	socket.pause();
	sendRequest(socket, 1);
	sendRequest(socket, 2);
	await sleep(200);
	writeFrame(socket, {type: 'ping', id: 0});
	await sleep(100);
	socket.resume();
	await sleep(1500);
	assert.deepEqual(refused, []);
	assert.equal(countAnswers(), 2);
});

for (const [what, sendsPing] of [['the other node sends nothing more', false], ['the other node sends a ping meanwhile', true]] as const) {
	test(`a response that counts as sent arrives although the gate shuts down, when ${what}`, async context => {
		const {gate, socket, countAnswers, countBytes} = await startGate(context, 1_500_000);
		socket.pause();
		sendRequest(socket, 1);
		await sleep(300);
		context.diagnostic(`${gate.countUnsentResponses()} unsent when the gate shuts down`);
		const wasLeft = gate.countUnsentResponses() === 0;
		gate.dispose();
		if (sendsPing) {
			writeFrame(socket, {type: 'ping', id: 0});
		}

		await sleep(100);
		socket.resume();
		await sleep(500);
		context.diagnostic(`${countBytes()} bytes arrived`);
		assert.ok(wasLeft);
		assert.equal(countAnswers(), 1);
	});
}
