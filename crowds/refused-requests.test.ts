/**
 * Callers that go on sending requests which are refused at once. Each test checks that the callers of the same node, the
 * platform's readiness check and the backend server are answered meanwhile, and that the processes run on within their limits.
 */
import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {createRequestHead} from '../platform/crowd-requests.js';
import {sendCall} from '../platform/test-mesh.js';
import {fetchReadiness} from '../stand-ins/platform-server/server-messages.js';
import {openCrowd, type Crowd} from './crowd.js';
import {startCrowdMesh, type CrowdMesh} from './crowd-mesh.js';

const crowdConnections = 60;

/** Questions that are asked while the crowd is at work. */
const questions = 3;

/** Yields requests without an end. */
function * createRequests(target: string): Iterable<string> {
	const heads = Array.from({length: 50}, () => createRequestHead(target));
	for (;;) {
		yield * heads;
	}
}

function openEndlessCrowd(context: TestContext, mesh: CrowdMesh, target: string, isReading: boolean): Crowd {
	return openCrowd(context, {
		address: mesh.entry.settings.listen.callers, connections: crowdConnections, isReading,
		createTexts: () => createRequests(target),
	});
}

for (const isReading of [true, false]) {
	// Guards against a process that lives, and answers nobody but those who send most.
	test(`callers whose requests are refused at once, and who ${isReading ? 'go on without an end' : 'read nothing'}, keep no other caller waiting`, async context => {
		const mesh = await startCrowdMesh(context);
		const {callers, readiness, metrics} = mesh.entry.settings.listen;
		openEndlessCrowd(context, mesh, '/none/1', isReading);
		for (let question = 0; question < questions; question++) {
			await mesh.expectServing();
			assert.ok(await fetchReadiness(readiness));
			const answer = await sendCall(callers, '/logs/100', {timeLeftMs: 3000, disconnectAfterMs: 3000});
			assert.equal(answer.status, 200);
			const page = await sendCall(metrics, '/metrics');
			assert.equal(page.status, 200);
		}
	});
}
