/**
 * Steps that send calls, control backend servers and check the outcomes of calls.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {request as sendRequest} from 'undici';
import {timeoutHeader} from '../../src/index.js';
import {type BackendBehaviour} from '../../stand-ins/backend-server/backend-server.js';
import {createPage} from '../../stand-ins/backend-server/page.js';
import {
	waitFor, type World, type WorldNode,
} from '../world.js';
import {
	defineStep, getLastAnswer, type ScenarioState,
} from './define-step.js';

function createReleaseCall(key: string): Parameters<World['call']>[1] {
	return {
		method: 'POST', path: `/releases/${key}`, headers: {'idempotency-key': key}, body: `release ${key}`,
	};
}

function applyBehaviour(state: ScenarioState, names: readonly string[], behaviour: Partial<BackendBehaviour>): void {
	for (const name of names) {
		state.world.getServer(name).setBehaviour(behaviour);
	}
}

async function readPages(state: ScenarioState, count: number, nodes: readonly WorldNode[]): Promise<void> {
	state.answers = await Promise.all(Array.from({length: count}, async (_, index) => {
		const path = `/logs/${index}?caller=${index}`;
		return {path, answer: await state.world.call(nodes[index % nodes.length]!.name, {path})};
	}));
}

defineStep('{int} callers concurrently read different pages through all nodes', async (state, count: number) => {
	await readPages(state, count, state.world.listRunning());
});

defineStep('pages are read {int} times a second through all nodes for {int} second(s)', async (state, perSecond: number, seconds: number) => {
	const {world} = state;
	state.requestsBefore = new Map(Array.from(world.servers, ([name, server]) => [name, server.getRequestCounts().requests]));
	const nodes = world.listRunning();
	const startedAt = Date.now();
	const readPage = async (index: number): Promise<ScenarioState['answers'][number]> => {
		const path = `/logs/${index}`;
		return {path, answer: await world.call(nodes[index % nodes.length]!.name, {path})};
	};

	const calls: Array<ReturnType<typeof readPage>> = [];
	for (let index = 0; index < perSecond * seconds; index++) {
		await sleep(Math.max(0, startedAt + (index * 1000 / perSecond) - Date.now()));
		calls.push(readPage(index));
	}

	state.answers = await Promise.all(calls);
});

defineStep('{word} got at most {int} requests meanwhile', ({world, requestsBefore}, name: string, most: number) => {
	const count = world.getServer(name).getRequestCounts().requests - (requestsBefore.get(name) ?? 0);
	assert.ok(count <= most, `${name} got ${count} requests`);
});

defineStep('{word} names a limit of {string} in its responses', (state, name: string, limit: string) => {
	applyBehaviour(state, [name], {limit});
});

defineStep('{word} says in its responses that it leaves', (state, name: string) => {
	applyBehaviour(state, [name], {saysItLeaves: true});
});

defineStep('the timeline of {word} shows {string}', ({world}, node: string, kind: string) => {
	assert.ok(world.getNode(node).events.some(event => event.kind === kind));
});

defineStep('a caller reads a page through {word}', async (state, node: string) => {
	await readPages(state, 1, [state.world.getNode(node)]);
});

defineStep('a caller reads a page through {word} until it is refused', async (state, node: string) => {
	await waitFor('a call is refused', async () => {
		await readPages(state, 1, [state.world.getNode(node)]);
		return getLastAnswer(state).status === 503;
	});
});

defineStep('a caller reads a page through {word} with the header {string}', async (state, node: string, header: string) => {
	const [name = '', value = ''] = header.split(': ');
	const path = '/logs/1';
	state.answers = [{path, answer: await state.world.call(node, {path, headers: {[name]: value}})}];
});

defineStep('every response is complete and belongs to its request', ({answers}) => {
	for (const {path, answer} of answers) {
		assert.equal(answer.status, 200, `${path}: ${JSON.stringify(answer)}`);
		assert.equal(answer.body, createPage(path));
	}
});

defineStep('no caller gets a wrong page with status 200', ({answers}) => {
	for (const {path, answer} of answers) {
		assert.ok(answer.isTruncated || answer.status !== 200 || answer.body === createPage(path), path);
	}
});

defineStep('at least 1 and at most {int} responses are incomplete', ({answers}, count: number) => {
	const cut = answers.filter(({answer}) => answer.isTruncated).length;
	assert.ok(cut > 0 && cut <= count, `${cut} responses are incomplete`);
});

defineStep('{word} and {word} close the connection in the middle of the next {int} responses', (state, left: string, right: string, count: number) => {
	applyBehaviour(state, [left, right], {cutAnswers: count});
});

defineStep('{word} and {word} run the next {int} request(s), but close the connection without a response', (state, left: string, right: string, count: number) => {
	applyBehaviour(state, [left, right], {cutBeforeAnswer: count});
});

defineStep('{word} runs the next {int} request(s), but closes the connection without a response', (state, name: string, count: number) => {
	applyBehaviour(state, [name], {cutBeforeAnswer: count});
});

defineStep('{word} and {word} respond before they have read the body', (state, left: string, right: string) => {
	applyBehaviour(state, [left, right], {answersEarly: true});
});

defineStep('{word} sheds every request', (state, name: string) => {
	applyBehaviour(state, [name], {isShedding: true});
});

defineStep('{word} takes {int} ms to process a request', (state, name: string, workMs: number) => {
	applyBehaviour(state, [name], {workMs});
});

defineStep('{word} crashes', async ({world}, name: string) => {
	await world.getServer(name).kill();
});

defineStep('a release {string} is published through {word}', async (state, key: string, node: string) => {
	state.answers = [{path: key, answer: await state.world.call(node, createReleaseCall(key))}];
});

defineStep('a release {string} is published {int} times concurrently through each node', async (state, key: string, times: number) => {
	const nodes = Array.from({length: times}, () => state.world.listRunning()).flat();
	state.answers = await Promise.all(nodes.map(async ({name}) => ({path: key, answer: await state.world.call(name, createReleaseCall(key))})));
});

defineStep('releases {string} to {string} are concurrently published through all nodes', async (state, first: string, last: string) => {
	const keys = Array.from({length: last.codePointAt(0)! - first.codePointAt(0)! + 1}, (_, index) => String.fromCodePoint(first.codePointAt(0)! + index));
	const nodes = state.world.listRunning();
	state.answers = await Promise.all(keys.map(async (key, index) => ({path: key, answer: await state.world.call(nodes[index % nodes.length]!.name, createReleaseCall(key))})));
});

function countRuns({world}: ScenarioState, key: string): number {
	let runs = 0;
	for (const server of world.servers.values()) {
		runs += server.getRequestCounts().runs[key] ?? 0;
	}

	return runs;
}

defineStep('release {string} ran {int} time(s)', (state, key: string, times: number) => {
	assert.equal(countRuns(state, key), times);
});

defineStep('every release ran {int} time(s)', (state, times: number) => {
	for (const {path, answer} of state.answers) {
		assert.equal(countRuns(state, path), times, `${path}: ${JSON.stringify(answer)}`);
	}
});

defineStep('the caller gets the verdict {string}', (state, verdict: string) => {
	assert.equal(getLastAnswer(state).verdict, verdict, JSON.stringify(getLastAnswer(state)));
});

defineStep('the caller gets status {int}', (state, status: number) => {
	assert.equal(getLastAnswer(state).status, status, JSON.stringify(getLastAnswer(state)));
});

defineStep('the caller gets status {int} or its connection is closed', (state, status: number) => {
	const answer = getLastAnswer(state);
	assert.ok(answer.isTruncated || answer.status === status, JSON.stringify(answer));
});

defineStep('the caller gets a Retry-After header', state => {
	assert.ok(Number(getLastAnswer(state).retryAfter) >= 1);
});

defineStep('the response took less than {int} ms', (state, milliseconds: number) => {
	assert.ok(getLastAnswer(state).milliseconds < milliseconds);
});

defineStep('{int} callers read pages while {word} is drained', async (state, count: number, name: string) => {
	const server = state.world.getServer(name);
	const reading = readPages(state, count, state.world.listRunning());
	await sleep(100);
	const draining = server.drain();
	// The server may get new requests until its node has processed the drain message. Requests that other nodes had already sent by then arrive within the next 50 ms.
	await waitFor(`${name} drains`, () => state.world.listRunning().some(({events}) => events.some(event => event.kind === 'server-draining' && event.server === name)));
	await sleep(50);
	state.requestsAfterDrain = server.getRequestCounts().requests;
	const {answers: _, ...rest} = state;
	const later: ScenarioState = {...rest, answers: []};
	await readPages(later, count, state.world.listRunning());
	await Promise.all([reading, draining]);
	state.answers = [...state.answers, ...later.answers];
});

defineStep('{word} gets no new request after the drain', ({world, requestsAfterDrain}, name: string) => {
	assert.equal(world.getServer(name).getRequestCounts().requests, requestsAfterDrain);
});

defineStep('{int} callers read pages through {word} while {word} shuts down gracefully', async (state, count: number, node: string, leaving: string) => {
	const reading = readPages(state, count, [state.world.getNode(node)]);
	await sleep(100);
	const leavingNode = state.world.getNode(leaving);
	leavingNode.isRunning = false;
	assert.equal(await leavingNode.node.drain(), true);
	await reading;
});

defineStep('an upload of {int} MB is published through {word}', async (state, megabytes: number, node: string) => {
	const answer = await state.world.call(node, {...createReleaseCall('upload'), body: 'x'.repeat(megabytes * 1024 * 1024)});
	state.answers = [{path: 'upload', answer}];
});

defineStep('{int} callers read pages through all nodes with a timeout of {int} ms', async (state, count: number, timeoutMs: number) => {
	const nodes = state.world.listRunning();
	state.answers = await Promise.all(Array.from({length: count}, async (_, index) => {
		const path = `/logs/late-${index}`;
		const answer = await state.world.call(nodes[index % nodes.length]!.name, {path, headers: {[timeoutHeader]: String(timeoutMs)}});
		return {path, answer};
	}));
});

defineStep('every caller gets the verdict {string} within {int} ms', ({answers}, verdict: string, milliseconds: number) => {
	for (const {answer} of answers) {
		assert.equal(answer.verdict, verdict, JSON.stringify(answer));
		assert.ok(answer.milliseconds < milliseconds, `${answer.milliseconds} ms`);
	}
});

defineStep('a caller publishes release {string} through {word} and disconnects after {int} ms', async ({world}, key: string, node: string, milliseconds: number) => {
	const {path, headers, body} = createReleaseCall(key);
	const {callers} = world.getNode(node).settings.listen;
	await assert.rejects(sendRequest(`http://${callers}${path}`, {
		method: 'POST', headers, body, signal: AbortSignal.timeout(milliseconds),
	}));
});

defineStep('a backend server sees the cancellation', async ({world}) => {
	await waitFor('a backend server sees that the caller has disconnected', () => [...world.servers.values()].some(server => server.getRequestCounts().cancelled > 0), 3000);
});

defineStep('release {string} ran at most once', (state, key: string) => {
	assert.ok(countRuns(state, key) <= 1);
});

defineStep('{word} is drained', async ({world}, name: string) => {
	await world.getServer(name).drain();
});

defineStep('the response on the connection has status {int}', ({rawStatus}, status: number) => {
	assert.equal(rawStatus, status);
});

defineStep('no backend server received a request', ({world}) => {
	for (const server of world.servers.values()) {
		assert.equal(server.getRequestCounts().requests, 0);
	}
});
