/**
 * The load reports of a backend server at its gate.
 */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import test, {type TestContext} from 'node:test';
import {readSteadyMs} from '../common/clock.js';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {createSilentQuarantine} from '../quarantine/sample-quarantine.js';
import {noRollouts} from '../rollout/no-rollouts.js';
import {silentLog} from '../timeline/mesh-log.js';
import {createCallScope} from './call-scope.js';
import {type CallHeaderNames} from './call-headers.js';
import {type GateResult} from './forward-result.js';
import {createLocalGate, type LocalGate} from './local-gate.js';

const headerNames: CallHeaderNames = {
	callId: 'x-call', timeLeft: 'x-left', expectedServer: 'x-server', callerService: 'x-caller', signature: 'x-signature', notRun: 'x-not-run', serverLimit: 'x-limit', serverLeaving: 'x-leaving', serverLoad: 'x-load', authorization: 'authorization', authorizationScheme: 'token', workspace: 'x-workspace',
};
const id = toBackendServerId('i-1');

type Fixture = {
	readonly gate: LocalGate;
	/** Sends a request, to which the server responds with the given headers in addition to the id of the call. */
	readonly send: (headers: Readonly<Record<string, string>>, maxSlowness?: number) => Promise<GateResult>;
	readonly countArrived: () => number;
	/** Reasons of the refused input. */
	readonly refused: string[];
};

async function createFixture(context: TestContext): Promise<Fixture> {
	let headers: Readonly<Record<string, string>> = {};
	const refused: string[] = [];
	let arrived = 0;
	const server = createServer((request, response) => {
		arrived++;
		response.writeHead(200, {...headers, [headerNames.callId]: String(request.headers[headerNames.callId])}).end('page');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const gate = createLocalGate({
		drainMs: 2500,
		headerNames, log: silentLog, handleChange: () => undefined, getMaxConnections: () => 10, quarantine: createSilentQuarantine(), isLeaving: () => false, linkMbps: 7, countQueuedBytes: () => 0, rollouts: noRollouts, countLimited: () => undefined, findRouteName: () => undefined,
		refusals: {
			record({kind, reason}) {
				refused.push(`${kind} ${reason}`);
			},
		},
	});
	gate.announce({
		lifetime: {id, startedAt: 1000}, service: 'logview', version: 'v1', address: toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), slots: 6, isDraining: false, coldMs: 0, sequence: 1,
	});
	context.after(() => {
		gate.dispose();
		server.close();
		server.closeAllConnections();
	});
	return {
		gate, refused, countArrived: () => arrived, async send(responseHeaders, maxSlowness) {
			headers = responseHeaders;
			const scope = createCallScope(readSteadyMs() + 30_000);
			context.after(scope.dispose);
			return gate.run({
				id: 'call-1', server: id, method: 'GET', target: '/logs/1', headers: {host: 'mesh.example'}, readBody: async () => undefined,
				callerService: 'hall', rank: 1, mayWaitMs: 20_000, isCounted: false, hasBody: false, isLargeUpload: false, scope, maxSlowness,
			});
		},
	};
}

test('the gate passes on how slow the VM of its server is, relative to the average, and the caller gets the header as before', async context => {
	const {gate, send} = await createFixture(context);
	const {result, load} = await send({'x-signature': 's', 'x-load': '1,0,6,250'});
	assert.ok(result.type === 'answered' && result.headers['x-load'] === '1,0,6,250');
	assert.ok(load?.slowness !== undefined && load.slowness > 1.8 && load.slowness <= 2.5, `${load?.slowness}`);
	assert.ok(gate.describe()!.slowness! > 1.8);
	assert.equal(gate.getSlowness(), 2.5);
});

test('a server without load reports has no slowness, and its load is as before', async context => {
	const {gate, send} = await createFixture(context);
	const {load} = await send({'x-signature': 's'});
	assert.equal(load?.slowness, undefined);
	assert.equal(load?.running, 0);
	assert.ok(!('slowness' in gate.describe()!));
	assert.equal(gate.getSlowness(), undefined);
	await send({'x-signature': 's', 'x-load': '1,0,6'});
	assert.equal(gate.getSlowness(), undefined);
});

test('an absurd report changes nothing and is logged with what was found', async context => {
	const {gate, send, refused} = await createFixture(context);
	await send({'x-signature': 's', 'x-load': '1,0,6,130'});
	const {result} = await send({'x-signature': 's', 'x-load': '1,0,6,1e9'});
	assert.equal(result.type, 'answered');
	assert.equal(gate.getSlowness(), 1.3);
	assert.equal(refused.length, 1);
	assert.match(refused[0]!, /^load-refused x-load: found "1,0,6,1e9", must be/);
});

// Guards against another process at the address, whose responses have no signature.
test('the report of a response without a signature is not used', async context => {
	const {gate, send} = await createFixture(context);
	await send({'x-load': '6,9,6,900'});
	assert.equal(gate.getSlowness(), undefined);
});

// Guards against an entry that takes a server for idle which still works on requests of an earlier run of its gate.
test('requests at the server that this gate did not send count as running', async context => {
	const {send} = await createFixture(context);
	const {load} = await send({'x-signature': 's', 'x-load': '5,1,6,100'});
	assert.equal(load?.running, 5);
});

test('a gate whose server has become slow turns away a request that may go elsewhere, as not run, and runs the others', async context => {
	const {gate, send, countArrived} = await createFixture(context);
	const slow = {'x-signature': 's', 'x-load': '1,0,6,250'};
	await send(slow);
	const {result, load} = await send(slow, 1.3);
	assert.ok(result.type === 'failed');
	assert.deepEqual([result.reason, result.verdict, result.hasArrived], ['slow', 'not-run', false]);
	assert.ok(load!.slowness! > 1.3);
	assert.equal(countArrived(), 1);
	assert.equal(gate.countRequests(), 0);
	assert.equal((await send(slow, 3)).result.type, 'answered');
	assert.equal((await send(slow)).result.type, 'answered');
});
