/**
 * A gate over real sockets, with a server that never responds to some requests and
 * does not count them in its load reports.
 */
import assert from 'node:assert/strict';
import {createServer} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type TestContext} from 'node:test';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {createSilentQuarantine} from '../quarantine/sample-quarantine.js';
import {noRollouts} from '../rollout/no-rollouts.js';
import {type MeshEvent} from '../timeline/mesh-log.js';
import {createCallScope, type CallScope} from './call-scope.js';
import {type CallHeaderNames} from './call-headers.js';
import {type GateResult} from './forward-result.js';
import {createLocalGate, type LocalGate} from './local-gate.js';

const headerNames: CallHeaderNames = {
	callId: 'x-call', timeLeft: 'x-left', expectedServer: 'x-server', callerService: 'x-caller', signature: 'x-signature', notRun: 'x-not-run',
	serverLimit: 'x-limit', serverLoad: 'x-load', serverLeaving: 'x-leaving', authorization: 'authorization', authorizationScheme: 'token', workspace: 'x-workspace',
};

const server = toBackendServerId('i-1');
const slots = 6;
const workMs = 10;
const slowMs = 800;

/** How long the server keeps a response to `/delayed` after it has written its load report. */
const sendDelayMs = 60;

/** Start time of a server that started after its node. */
const startedLater = Date.now() + 3_600_000;

type Fixture = {
	readonly gate: LocalGate;
	readonly events: MeshEvent[];
	/** Targets of the requests that arrived, by connection. */
	readonly targetsBySocket: Map<Socket, string[]>;
	/** Returns the largest number of requests that the server had at the same time since the last call. */
	readonly takeMaxRunning: () => number;
	readonly run: (target: string, scope?: CallScope) => Promise<GateResult>;
	/** Runs short requests one after the other. */
	readonly runShort: (count: number) => Promise<void>;
	readonly announce: (startedAt?: number) => void;
	/** Work of others that the server reports. */
	foreign: number;
	/** Called when a response to `/delayed` has been sent. */
	handleDelayed: () => void;
};

type FixtureOptions = {readonly sendsReports?: boolean; readonly isRepeatable?: boolean};

async function createFixture(context: TestContext, {sendsReports = true, isRepeatable = true}: FixtureOptions = {}): Promise<Fixture> {
	const targetsBySocket = new Map<Socket, string[]>();
	const events: MeshEvent[] = [];
	let running = 0;
	let maxRunning = 0;
	const stub = createServer((request, response) => {
		const target = request.url ?? '';
		const targets = targetsBySocket.get(request.socket) ?? [];
		targetsBySocket.set(request.socket, [...targets, target]);
		if (target.startsWith('/lost')) {
			return;
		}

		running++;
		maxRunning = Math.max(maxRunning, running);
		setTimeout(() => {
			response.setHeader(headerNames.callId, String(request.headers[headerNames.callId]));
			response.setHeader(headerNames.signature, 's');
			if (sendsReports) {
				response.setHeader(headerNames.serverLoad, `${running + fixture.foreign},0,${slots}`);
			}

			running--;
			if (!target.startsWith('/delayed')) {
				response.end('page');
				return;
			}

			setTimeout(() => {
				response.end('page');
				fixture.handleDelayed();
			}, sendDelayMs);
		}, target.startsWith('/slow') ? slowMs : workMs);
	});
	await new Promise<void>(resolve => {
		stub.listen(0, '127.0.0.1', resolve);
	});
	const address = toAddress(`127.0.0.1:${(stub.address() as AddressInfo).port}`);
	const gate = createLocalGate({
		drainMs: 2500,
		headerNames,
		log: {
			record(_level, event) {
				events.push(event);
			},
		},
		refusals: {record: () => undefined}, handleChange: () => undefined, getMaxConnections: () => 40, quarantine: createSilentQuarantine(), isLeaving: () => false,
		linkMbps: 7, countQueuedBytes: () => 0, rollouts: noRollouts, countLimited: () => undefined, findRouteName: () => undefined,
		isRepeatableRoute: () => isRepeatable,
	});
	let lastId = 0;
	const fixture: Fixture = {
		gate,
		events,
		targetsBySocket,
		foreign: 0,
		handleDelayed: () => undefined,
		takeMaxRunning() {
			const taken = maxRunning;
			maxRunning = running;
			return taken;
		},
		async run(target, scope = createCallScope(performance.now() + 2000)) {
			lastId++;
			context.after(scope.dispose);
			return gate.run({
				id: `c${lastId}`, server, method: 'GET', target, headers: {host: 'mesh.example'}, readBody: async () => undefined,
				callerService: 'hall', rank: 1, mayWaitMs: 1500, isCounted: false, hasBody: false, isLargeUpload: false, scope,
			});
		},
		async runShort(count) {
			for (let index = 0; index < count; index++) {
				const {result} = await fixture.run('/short');
				assert.equal(result.type, 'answered');
			}
		},
		announce(startedAt = startedLater) {
			gate.announce({
				lifetime: {id: server, startedAt}, service: 'logview', version: 'v1', address, slots, isDraining: false, coldMs: 0, sequence: 1,
			});
		},
	};
	context.after(() => {
		gate.dispose();
		stub.close();
		stub.closeAllConnections();
	});
	return fixture;
}

