import assert from 'node:assert/strict';
import {rm, writeFile} from 'node:fs/promises';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {join} from 'node:path';
import test, {type TestContext} from 'node:test';
import {request as sendRequest} from 'undici';
import {
	fetchJson, prepareMesh, startNode, startStore, waitForServers, waitForStore,
} from '../../demo/mesh.js';
import {startProcess, type RunningProcess} from '../../demo/processes.js';
import {type NodeStatusResponse} from '../../src/index.js';
import {settle} from '../../src/lib/common/settle.js';
import {expectSoon} from '../../stand-ins/wait-until.js';

const config = `
routes:
  - {name: slow, path: /slow, methods: [POST], pool: work, policy: once}
pools:
  - {name: work, service: work}
policies:
  - {name: once, decision: '{"action": "forward", "timeoutMs": 20000, "attempts": 1, "isRepeatable": false}'}
`;

type WorkingNode = {
	readonly running: RunningProcess;
	/** The status that the caller of the request in work gets; `undefined` if its connection is cut. */
	readonly status: Promise<number | undefined>;
	/** Lets the server answer. */
	readonly answer: () => void;
};

/** Starts a node, and a server that works on one request until it is told to answer. */
async function startWorkingNode(context: TestContext): Promise<WorkingNode> {
	const mesh = await prepareMesh();
	const node = mesh.nodes[0]!;
	const store = startStore(mesh);
	let answer: (() => void) | undefined;
	const server = createServer((_, response) => {
		answer = () => {
			response.end('done');
		};
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const running = startNode(node);
	context.after(async () => {
		running.child.kill('SIGKILL');
		store.child.kill('SIGKILL');
		server.close();
		server.closeAllConnections();
		await rm(mesh.directory, {recursive: true, force: true});
	});
	assert.ok(await waitForStore(mesh));
	await expectSoon('the node is ready', async () => {
		const {isReady} = await fetchJson<NodeStatusResponse>(`http://${node.operators}/v1/status`);
		return isReady;
	});
	const file = join(mesh.directory, 'config.yaml');
	await writeFile(file, config);
	const cli = startProcess('cli', 'apps/cli/main.js', ['submit', file, '--node', node.operators]);
	assert.equal(await cli.waitForExit(), 0, cli.getOutput());
	const announced = await sendRequest(`http://${node.announcements}/v1/announcements`, {
		method: 'POST', headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			id: 's-1', service: 'work', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, slots: 4, connections: 4,
		}),
	});
	await announced.body.dump();
	assert.ok(await waitForServers(node, 1));
	const sent = settle(sendRequest(`http://${node.callers}/slow`, {method: 'POST', body: 'x'}));
	await expectSoon('the server works on the request', () => answer !== undefined);
	const readStatus = async (): Promise<number | undefined> => {
		const response = await sent;
		await response?.body.dump();
		return response?.statusCode;
	};

	return {
		running,
		status: readStatus(),
		answer() {
			answer?.();
		},
	};
}

async function waitForLine(running: RunningProcess, text: string): Promise<void> {
	await expectSoon(`the log has: ${text}`, () => running.getOutput().includes(text));
}

for (const repeated of ['SIGTERM', 'SIGINT'] as const) {
	// Guards against a request that is cut, since whoever stops the process repeats its signal.
	test(`a request in work is answered although ${repeated} follows SIGTERM`, async context => {
		const {running, status, answer} = await startWorkingNode(context);
		running.child.kill('SIGTERM');
		await waitForLine(running, 'node-draining');
		running.child.kill(repeated);
		await waitForLine(running, 'received a ');
		answer();
		assert.equal(await status, 200, running.getOutput());
		assert.equal(await running.waitForExit(), 0);
	});
}

// Guards against a process at a terminal that cannot be stopped at once.
test('a second SIGINT stops at once', async context => {
	const {running, status} = await startWorkingNode(context);
	running.child.kill('SIGINT');
	await waitForLine(running, 'node-draining');
	running.child.kill('SIGINT');
	assert.equal(await running.waitForExit(), 4);
	assert.equal(await status, undefined);
});
