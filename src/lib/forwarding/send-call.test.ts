import assert from 'node:assert/strict';
import test from 'node:test';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {toLifetimeKey, type LifetimeKey} from '../common/server-lifetime.js';
import {createSampleRoute} from '../route-config/sample-config.js';
import {createLoadView, type LoadView} from '../decisions/load-view.js';
import {type Candidate} from '../decisions/rank-servers.js';
import {createSilentQuarantine, createSampleFingerprint} from '../quarantine/sample-quarantine.js';
import {noRollouts} from '../rollout/no-rollouts.js';
import {silentLog} from '../timeline/mesh-log.js';
import {type Workspace} from '../workspaces/workspace.js';
import {createMeshRetryBudget} from '../decisions/mesh-retry-budget.js';
import {createCallScope} from './call-scope.js';
import {
	createMayHaveRun, createNotRun, type ForwardResult, type GateResult,
} from './forward-result.js';
import {type GateClient, type RemoteCall} from './gate-client.js';
import {type LocalGate} from './local-gate.js';
import {type OutgoingCall, type SendContext} from './outgoing-call.js';
import {chooseFailureStatus, sendCall} from './send-call.js';

const domain = toFailureDomain('a');

const toKey = (id: string): LifetimeKey => toLifetimeKey({id: toBackendServerId(id), startedAt: 1});

type Fixture = {
	readonly context: SendContext;
	readonly sent: RemoteCall[];
	readonly loads: LoadView;
	readonly unreachable: string[];
};

/** Creates the context of an entry with remote servers, each of which returns the given results one after the other, and then succeeds. */
function createFixture(servers: Readonly<Record<string, readonly ForwardResult[]>>, changes: Partial<SendContext> = {}): Fixture {
	const sent: RemoteCall[] = [];
	const unreachable: string[] = [];
	const loads = createLoadView();
	const remainingResults = new Map(Object.entries(servers).map(([id, results]) => [id, [...results]]));
	const listCandidates = (): readonly Candidate[] => Object.keys(servers).map(id => ({
		id: toBackendServerId(id), lifetime: toKey(id), node: toNodeId(`n-${id}`), gate: toAddress('10.0.0.1:1'), domain, isLocal: false, slots: 4, isCold: false, view: loads.get(toKey(id)),
	}));
	const gateClient = {
		computeBodyMs: () => 0,
		async send(call: RemoteCall): Promise<GateResult> {
			sent.push(call);
			return {result: remainingResults.get(call.server)?.shift() ?? answered, load: undefined};
		},
	} as unknown as GateClient;
	const context: SendContext = {
		self: toNodeId('n1'), callerService: 'caller', domain, listCandidates, gateClient, loads, recordNotices: () => undefined, log: silentLog, quarantine: createSilentQuarantine(), rollouts: noRollouts,
		localGate: {} as unknown as LocalGate,
		retryBudget: createMeshRetryBudget(() => ({ratio: 0.2, slack: 100, windowMs: 10_000}), () => 1),
		random: () => 0,
		noteUnreachable(node) {
			unreachable.push(node);
		},
		noteReached: () => undefined,
		watchSilence: () => () => undefined,
		...changes,
	};
	return {
		context, sent, loads, unreachable,
	};
}

const answered: ForwardResult = {
	type: 'answered', status: 200, headers: {}, body: new Uint8Array(),
};
const failed: ForwardResult = {...answered, status: 500};

function createCall(changes: Partial<OutgoingCall> = {}): OutgoingCall {
	return {
		id: 'c1', route: createSampleRoute({maxAttempts: 2}), service: 'logview', method: 'GET', target: '/logs/1', headers: {}, body: undefined, fingerprint: createSampleFingerprint(),
		receivedAt: performance.now(), isNestedCall: false, workspace: undefined, checkAccess: () => undefined, ageMs: 0, scope: createCallScope(performance.now() + 1000), ...changes,
	};
}

const unsafe = {route: createSampleRoute({type: 'unsafe', maxAttempts: 3})};

test('a refusal by a gate without a slot is not counted as an attempt: any call is sent to the next gate', async () => {
	const {context, sent} = createFixture({a: [createNotRun('full', 'x', 80)], b: [answered]});
	const outcome = await sendCall(context, createCall(unsafe));
	assert.equal(outcome.verdict, 'ran');
	assert.equal(new Set(sent.map(({server}) => server)).size, sent.length);
});

