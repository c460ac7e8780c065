/**
 * Guards against failing calls that a backend server is still working on. The heartbeats of a node whose link is saturated with large answers may be lost
 * while the node works. If the entry cancels the attempt at such a silent node before another server has accepted the call, and all others are
 * busy, the caller gets 502, for example while its entry shuts down. In the logs such a call has an attempt that ended as `superseded`, and the reason `full`.
 */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {toLifetimeKey, type LifetimeKey} from '../common/server-lifetime.js';
import {createLoadView} from '../decisions/load-view.js';
import {type Candidate} from '../decisions/rank-servers.js';
import {createMeshRetryBudget} from '../decisions/mesh-retry-budget.js';
import {createSampleRoute} from '../route-config/sample-config.js';
import {createSilentQuarantine, createSampleFingerprint} from '../quarantine/sample-quarantine.js';
import {noRollouts} from '../rollout/no-rollouts.js';
import {silentLog} from '../timeline/mesh-log.js';
import {createCallScope} from './call-scope.js';
import {
	createMayHaveRun, createNotRun, type ForwardResult, type GateResult,
} from './forward-result.js';
import {type GateClient, type RemoteCall} from './gate-client.js';
import {type LocalGate} from './local-gate.js';
import {type CallOutcome, type OutgoingCall} from './outgoing-call.js';
import {sendCall} from './send-call.js';

const domain = toFailureDomain('a');

const toKey = (id: string): LifetimeKey => toLifetimeKey({id: toBackendServerId(id), startedAt: 1});

type MeshFixture = {
	readonly send: () => Promise<CallOutcome>;
	/** Reports to the waiting calls that the node of the first server is silent. */
	readonly reportSilence: () => void;
	/** Makes the first server answer. */
	readonly answer: (result?: ForwardResult) => void;
	/** Requests that were sent, in order. */
	readonly sent: readonly RemoteCall[];
	/** Records a long queue for every server but the first. */
	readonly fillOtherQueues: () => void;
};

/** Works until the attempt is cancelled. */
const workUntilEnd = async ({scope}: RemoteCall): Promise<ForwardResult> => new Promise(resolve => {
	scope.subscribe(reason => {
		resolve(createMayHaveRun(reason, 'cancelled by the entry'));
	});
});

const createAnswer = (status: number): ForwardResult => ({
	type: 'answered', status, headers: {}, body: new Uint8Array(),
});

/** Creates four servers. The first one that gets the call works until `answer` is called; the others return the result of `answerOther`. */
function createMesh(context: TestContext, answerOther: (call: RemoteCall) => Promise<ForwardResult>, slack = 100, checkAccess: OutgoingCall['checkAccess'] = () => undefined): MeshFixture {
	const sent: RemoteCall[] = [];
	const silenceHandlers = new Set<() => void>();
	let settleFirst: (result: ForwardResult) => void = () => undefined;
	const loads = createLoadView();
	const scope = createCallScope(performance.now() + 1000);
	context.after(scope.dispose);
	const listCandidates = (): readonly Candidate[] => ['a', 'b', 'c', 'd'].map(id => ({
		id: toBackendServerId(id), lifetime: toKey(id), node: toNodeId(`n-${id}`), gate: toAddress('10.0.0.1:1'), domain, isLocal: false, slots: 4, isCold: false, view: loads.get(toKey(id)),
	}));
	const gateClient = {
		computeBodyMs: () => 0,
		async send(call: RemoteCall): Promise<GateResult> {
			sent.push(call);
			if (sent.length > 1) {
				return {result: await answerOther(call), load: undefined};
			}

			const chosenResult = new Promise<ForwardResult>(resolve => {
				settleFirst = resolve;
			});
			return {result: await Promise.race([chosenResult, workUntilEnd(call)]), load: undefined};
		},
	} as unknown as GateClient;
	const call: OutgoingCall = {
		id: 'c1', route: createSampleRoute({maxAttempts: 2}), service: 'logview', method: 'GET', target: '/logs/1', headers: {}, body: undefined, fingerprint: createSampleFingerprint(),
		receivedAt: performance.now(), isNestedCall: false, workspace: undefined, checkAccess, ageMs: 0, scope,
	};
	return {
		sent,
		send: async () => sendCall({
			self: toNodeId('n1'), callerService: 'caller', domain, listCandidates, gateClient, loads, recordNotices: () => undefined, log: silentLog, quarantine: createSilentQuarantine(), rollouts: noRollouts,
			localGate: {} as unknown as LocalGate,
			retryBudget: createMeshRetryBudget(() => ({ratio: 0, slack, windowMs: 10_000}), () => 1),
			random: () => 0,
			noteUnreachable: () => undefined,
			noteReached: () => undefined,
			watchSilence(node, handleSilence) {
				if (node === `n-${sent[0]?.server ?? ''}` || sent.length === 0) {
					silenceHandlers.add(handleSilence);
				}

				return () => {
					silenceHandlers.delete(handleSilence);
				};
			},
		}, call),
		reportSilence() {
			for (const handleSilence of silenceHandlers) {
				handleSilence();
			}
		},
		answer(result = createAnswer(200)) {
			settleFirst(result);
		},
		fillOtherQueues() {
			for (const {lifetime} of listCandidates().filter(candidate => candidate.id !== sent[0]?.server)) {
				loads.recordReport(lifetime, {running: 4, waiting: 40, serviceMs: 200}, performance.now());
			}
		},
	};
}