/** Sends a long request, and then blocks the event loop, so that what has arrived is read late. */
async function runAndBlock(fixture: Fixture): Promise<GateResult> {
	const result = fixture.run('/slow');
	// The gate needs some promise jobs to send a request. No socket is read between them.
	for (let job = 0; job < 100; job++) {
		await Promise.resolve();
	}

	const until = performance.now() + sendDelayMs;
	while (performance.now() < until) {
		// The event loop stands still.
	}

	return result;
}

/** Runs enough requests for the gate to know the service times. */
async function prepareServiceTimes(fixture: Fixture): Promise<void> {
	fixture.announce();
	await fixture.runShort(110);
}

// Guards against a caller that waits for its deadline, and against later requests on a connection that the server no longer reads.
test('a request that the server lost ends as possibly run, its connection is closed, and the limit drops and recovers', async context => {
	const fixture = await createFixture(context);
	await prepareServiceTimes(fixture);
	const lost = fixture.run('/lost');
	// On a busy machine the usual time, and with it the time of the hang, is longer.
	while (fixture.events.every(({kind}) => kind !== 'request-hung') && fixture.gate.countRequests() > 0) {
		await fixture.runShort(1);
	}

	const {result} = await lost;
	assert.ok(result.type === 'failed');
	assert.deepEqual([result.verdict, result.reason, result.hasArrived], ['may-have-run', 'hung', true]);
	const targets = [...fixture.targetsBySocket.values()].find(list => list.includes('/lost'))!;
	assert.equal(targets.at(-1), '/lost', 'a later request used the connection');
	const hangs = fixture.events.flatMap(event => event.kind === 'request-hung' ? [event] : []);
	assert.ok(hangs.every(({ageMs, usualMs}) => ageMs < Math.max(150, usualMs * 4) + 300), JSON.stringify(hangs));
	assert.deepEqual(hangs.map(({reason, limit, isEnded}) => ({reason, limit, isEnded})), [{reason: 'not-reported', limit: 1, isEnded: true}]);
	await fixture.runShort(30);
	assert.equal(fixture.gate.getSlotLimit(), slots);
});

for (const isRepeatable of [true, false]) {
	// Guards against breaking off the longest honest requests.
	test(`a request that takes eighty times as long as others is answered if the server reports it (${isRepeatable ? 'may run twice' : 'must not run twice'})`, async context => {
		const fixture = await createFixture(context, {isRepeatable});
		await prepareServiceTimes(fixture);
		const slow = Promise.all([fixture.run('/slow/1'), fixture.run('/slow/2')]);
		await Promise.all(Array.from({length: 4}, async () => fixture.runShort(70)));
		for (const {result} of await slow) {
			assert.equal(result.type, 'answered');
		}

		assert.deepEqual(fixture.events.filter(({kind}) => kind === 'request-hung'), []);
	});
}

test('a request that must not run twice is not ended before its deadline while the server works on others', async context => {
	const fixture = await createFixture(context, {isRepeatable: false});
	await prepareServiceTimes(fixture);
	let hasEnded = false;
	const lost = (async () => {
		const {result} = await fixture.run('/lost', createCallScope(performance.now() + 1200));
		hasEnded = true;
		return result;
	})();
	const others: Array<Promise<unknown>> = [fixture.run('/slow'), fixture.runShort(70)];
	await sleep(slowMs / 2);
	others.push(fixture.run('/slow'));
	await sleep(600);
	assert.ok(!hasEnded);
	await Promise.all(others);
	const result = await lost;
	assert.ok(result.type === 'failed');
	assert.deepEqual([result.verdict, result.reason], ['may-have-run', 'timeout']);
});