test('the first gates are asked for an immediate slot, later ones may queue the call', async () => {
	const full = [createNotRun('full', 'x', 80), createNotRun('full', 'x', 80)];
	const {context, sent} = createFixture({a: full, b: full, c: full});
	const outcome = await sendCall(context, createCall());
	assert.deepEqual(sent.map(({mayWaitMs}) => mayWaitMs > 0), [false, false, true, true]);
	assert.equal(outcome.verdict, 'not-run');
	assert.equal(outcome.result.type === 'failed' ? chooseFailureStatus(outcome.result, outcome.verdict) : 0, 503);
	assert.equal(outcome.result.type === 'failed' ? outcome.result.retryAfterMs : 0, 80);
});

test('a call that slow servers turn away goes to other servers without counting as refused, and the third gate has to take it', async () => {
	const slow = [createNotRun('slow', 'x'), createNotRun('slow', 'x')];
	const {context, sent, loads} = createFixture({a: slow, b: slow, c: slow});
	for (const id of ['a', 'b', 'c']) {
		loads.recordReport(toKey(id), {slowness: 1}, performance.now());
	}

	const outcome = await sendCall(context, createCall(unsafe));
	assert.equal(outcome.verdict, 'ran');
	assert.deepEqual(sent.map(({maxSlowness}) => maxSlowness === undefined), [false, false, true]);
	// All of these gates had room, so the call may wait at none of them.
	assert.deepEqual(sent.map(({mayWaitMs}) => mayWaitMs), [0, 0, 0]);
});

// Guards against a call that goes from gate to gate until its deadline.
test('a gate that turns a call away as slow although it must not counts as a refusal', async () => {
	const slow = Array.from({length: 40}, () => createNotRun('slow', 'x'));
	const {context, sent} = createFixture({a: slow, b: slow});
	const outcome = await sendCall(context, createCall());
	assert.equal(outcome.verdict, 'not-run');
	assert.ok(sent.length <= 6, `${sent.length} attempts`);
});

test('without load reports, no gate may turn a call away as slow', async () => {
	const {context, sent} = createFixture({a: [], b: []});
	await sendCall(context, createCall());
	assert.deepEqual(sent.map(({maxSlowness}) => maxSlowness), [undefined]);
});

test('a call that may have run is sent again only if it is retryable, and never answered with 503', async () => {
	const lost = createMayHaveRun('connection-lost', 'x');
	const safe = createFixture({a: [lost], b: [lost]});
	const outcome = await sendCall(safe.context, createCall());
	assert.equal(safe.sent.length, 2);
	assert.equal(outcome.result.type === 'failed' ? chooseFailureStatus(outcome.result, outcome.verdict) : 0, 502);
	const once = createFixture({a: [lost], b: [lost]});
	await sendCall(once.context, createCall(unsafe));
	assert.equal(once.sent.length, 1);
});

test('after an attempt that may have run, a refusal by another gate does not change the verdict to not-run', async () => {
	const lost = createMayHaveRun('connection-lost', 'x');
	const {context} = createFixture({a: [lost, lost], b: [createNotRun('full', 'x'), lost]});
	const outcome = await sendCall(context, createCall());
	assert.equal(outcome.verdict, 'may-have-run');
	assert.equal(outcome.result.type === 'failed' ? chooseFailureStatus(outcome.result, outcome.verdict) : 0, 502);
});

test('a retryable call that is answered with 500 is sent once more; for any other call the 500 is the answer', async () => {
	const safe = createFixture({a: [failed], b: [failed]});
	const twice = await sendCall(safe.context, createCall());
	assert.equal(safe.sent.length, 2);
	assert.equal(twice.result.type === 'answered' ? twice.result.status : 0, 500);
	const once = createFixture({a: [failed], b: [failed]});
	await sendCall(once.context, createCall(unsafe));
	assert.equal(once.sent.length, 1);
});

test('a call reaches no more servers than its route allows, and is retried only within the retry budget', async () => {
	const many = createFixture({
		a: [failed], b: [failed], c: [failed], d: [failed],
	});
	await sendCall(many.context, createCall({route: createSampleRoute({maxAttempts: 3})}));
	assert.equal(many.sent.length, 3);
	const spent = createFixture({a: [failed], b: [failed]}, {retryBudget: createMeshRetryBudget(() => ({ratio: 0, slack: 0, windowMs: 10_000}), () => 1)});
	await sendCall(spent.context, createCall());
	assert.equal(spent.sent.length, 1);
});