/** Waits until all callbacks that are due have run. */
const settle = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const getStatus = ({result}: CallOutcome): number | string => result.type === 'answered' ? result.status : result.reason;

/** Sends a call, and reports the node of the first server as silent while that server works. */
async function sendAndReportSilence(mesh: MeshFixture): Promise<{readonly outcome: Promise<CallOutcome>}> {
	const outcome = mesh.send();
	await settle();
	mesh.reportSilence();
	await settle();
	return {outcome};
}

// Guards against a second attempt that runs with a key that was withdrawn during the first.
test('a call whose key was withdrawn is not sent to a second server, and is still answered by the silent node', async context => {
	let isWithdrawn = false;
	const mesh = createMesh(context, async () => createAnswer(200), 100, () => isWithdrawn ? createNotRun('unauthorized', 'withdrawn') : undefined);
	const outcome = mesh.send();
	await settle();
	isWithdrawn = true;
	mesh.reportSilence();
	await settle();
	assert.equal(mesh.sent.length, 1);
	mesh.answer();
	assert.equal(getStatus(await outcome), 200);
});

test('a call in flight at a silent node is answered by that node if no other server accepts the call', async context => {
	const mesh = createMesh(context, async () => createNotRun('full', 'all slots are taken', 50));
	const {outcome} = await sendAndReportSilence(mesh);
	mesh.answer();
	assert.equal(getStatus(await outcome), 200);
	assert.ok(mesh.sent.length > 1);
});

test('a call in flight at a silent node keeps waiting for it once all other servers have long queues', async context => {
	const mesh = createMesh(context, async () => {
		mesh.fillOtherQueues();
		return createNotRun('full', 'all slots are taken', 50);
	});
	const {outcome} = await sendAndReportSilence(mesh);
	mesh.answer();
	assert.equal(getStatus(await outcome), 200);
	assert.equal(mesh.sent.length, 2);
});

test('if the silent first server answers first, the attempt at the second server is cancelled', async context => {
	const mesh = createMesh(context, workUntilEnd);
	const {outcome} = await sendAndReportSilence(mesh);
	mesh.answer();
	assert.equal(getStatus(await outcome), 200);
	assert.equal(mesh.sent[1]?.scope.getEndReason(), 'superseded');
});

test('if the second server answers first, the attempt at the silent first server is cancelled', async context => {
	let settleOther: (result: ForwardResult) => void = () => undefined;
	const mesh = createMesh(context, async call => {
		const chosenResult = new Promise<ForwardResult>(resolve => {
			settleOther = resolve;
		});
		return Promise.race([chosenResult, workUntilEnd(call)]);
	});
	const {outcome} = await sendAndReportSilence(mesh);
	settleOther(createAnswer(200));
	assert.equal(getStatus(await outcome), 200);
	assert.equal(mesh.sent[0]?.scope.getEndReason(), 'superseded');
});

test('an error status from one server does not end the call while another server works on it', async context => {
	const mesh = createMesh(context, async () => createAnswer(500));
	const {outcome} = await sendAndReportSilence(mesh);
	mesh.answer();
	assert.equal(getStatus(await outcome), 200);
	assert.equal(mesh.sent.length, 2);
});

test('a call is sent to at most one other server, however often its node is reported as silent', async context => {
	const mesh = createMesh(context, workUntilEnd);
	const {outcome} = await sendAndReportSilence(mesh);
	for (let round = 0; round < 5; round++) {
		mesh.reportSilence();
		await settle();
	}

	mesh.answer();
	assert.equal(getStatus(await outcome), 200);
	assert.equal(mesh.sent.length, 2);
});

test('a call keeps waiting for a silent node if the retry budget is used up', async context => {
	const mesh = createMesh(context, async () => createAnswer(200), 0);
	const {outcome} = await sendAndReportSilence(mesh);
	mesh.answer();
	assert.equal(getStatus(await outcome), 200);
	assert.equal(mesh.sent.length, 1);
});