for (const isRepeatable of [true, false]) {
	const kind = isRepeatable ? 'may run twice' : 'must not run twice';

	// Guards against a load report that the server wrote before a request arrived, and sent later, as evidence that it lost the request.
	test(`a request at work is answered although an older load report is sent after it (${kind})`, async context => {
		const fixture = await createFixture(context, {isRepeatable});
		await prepareServiceTimes(fixture);
		const delayed = fixture.run('/delayed');
		await sleep(workMs + 10);
		const [{result}] = await Promise.all([fixture.run('/slow'), delayed]);
		assert.equal(result.type, 'answered', JSON.stringify(result));
		assert.deepEqual(fixture.events.filter(event => event.kind === 'request-hung'), []);
	});

	// Guards against a load report that waited in the socket while the event loop stood still, as evidence that the server lost a request sent meanwhile.
	test(`a request at work is answered although the node reads an older load report after it (${kind})`, async context => {
		const fixture = await createFixture(context, {isRepeatable});
		await prepareServiceTimes(fixture);
		const sentMeanwhile = new Promise<GateResult>(resolve => {
			fixture.handleDelayed = () => {
				resolve(runAndBlock(fixture));
			};
		});
		const [{result}] = await Promise.all([sentMeanwhile, fixture.run('/delayed')]);
		assert.equal(result.type, 'answered', JSON.stringify(result));
		assert.deepEqual(fixture.events.filter(event => event.kind === 'request-hung'), []);
	});
}

// Guards against a caller whose request is given up before its deadline, on the evidence of load reports alone.
test('a request that must not run twice ends at its deadline, and its slot is free sooner, although the server reports none', async context => {
	const fixture = await createFixture(context, {isRepeatable: false});
	await prepareServiceTimes(fixture);
	const lost = fixture.run('/lost', createCallScope(performance.now() + 3000));
	while (fixture.events.every(({kind}) => kind !== 'request-hung') && fixture.gate.countRequests() > 0) {
		await fixture.runShort(1);
	}

	assert.equal(fixture.gate.countRequests(), 1, 'the request has ended');
	await fixture.runShort(30);
	assert.equal(fixture.gate.describe()?.running, 0, 'its slot is taken');
	assert.equal(fixture.gate.getSlotLimit(), slots);
	const {result} = await lost;
	assert.ok(result.type === 'failed');
	assert.deepEqual([result.verdict, result.reason], ['may-have-run', 'timeout']);
	const hangs = fixture.events.flatMap(event => event.kind === 'request-hung' ? [event.isEnded] : []);
	assert.deepEqual(hangs, [false]);
	await Promise.all(Array.from({length: 12}, async () => fixture.runShort(2)));
	assert.equal(fixture.gate.describe()?.running, 0);
	assert.ok(fixture.takeMaxRunning() <= slots);
});

// Guards against a request that waits for its deadline because another one was found to hang after the last response.
test('two requests that the server lost at different times both end, although no response follows the first end', async context => {
	const fixture = await createFixture(context);
	await prepareServiceTimes(fixture);
	const first = fixture.run('/lost/1');
	await fixture.runShort(4);
	const second = fixture.run('/lost/2');
	await fixture.runShort(5);
	for (const {result} of await Promise.all([first, second])) {
		assert.ok(result.type === 'failed');
		assert.equal(result.reason, 'hung');
	}
});

test('a server without load reports keeps its requests until their deadlines', async context => {
	const fixture = await createFixture(context, {sendsReports: false});
	await prepareServiceTimes(fixture);
	const lost = fixture.run('/lost', createCallScope(performance.now() + 900));
	await fixture.runShort(70);
	const {result} = await lost;
	assert.ok(result.type === 'failed');
	assert.equal(result.reason, 'timeout');
	assert.equal(fixture.gate.getSlotLimit(), slots);
});