test('when every server is busy for far too long, no gate is asked, unless a backend server made the call', async () => {
	const fillQueues = (fixture: Fixture): void => {
		for (const id of ['a', 'b']) {
			fixture.loads.recordReport(toKey(id), {running: 4, waiting: 40, serviceMs: 200}, performance.now());
		}
	};

	const last = createFixture({a: [], b: []});
	fillQueues(last);
	const outcome = await sendCall(last.context, createCall());
	assert.equal(last.sent.length, 0);
	assert.ok(outcome.result.type === 'failed' && outcome.result.verdict === 'not-run' && outcome.result.retryAfterMs > 1000);
	const urgent = createFixture({a: [], b: []});
	fillQueues(urgent);
	await sendCall(urgent.context, createCall({isNestedCall: true}));
	assert.equal(urgent.sent.length, 1);
});

test('a node that cannot be reached is reported, and the call is sent to another server', async () => {
	const {context, unreachable} = createFixture({a: [createNotRun('node-unreachable', 'x')], b: [answered]});
	const outcome = await sendCall(context, createCall(unsafe));
	assert.equal(outcome.verdict, 'ran');
	assert.ok(unreachable.length <= 1);
});

/** Two servers; the node of the first is reported silent while a request is in flight. That server still answers, unless `isDead` is set. */
function createSilentFixture(slack: number, isDead = false) {
	let reportSilence = (): void => undefined;
	const sent: string[] = [];
	const waitForEnd = async ({scope}: RemoteCall): Promise<ForwardResult> => new Promise(resolve => {
		scope.subscribe(reason => {
			resolve(createMayHaveRun(reason, 'the node is silent'));
		});
	});
	const gateClient = {
		computeBodyMs: () => 0,
		async send(call: RemoteCall): Promise<GateResult> {
			sent.push(call.server);
			if (sent.length > 1) {
				return {result: answered, load: undefined};
			}

			reportSilence();
			return {result: isDead ? await waitForEnd(call) : answered, load: undefined};
		},
	} as unknown as GateClient;
	const {context} = createFixture({a: [], b: []}, {
		gateClient,
		retryBudget: createMeshRetryBudget(() => ({ratio: 0, slack, windowMs: 10_000}), () => 1),
		watchSilence(_node, handleSilence) {
			reportSilence = handleSilence;
			return () => undefined;
		},
	});
	return {context, sent};
}

test('a call that may be retried does not wait for a silent node', async () => {
	const {context, sent} = createSilentFixture(100, true);
	const outcome = await sendCall(context, createCall());
	assert.equal(sent.length, 2);
	assert.equal(outcome.result.type, 'answered');
	assert.equal(outcome.attempts[0]?.outcome, 'superseded');
});

test('a call that may not be retried keeps waiting for a silent node', async () => {
	const spent = createSilentFixture(0);
	const outcome = await sendCall(spent.context, createCall());
	assert.deepEqual([spent.sent.length, outcome.result.type], [1, 'answered']);
	const once = createSilentFixture(100);
	const last = await sendCall(once.context, createCall({route: createSampleRoute({maxAttempts: 1})}));
	assert.deepEqual([once.sent.length, last.result.type], [1, 'answered']);
});

test('a call whose caller has disconnected is not sent again', async () => {
	const {context, sent} = createFixture({a: [createNotRun('full', 'x')], b: [answered]}, {
		gateClient: {
			computeBodyMs: () => 0,
			async send(call: RemoteCall) {
				sent.push(call);
				call.scope.end('cancelled');
				scope.end('cancelled');
				return {result: createNotRun('cancelled', 'x'), load: undefined};
			},
		} as unknown as GateClient,
	});
	const scope = createCallScope(performance.now() + 1000);
	await sendCall(context, createCall({scope}));
	assert.equal(sent.length, 1);
});

test('a call that its caller retries may wait less for a slot, because its answer would be late', async () => {
	const full = createNotRun('full', 'x', 80);
	const ask = async (ageMs: number): Promise<RemoteCall> => {
		const {context, sent} = createFixture({a: [full, full], b: [full, full], c: [full, full]});
		await sendCall(context, createCall({ageMs}));
		return sent.find(({mayWaitMs}) => mayWaitMs > 0)!;
	};

	const fresh = await ask(0);
	const returning = await ask(300);
	assert.equal(returning.rank, fresh.rank);
	assert.ok(returning.mayWaitMs < fresh.mayWaitMs * 0.7);
});

