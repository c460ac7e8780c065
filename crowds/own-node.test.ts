/**
 * The product's own node and clients that do not behave: its process runs on within its memory, and an ordinary request
 * is answered while the crowd is still connected.
 */
import assert from 'node:assert/strict';
import {rm, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import test, {type TestContext} from 'node:test';
import {request as sendRequest} from 'undici';
import {
	fetchJson, prepareMesh, startStore, waitForStore, type MeshNode,
} from '../demo/mesh.js';
import {findProgram, startProcess} from '../demo/processes.js';
import {type NodeStatusResponse} from '../src/index.js';
import {settle} from '../src/lib/common/settle.js';
import {expectSoon} from '../stand-ins/wait-until.js';
import {createRequestHead} from '../platform/crowd-requests.js';
import {openCrowd, createTexts} from './crowd.js';
import {startLoggedProcess} from './logged-process.js';
import {startLongAnswerServer} from './long-answer-server.js';
import {readPeakMemory} from './process-usage.js';

/** Heap of the process, in megabytes. */
const heapMb = 64;

/** Memory that the process may take, in bytes: the default of its settings. */
const maxBytes = 350_000_000;

/** More than the socket buffers of a connection hold, so that the node waits for its caller. */
const longAnswerBytes = 5_000_000;

const config = `
routes:
  - {name: logs, path: /logs, methods: [GET], pool: logview, policy: pages}
  - {name: releases, path: /releases, methods: [POST], pool: logview, policy: once}
pools:
  - {name: logview, service: logview}
policies:
  - {name: pages, decision: '{"action": "forward", "timeoutMs": 30000, "attempts": 1, "isRepeatable": true}'}
  - {name: once, decision: '{"action": "forward", "timeoutMs": 30000, "attempts": 1, "isRepeatable": false, "onceKey": "idempotency-key" in request.headers ? request.headers["idempotency-key"] : ""}'}
`;

/** Questions that are asked while a crowd is at work. */
const questions = 3;

/** How long the answer to a question may take, in milliseconds. */
const answerMs = 3000;

/** Returns the body of the answer, which must come in time. */
async function askInTime(url: string): Promise<string> {
	const {statusCode, body} = await sendRequest(url, {signal: AbortSignal.timeout(answerMs)});
	const text = await body.text();
	assert.equal(statusCode, 200, text);
	return text;
}

type OwnNode = {
	readonly node: MeshNode;
	readonly countRuns: () => number;
	/** Asserts that the process runs within its memory, and that an ordinary request is answered. */
	readonly expectServing: () => Promise<void>;
};

async function startOwnNode(context: TestContext): Promise<OwnNode> {
	const mesh = await prepareMesh();
	const node = mesh.nodes[0]!;
	const store = startStore(mesh);
	const parameters = [`--max-old-space-size=${heapMb}`, findProgram('apps/node/main.js'), '--settings', node.settingsFile];
	const {child, assertRunning} = startLoggedProcess(parameters, join(mesh.directory, 'node-output'));
	context.after(async () => {
		child.kill('SIGKILL');
		store.child.kill('SIGKILL');
		await rm(mesh.directory, {recursive: true, force: true});
	});
	assert.ok(await waitForStore(mesh));
	await expectSoon('the node is ready', async () => {
		const {isReady} = await fetchJson<NodeStatusResponse>(`http://${node.operators}/v1/status`);
		return isReady;
	});
	const file = join(mesh.directory, 'crowd.yaml');
	await writeFile(file, config);
	const cli = startProcess('cli', 'apps/cli/main.js', ['submit', file, '--node', node.operators]);
	assert.equal(await cli.waitForExit(), 0, cli.getOutput());
	const server = await startLongAnswerServer(context, 's-1');
	const announce = async (): Promise<boolean> => {
		const {statusCode, body} = await sendRequest(`http://${node.announcements}/v1/announcements`, {
			method: 'POST', headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				id: server.id, service: 'logview', address: server.address, slots: 100, connections: 100,
			}),
		});
		await body.dump();
		return statusCode < 300;
	};

	const timer = setInterval(() => {
		void settle(announce());
	}, 1000);
	context.after(() => {
		clearInterval(timer);
	});
	const expectAnswered = async (): Promise<void> => expectSoon('an ordinary request is answered', async () => {
		const {statusCode, body} = await sendRequest(`http://${node.callers}/logs/100`);
		const text = await body.text();
		return statusCode === 200 && text.length === 100;
	});
	const expectWithinMemory = (): void => {
		assertRunning();
		const peak = readPeakMemory(child.pid!);
		assert.ok(peak <= maxBytes, `${peak} bytes`);
	};

	await announce();
	await expectAnswered();
	return {
		node,
		countRuns: server.countRuns,
		async expectServing() {
			expectWithinMemory();
			await expectAnswered();
			expectWithinMemory();
		},
	};
}