// Guards against requests beyond the slots of a server that goes on with work whose caller has left.
test('requests whose callers left keep their slots while the server reports them', async context => {
	const fixture = await createFixture(context);
	await prepareServiceTimes(fixture);
	const scopes = Array.from({length: 4}, () => createCallScope(performance.now() + 2000));
	const left = Promise.all(scopes.map(async scope => fixture.run('/slow', scope)));
	await expectSoon('the server has the requests', () => fixture.takeMaxRunning() === 4);
	for (const scope of scopes) {
		scope.end('cancelled');
	}

	await left;
	await Promise.all(Array.from({length: 12}, async () => fixture.runShort(10)));
	assert.equal(fixture.takeMaxRunning(), slots);
	await sleep(slowMs);
	await fixture.runShort(1);
	fixture.takeMaxRunning();
	await Promise.all(Array.from({length: 12}, async () => fixture.runShort(2)));
	assert.equal(fixture.takeMaxRunning(), slots, 'the slots are free again');
	assert.equal(fixture.gate.describe()?.running, 0);
});

/** Fills the slots with long requests whose callers then leave. */
async function leaveAllSlots(fixture: Fixture): Promise<void> {
	const scopes = Array.from({length: slots}, () => createCallScope(performance.now() + 2000));
	const left = Promise.all(scopes.map(async scope => fixture.run('/slow', scope)));
	await expectSoon('the server has the requests', () => fixture.takeMaxRunning() === slots);
	for (const scope of scopes) {
		scope.end('cancelled');
	}

	for (const {result} of await left) {
		assert.ok(result.type === 'failed');
		assert.deepEqual([result.verdict, result.reason], ['may-have-run', 'cancelled']);
	}
}

// Guards against a server that gets nothing until the deadlines of requests whose callers left.
test('if the callers of all slots leave, a request is sent soon, and its response shows which slots are free', async context => {
	const fixture = await createFixture(context);
	await prepareServiceTimes(fixture);
	await leaveAllSlots(fixture);
	const startedAt = performance.now();
	await fixture.runShort(1);
	const tookMs = performance.now() - startedAt;
	assert.ok(tookMs < slowMs - 150, `${tookMs} ms`);
	assert.ok(fixture.takeMaxRunning() <= slots + (slots / 2));
	await sleep(slowMs);
	await fixture.runShort(1);
	assert.equal(fixture.gate.describe()?.running, 0);
	assert.equal(fixture.gate.getSlotLimit(), slots);
});

// Guards against requests beyond the slots of a server of which nothing is known, not even whether it sends load reports.
test('callers that leave before the first response keep their slots taken, until it shows that the server sends no load reports', async context => {
	for (const sendsReports of [true, false]) {
		const fixture = await createFixture(context, {sendsReports});
		fixture.announce();
		await leaveAllSlots(fixture);
		await sleep(workMs);
		assert.equal(fixture.gate.describe()?.running, slots, 'a slot was released');
		await fixture.runShort(1);
		assert.equal(fixture.gate.describe()?.running, sendsReports ? slots : 0, `the server sends ${sendsReports ? '' : 'no '}reports`);
		assert.ok(fixture.takeMaxRunning() <= slots + (slots / 2));
	}
});

// Guards against a slot that is never released because the connection ends while the response is awaited.
test('a slot whose response is awaited after its caller left is free again if the server closes the connection', async context => {
	const fixture = await createFixture(context);
	await prepareServiceTimes(fixture);
	await leaveAllSlots(fixture);
	const awaited = [...fixture.targetsBySocket].filter(([socket, targets]) => !socket.destroyed && targets.at(-1) === '/slow');
	assert.ok(awaited.length > 0);
	for (const [socket] of awaited) {
		socket.destroy();
	}

	await expectSoon('their slots are free', () => fixture.gate.describe()?.running === slots - awaited.length);
});

// Guards against a restarted gate that fills a server which still works for its earlier run.
test('a gate that started after its server uses half of the slots until the first report, and then what the report leaves', async context => {
	const fixture = await createFixture(context);
	fixture.foreign = 2;
	fixture.announce(Date.now() - 60_000);
	const first = Promise.all(Array.from({length: 6}, async () => fixture.run('/slow')));
	await sleep(workMs * 5);
	assert.equal(fixture.takeMaxRunning(), 3);
	await first;
	await fixture.runShort(3);
	fixture.takeMaxRunning();
	await Promise.all(Array.from({length: 12}, async () => fixture.runShort(3)));
	assert.equal(fixture.takeMaxRunning(), 4);
	fixture.foreign = 0;
	await fixture.runShort(20);
	fixture.takeMaxRunning();
	await Promise.all(Array.from({length: 12}, async () => fixture.runShort(3)));
	assert.equal(fixture.takeMaxRunning(), 6);
});