test('a call whose server crashed is not sent to another server even if it is retryable; a call whose connection was lost is', async () => {
	const crashed = createFixture({a: [createMayHaveRun('server-crashed', 'x')], b: [answered]});
	const lost = createFixture({a: [createMayHaveRun('connection-lost', 'x')], b: [answered]});
	const [first, second] = [await sendCall(crashed.context, createCall()), await sendCall(lost.context, createCall())];
	assert.deepEqual([first.verdict, crashed.sent.length], ['may-have-run', 1]);
	assert.deepEqual([second.verdict, lost.sent.length], ['ran', 2]);
});

test('a call that a gate refuses as quarantined is not sent to another server', async () => {
	const {context, sent} = createFixture({a: [createNotRun('quarantined', 'x', 500)], b: [answered]});
	const {result, verdict} = await sendCall(context, createCall());
	assert.deepEqual([result.type === 'failed' ? result.reason : '', verdict, sent.length], ['quarantined', 'not-run', 1]);
});

test('a quarantined call is refused with the verdict not-run before any gate is asked', async () => {
	const quarantine = createSilentQuarantine();
	for (const startedAt of [1, 2, 3]) {
		quarantine.recordCrash({id: toBackendServerId('i-1'), startedAt}, [createSampleFingerprint()]);
	}

	const {context, sent} = createFixture({a: [answered]}, {quarantine});
	const {result, verdict} = await sendCall(context, createCall());
	assert.deepEqual([result.type === 'failed' ? result.reason : '', verdict, sent.length], ['quarantined', 'not-run', 0]);
});

/**
 * Guards against two crashes by one trial. While a trial of a quarantined request crashes its server, another copy of the request arrives at the
 * gate of that server and finds that the server refuses connections. If that copy is retried on another server like any refused call, it crashes the next server as well.
 */
test('a trial of a quarantined request that is refused is not sent to another server', async () => {
	const quarantine = createSilentQuarantine();
	quarantine.recordCrash({id: toBackendServerId('i-1'), startedAt: 1}, [createSampleFingerprint()]);
	const {context, sent} = createFixture({a: [createNotRun('server-unreachable', 'refused', 500)], b: [answered]});
	const {result, verdict} = await sendCall({...context, quarantine}, createCall());
	assert.deepEqual([result.type === 'failed' ? result.reason : '', verdict, sent.length], ['server-unreachable', 'not-run', 1]);
});

const press: Workspace = {
	name: 'press', keys: [], priority: undefined, ratePerSecond: undefined, burst: 0,
};

test('a workspace that two gates found over its share is refused without asking others, until it is forgotten', async () => {
	const overShare = [createNotRun('over-share', 'x', 80), createNotRun('over-share', 'x', 80)];
	const {context, sent, loads} = createFixture({a: overShare, b: overShare, c: overShare});
	const outcome = await sendCall(context, createCall({workspace: press}));
	assert.equal(sent.length, 2);
	assert.deepEqual(outcome.result.type === 'failed' ? [outcome.result.reason, outcome.result.verdict, outcome.result.retryAfterMs] : [], ['over-share', 'not-run', 500]);
	await sendCall(context, createCall({workspace: press}));
	assert.equal(sent.length, 2);
	await sendCall(context, createCall());
	assert.ok(sent.length > 2);
	assert.equal(loads.shareRefusals.isOverShare(press.name, performance.now() + 600), false);
});

// Guards against calls that get no second attempt because others took the retries and found every further server full.
test('a retry that every further server refuses before it is sent is returned to the budget', async () => {
	const full = createNotRun('full', 'x', 80);
	const retryBudget = createMeshRetryBudget(() => ({ratio: 0, slack: 10, windowMs: 10_000}), () => 1);
	const countRetries = (): number => retryBudget.countRemaining('logview', 'may-have-run', performance.now());
	const before = countRetries();
	assert.ok(before > 0);
	const {context, sent} = createFixture({a: Array.from({length: 9}, () => failed), b: Array.from({length: 99}, () => full)}, {retryBudget});
	for (let count = 0; count < 5; count++) {
		const {result, verdict} = await sendCall(context, createCall());
		assert.deepEqual([result.type === 'answered' ? result.status : result.reason, verdict], [500, 'ran']);
	}

	assert.ok(sent.some(({server}) => server === 'b'));
	assert.equal(countRetries(), before);
	const spent = createFixture({a: [failed, failed, failed], b: [failed, failed, failed]}, {retryBudget});
	await sendCall(spent.context, createCall());
	assert.equal(countRetries(), before - 1, 'a retry that was sent counts');
});
