import assert from 'node:assert/strict';
import test from 'node:test';
import {
	toAddress, toBackendServerId, toCallId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {samplePool, sampleRoute} from '../configuration/sample-items.js';
import {createDirectory, mergeRecords} from '../directory/directory.js';
import {createRecord} from '../directory/sample-records.js';
import {createServerLoads} from '../routing/server-load.js';
import {createFailure} from './attempt.js';
import {createRetryBudget} from './retry-budget.js';
import {runAttempts, type AttemptContext} from './run-attempts.js';

const refuseCall = (): never => {
	throw new Error('not expected in this test');
};

const service = 'logview';

const budgetSettings = {retryShare: 0, retryBurst: 3};

/** A mesh whose servers refuse all requests, and a budget of three retries without any from calls. */
function createFixture(serverCount: number): {readonly context: AttemptContext; readonly sent: string[]; readonly countRetriesLeft: () => number} {
	const servers = Array.from({length: serverCount}, (_, index) => ({
		id: toBackendServerId(`i-${index}`), service, address: toAddress('127.0.0.1:2'), slots: 4, connections: 8, startedAt: 1, isDraining: false,
	}));
	const {directory} = mergeRecords(createDirectory(), [createRecord('n1', {servers})]);
	const sent: string[] = [];
	const budget = createRetryBudget(budgetSettings);
	const context: AttemptContext = {
		self: toNodeId('n0'), domain: toFailureDomain('d'), getDirectory: () => directory, loads: createServerLoads(), budget,
		settings: {
			...budgetSettings, bufferedBodyBytes: 65_536, ejectionMs: 100, drainMs: 1000,
		},
		localServers: {
			announce: refuseCall, drain: refuseCall, drainAll: refuseCall, restoreDrains: refuseCall, withdraw: refuseCall, has: refuseCall, send: refuseCall, reserve: refuseCall, list: refuseCall, waitUntilIdle: refuseCall, dispose: refuseCall,
		},
		gateClient: {
			async send(_address, server) {
				sent.push(server);
				return createFailure('not-run', 'shed', 'full');
			},
			reserve: refuseCall, dispose: refuseCall,
		},
		quarantine: {check: () => ({type: 'free'})},
		timeline: {record: () => undefined, list: () => []},
		random: () => 0.5,
	};
	return {
		context, sent,
		countRetriesLeft() {
			let count = 0;
			while (budget.tryAcquire()) {
				count++;
			}

			return count;
		},
	};
}

async function runCall(context: AttemptContext): ReturnType<typeof runAttempts> {
	return runAttempts(context, {
		call: toCallId('c1'), method: 'GET', path: '/logs', headers: {}, body: {type: 'none'}, deadline: Date.now() + 1000, signal: new AbortController().signal, fingerprint: undefined,
		plan: {
			route: sampleRoute, pool: samplePool, version: 1,
			decision: {
				action: 'forward', timeoutMs: 1000, attempts: 3, isRepeatable: true, workClass: 'interactive', onceKey: '',
			},
		},
	});
}

// Guards against calls of other services that get no second attempt, because calls of a service with one full server took the retries without making any.
test('a call that finds no further server takes no retry from the budget', async () => {
	const fixture = createFixture(1);
	for (let count = 0; count < 5; count++) {
		const {result, attempts, verdict} = await runCall(fixture.context);
		assert.ok(result.type === 'failed');
		assert.deepEqual([result.reason, attempts, verdict], ['shed', 1, 'not-run']);
	}

	assert.equal(fixture.sent.length, 5);
	assert.equal(fixture.countRetriesLeft(), 3);
});

test('each further attempt takes one retry, and none is made without', async () => {
	const fixture = createFixture(2);
	for (const expected of [2, 2, 2, 1]) {
		const {attempts} = await runCall(fixture.context);
		assert.equal(attempts, expected);
	}

	assert.equal(fixture.sent.length, 7);
	assert.equal(fixture.countRetriesLeft(), 0);
});
