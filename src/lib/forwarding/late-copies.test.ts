import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {createSilentQuarantine} from '../quarantine/sample-quarantine.js';
import {noRollouts} from '../rollout/no-rollouts.js';
import {silentLog} from '../timeline/mesh-log.js';
import {createCallScope} from './call-scope.js';
import {type CallHeaderNames} from './call-headers.js';
import {createLocalGate, type GateCall, type LocalGate} from './local-gate.js';

const headerNames: CallHeaderNames = {
	callId: 'x-call', timeLeft: 'x-left', expectedServer: 'x-server', callerService: 'x-caller', signature: 'x-signature', notRun: 'x-not-run', serverLimit: 'x-limit', serverLeaving: 'x-leaving', serverLoad: 'x-load', authorization: 'authorization', authorizationScheme: 'token', workspace: 'x-workspace',
};
const id = toBackendServerId('i-1');

const formatAnswer = (call: string): string => `HTTP/1.1 200 OK\r\nx-call: ${call}\r\nx-signature: s\r\ncontent-length: 4\r\n\r\npage`;

/** How long after the copies a server sends the answer that is due. */
const ownAnswerMs = 50;

/** Starts a gate beside a server that answers each request, the last one after copies of the answers to earlier ones. */
async function startGate(context: TestContext, requests: readonly string[], copies: readonly string[]): Promise<LocalGate> {
	const sockets = new Set<Socket>();
	let received = 0;
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			const own = formatAnswer(requests[received] ?? '');
			received++;
			if (received < requests.length) {
				socket.write(own);
				return;
			}

			socket.write(copies.map(call => formatAnswer(call)).join(''));
			setTimeout(() => {
				socket.write(own);
			}, ownAnswerMs);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const gate = createLocalGate({
		drainMs: 2500,
		headerNames, log: silentLog, refusals: {record: () => undefined}, handleChange: () => undefined, getMaxConnections: () => 1, quarantine: createSilentQuarantine(), isLeaving: () => false,
		linkMbps: 1000, countQueuedBytes: () => 0, rollouts: noRollouts, countLimited: () => undefined, findRouteName: () => undefined,
	});
	context.after(() => {
		gate.dispose();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	gate.announce({
		lifetime: {id, startedAt: Date.now()}, service: 'pages', version: 'v1', address: toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), slots: 1, isDraining: false, coldMs: 0, sequence: 1,
	});
	return gate;
}

function createCall(context: TestContext, call: string): GateCall {
	const scope = createCallScope(performance.now() + 3000);
	context.after(scope.dispose);
	return {
		id: call, server: id, method: 'POST', target: '/', headers: {}, hasBody: false, isLargeUpload: false, readBody: async () => undefined, callerService: 'front', rank: 0, mayWaitMs: 1000, isCounted: false,
		scope,
	};
}

async function runAll(context: TestContext, requests: readonly string[], copies: readonly string[]): Promise<string> {
	const gate = await startGate(context, requests, copies);
	let last = '';
	for (const call of requests) {
		const {result} = await gate.run(createCall(context, call));
		last = result.type === 'answered' ? 'answered' : `${result.reason} ${result.verdict}`;
	}

	return last;
}

const requests = ['one', 'two', 'three', 'four'];

// Guards against a POST that the node answers with 502 while its server works on it, since a copy of an answer comes several requests late.
for (const copies of [['two'], ['one'], ['one', 'two', 'three']]) {
	test(`copies of the answers to ${copies.join(' and ')} do not end a request several requests later on the connection`, async context => {
		assert.equal(await runAll(context, requests, copies), 'answered');
	});
}

// Guards against an answer of another request that passes for a copy: only answers to requests of the connection are skipped.
test('an answer to a request that the connection has not carried ends the request', async context => {
	assert.equal(await runAll(context, requests, ['other']), 'wrong-answer may-have-run');
});