// Guards against requests that are read and kept without a bound.
test('callers that send many requests ahead and read nothing do not end the product\'s own node', async context => {
	const {node, countRuns, expectServing} = await startOwnNode(context);
	const crowd = openCrowd(context, {address: node.callers, connections: 40, createTexts: () => createTexts(1000, () => createRequestHead('/logs/10'))});
	await crowd.settle(countRuns);
	await expectServing();
});

// Guards against answers that are kept for callers which do not read them.
test('callers that ask ahead for long answers and read nothing do not take the memory of the product\'s own node', async context => {
	const {node, countRuns, expectServing} = await startOwnNode(context);
	const crowd = openCrowd(context, {address: node.callers, connections: 60, createTexts: () => createTexts(40, () => createRequestHead('/logs/4000000'))});
	await crowd.settle(countRuns);
	await expectServing();
});

// Guards against an uncaught exception when the server's connection ends while the HTTP client waits for the caller to read.
test('callers that read long answers slowly do not end the product\'s own node', async context => {
	const {node, countRuns, expectServing} = await startOwnNode(context);
	const crowd = openCrowd(context, {
		address: node.callers, connections: 60, createTexts: connection => createTexts(4, () => createRequestHead(`/logs/${longAnswerBytes + (connection * 1000)}`)), getReadPauseMs: connection => connection % 8,
	});
	await crowd.settle(countRuns);
	await expectServing();
});

// Guards against keys without end: each is a record in the store, whose calls other requests need.
test('requests sent ahead, each with a new key, do not end the product\'s own node', async context => {
	const {node, countRuns, expectServing} = await startOwnNode(context);
	const crowd = openCrowd(context, {
		address: node.callers, connections: 40, createTexts: () => createTexts(1000, () => createRequestHead('/releases', {method: 'POST', headers: 'Content-Length: 0\r\n'})),
	});
	await crowd.settle(countRuns);
	await expectServing();
});

// Guards against a bound for callers only.
test('requests sent ahead to the operators, their answers unread, do not take the memory of the product\'s own node', async context => {
	const {node, countRuns, expectServing} = await startOwnNode(context);
	const crowd = openCrowd(context, {
		address: node.operators, connections: 40, createTexts: () => createTexts(2000, () => 'GET /v1/timeline HTTP/1.1\r\nHost: a\r\n\r\n'),
	});
	await crowd.settle(countRuns);
	await expectServing();
});

/** Requests for a page that no route has, without an end. */
function * createRefusedRequests(): Iterable<string> {
	const head = createRequestHead('/none/1');
	for (;;) {
		yield head;
	}
}

for (const isReading of [true, false]) {
	// Guards against a process that lives, and answers nobody but those who send most.
	test(`callers whose requests are refused at once, and who ${isReading ? 'go on without an end' : 'read nothing'}, keep no other caller of the product's own node waiting`, async context => {
		const {node, expectServing} = await startOwnNode(context);
		openCrowd(context, {
			address: node.callers, connections: 60, isReading, createTexts: createRefusedRequests,
		});
		for (let question = 0; question < questions; question++) {
			await expectServing();
			const page = await askInTime(`http://${node.callers}/logs/100`);
			assert.equal(page.length, 100);
			const status = JSON.parse(await askInTime(`http://${node.operators}/v1/status`)) as NodeStatusResponse;
			assert.ok(status.isReady);
			assert.match(await askInTime(`http://${node.operators}/metrics`), /stonemoor/);
		}
	});
}
