/** Guards against a slot that is taken as reserved, or a response that is passed on, although the gate answered another call. */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import test, {type TestContext} from 'node:test';
import {toAddress, toBackendServerId, type CallId} from '../common/ids.js';
import {createSystemNetwork} from '../common/network.js';
import {createLamportClock} from '../timeline/lamport-clock.js';
import {type Attempt} from './attempt.js';
import {createGateClient, type GateClient} from './gate-client.js';

const server = toBackendServerId('s-1');

const attempt: Attempt = {
	call: 'own' as CallId, method: 'GET', path: '/', headers: {}, body: undefined, workClass: 'interactive', deadline: Date.now() + 1000, signal: new AbortController().signal,
	fingerprint: undefined, entry: 'n-1', limitPerSecond: undefined,
};

/** Starts a gate whose answers name a call. */
async function startGate(context: TestContext, call: string): Promise<{readonly client: GateClient; readonly address: ReturnType<typeof toAddress>}> {
	const gate = createServer((_, response) => {
		response.writeHead(200, {
			'content-length': 0, 'stonemoor-call': call, 'stonemoor-ticket': 'ticket', 'stonemoor-answered-by': 'server',
		});
		response.end();
	});
	await new Promise<void>(resolve => {
		gate.listen(0, '127.0.0.1', resolve);
	});
	const client = createGateClient(createLamportClock(), createSystemNetwork());
	context.after(async () => {
		await client.dispose();
		gate.close();
	});
	return {client, address: toAddress(`127.0.0.1:${(gate.address() as AddressInfo).port}`)};
}

test('a reservation or a response that names another call is a failure', async context => {
	const {client, address} = await startGate(context, 'other');
	const reserved = await client.reserve(address, server, attempt);
	assert.ok(typeof reserved !== 'string');
	assert.deepEqual([reserved.verdict, reserved.reason], ['not-run', 'wrong-answer']);
	const sent = await client.send(address, server, attempt);
	assert.ok(sent.type === 'failed');
	assert.deepEqual([sent.verdict, sent.reason], ['may-have-run', 'wrong-answer']);
});

test('a reservation and a response that name the call are taken', async context => {
	const {client, address} = await startGate(context, 'own');
	assert.equal(await client.reserve(address, server, attempt), 'ticket');
	const sent = await client.send(address, server, attempt);
	assert.equal(sent.type, 'answered');
});
