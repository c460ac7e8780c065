/**
 * Tests a gate on a VM that is suspended. The test has its own file, and so its own process, because it shifts the clocks.
 */
import assert from 'node:assert/strict';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import os from 'node:os';
import test from 'node:test';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {readSteadyMs} from '../common/clock.js';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {createSilentQuarantine} from '../quarantine/sample-quarantine.js';
import {noRollouts} from '../rollout/no-rollouts.js';
import {silentLog} from '../timeline/mesh-log.js';
import {createCallScope} from './call-scope.js';
import {createLocalGate} from './local-gate.js';

test('a suspension of this VM does not count towards the service time of its server', async context => {
	const [readNow, readUptime] = [Date.now.bind(Date), os.uptime.bind(os)];
	let suspendedMs = 0;
	context.mock.method(Date, 'now', () => readNow() + suspendedMs);
	context.mock.method(os, 'uptime', () => readUptime() + (suspendedMs / 1000));
	const open: ServerResponse[] = [];
	const server = createServer((request, response) => {
		response.setHeader('x-call', String(request.headers['x-call']));
		response.setHeader('x-signature', 's');
		open.push(response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const id = toBackendServerId('i-1');
	const gate = createLocalGate({
		drainMs: 2500,
		headerNames: {
			callId: 'x-call', timeLeft: 'x-left', expectedServer: 'x-server', callerService: 'x-caller', signature: 'x-signature', notRun: 'x-not-run', serverLimit: 'x-limit', serverLeaving: 'x-leaving', serverLoad: 'x-load', authorization: 'authorization', authorizationScheme: 'token', workspace: 'x-workspace',
		},
		log: silentLog, refusals: {record: () => undefined}, handleChange: () => undefined, getMaxConnections: () => 10, quarantine: createSilentQuarantine(), isLeaving: () => false, linkMbps: 7, countQueuedBytes: () => 0, rollouts: noRollouts, countLimited: () => undefined, findRouteName: () => undefined,
	});
	const scope = createCallScope(readSteadyMs() + 30_000);
	context.after(() => {
		scope.dispose();
		gate.dispose();
		server.close();
		server.closeAllConnections();
	});
	gate.announce({
		lifetime: {id, startedAt: 1000}, service: 'logview', version: 'v1', address: toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`),
		slots: 1, isDraining: false, coldMs: 0, sequence: 1,
	});
	const before = gate.describe()?.serviceMs ?? 0;
	const startedAt = performance.now();
	const sent = gate.run({
		id: 'first', server: id, method: 'GET', target: '/logs/1', headers: {host: 'mesh.example'}, readBody: async () => undefined,
		callerService: 'hall', rank: 1, mayWaitMs: 20_000, isCounted: false, hasBody: false, isLargeUpload: false, scope,
	});
	await expectSoon('the request arrives', () => open.length === 1);
	suspendedMs = 2500;
	open[0]!.end('page');
	assert.equal((await sent).result.type, 'answered');
	const tookMs = performance.now() - startedAt;
	const serviceMs = gate.describe()?.serviceMs ?? 0;
	assert.ok(serviceMs > 0 && serviceMs <= Math.max(before, tookMs), `${serviceMs} ms, after ${before} and a request of ${tookMs}`);
});
