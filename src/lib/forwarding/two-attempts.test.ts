/** Tests calls with a second attempt in flight because the node of the first one is silent. */
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
import {type CallOutcome} from './outgoing-call.js';
import {sendCall} from './send-call.js';

const toKey = (id: string): LifetimeKey => toLifetimeKey({id: toBackendServerId(id), startedAt: 1});

const settle = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

type SentRequest = {readonly call: RemoteCall; readonly settle: (result: ForwardResult) => void};

/** Creates four servers; each request stays in flight until the test settles it or the entry cancels it. */
function createMesh(context: TestContext, maxAttempts: number, timeMs = 1000, type: 'safe' | 'unsafe' = 'safe'): {
	readonly sent: readonly SentRequest[]; readonly send: () => Promise<CallOutcome>; readonly reportSilence: (node: string) => void;
} {
	const sent: SentRequest[] = [];
	const watchers: Array<{readonly node: string; readonly handleSilence: () => void; isUnsubscribed: boolean}> = [];
	const loads = createLoadView();
	const scope = createCallScope(performance.now() + timeMs);
	context.after(scope.dispose);
	const domain = toFailureDomain('a');
	return {
		sent,
		reportSilence(node) {
			for (const watcher of watchers) {
				if (watcher.node === node && !watcher.isUnsubscribed) {
					watcher.handleSilence();
				}
			}
		},
		send: async () => sendCall({
			self: toNodeId('n1'), callerService: 'caller', domain, loads, recordNotices: () => undefined, log: silentLog, localGate: {} as unknown as LocalGate,
			quarantine: createSilentQuarantine(), rollouts: noRollouts,
			listCandidates: () => ['a', 'b', 'c', 'd'].map((id): Candidate => ({
				id: toBackendServerId(id), lifetime: toKey(id), node: toNodeId(`n-${id}`), gate: toAddress('10.0.0.1:1'), domain, isLocal: false, slots: 4, isCold: false, view: loads.get(toKey(id)),
			})),
			gateClient: {
				computeBodyMs: () => 0,
				async send(call: RemoteCall): Promise<GateResult> {
					return {
						load: undefined, result: await new Promise<ForwardResult>(resolve => {
							sent.push({call, settle: resolve});
							call.scope.subscribe(reason => {
								resolve(createMayHaveRun(reason, 'ended'));
							});
						}),
					};
				},
			} as unknown as GateClient,
			retryBudget: createMeshRetryBudget(() => ({ratio: 0, slack: 1000, windowMs: 10_000}), () => 1),
			random: () => 0,
			noteUnreachable: () => undefined,
			noteReached: () => undefined,
			watchSilence(node, handleSilence) {
				const watcher = {node: String(node), handleSilence, isUnsubscribed: false};
				watchers.push(watcher);
				return () => {
					watcher.isUnsubscribed = true;
				};
			},
		}, {
			id: 'c1', route: createSampleRoute({maxAttempts, type}), service: 'logview', method: 'GET', target: '/logs/1', headers: {}, body: undefined, fingerprint: createSampleFingerprint(),
			receivedAt: performance.now(), isNestedCall: false, workspace: undefined, checkAccess: () => undefined, ageMs: 0, scope,
		}),
	};
}

const getNode = (sent: readonly SentRequest[], index: number): string => `n-${String(sent[index]!.call.server)}`;

for (const [description, firstResult] of [
	['could not be reached', createNotRun('node-unreachable', 'no connection within 300 ms')],
	['had no slot', createNotRun('full', 'all slots are taken', 50)],
	['was draining', createNotRun('draining', 'takes no new work')],
] as const) {
	test(`a call in flight at a second server is not sent to a third when the first ${description}`, async context => {
		const mesh = createMesh(context, 2);
		const outcome = mesh.send();
		await settle();
		mesh.reportSilence(getNode(mesh.sent, 0));
		await settle();
		assert.equal(mesh.sent.length, 2);
		mesh.sent[0]!.settle(firstResult);
		await settle();
		await settle();
		const count = mesh.sent.length;
		mesh.sent[1]!.settle({
			type: 'answered', status: 200, headers: {}, body: new Uint8Array(),
		});
		await outcome;
		assert.equal(count, 2, 'the call was sent to a third server although the second is responsive');
	});
}

test('an error status from one server is not replaced by the timeout of another', async context => {
	const mesh = createMesh(context, 2, 200);
	const outcome = mesh.send();
	await settle();
	mesh.reportSilence(getNode(mesh.sent, 0));
	await settle();
	mesh.sent[1]!.settle({
		type: 'answered', status: 500, headers: {}, body: new Uint8Array(),
	});
	const {result} = await outcome;
	assert.equal(result.type === 'answered' ? result.status : result.reason, 500);
});

test('a call whose two nodes are both silent is sent to a third server if the route allows three attempts', async context => {
	const mesh = createMesh(context, 3);
	const outcome = mesh.send();
	await settle();
	mesh.reportSilence(getNode(mesh.sent, 0));
	await settle();
	assert.equal(mesh.sent.length, 2);
	for (let round = 0; round < 5; round++) {
		mesh.reportSilence(getNode(mesh.sent, 0));
		mesh.reportSilence(getNode(mesh.sent, 1));
		await settle();
	}

	const count = mesh.sent.length;
	mesh.sent.at(-1)!.settle({
		type: 'answered', status: 200, headers: {}, body: new Uint8Array(),
	});
	await outcome;
	assert.equal(count, 3);
});

test('a call that is not retryable is not sent to another server when its node falls silent', async context => {
	const mesh = createMesh(context, 3, 1000, 'unsafe');
	const outcome = mesh.send();
	await settle();
	mesh.reportSilence(getNode(mesh.sent, 0));
	await settle();
	mesh.sent[0]!.settle({
		type: 'answered', status: 200, headers: {}, body: new Uint8Array(),
	});
	await outcome;
	assert.equal(mesh.sent.length, 1);
});
