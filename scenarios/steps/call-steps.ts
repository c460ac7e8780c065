/**
 * Sentences on calls: callers, backend servers and what becomes of requests.
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

defineStep('{int} callers read different pages through all nodes at once', async (state, count: number) => {
	await readPages(state, count, state.world.listRunning());
});

defineStep('a caller reads a page through {word}', async (state, node: string) => {
	await readPages(state, 1, [state.world.getNode(node)]);
});

defineStep('a caller reads a page through {word} with the header {string}', async (state, node: string, header: string) => {
	const [name = '', value = ''] = header.split(': ');
	const path = '/logs/1';
	state.answers = [{path, answer: await state.world.call(node, {path, headers: {[name]: value}})}];
});

defineStep('every answer is whole and belongs to its request', ({answers}) => {
	for (const {path, answer} of answers) {
		assert.equal(answer.status, 200, `${path}: ${JSON.stringify(answer)}`);
		assert.equal(answer.body, createPage(path));
	}
});

defineStep('no answer is wrong', ({answers}) => {
	for (const {path, answer} of answers) {
		assert.ok(answer.isCut || answer.status !== 200 || answer.body === createPage(path), path);
	}
});

defineStep('no more than {int} answers are cut', ({answers}, count: number) => {
	const cut = answers.filter(({answer}) => answer.isCut).length;
	assert.ok(cut > 0 && cut <= count, `${cut} were cut`);
});

defineStep('{word} and {word} cut their next {int} answers in the middle', (state, left: string, right: string, count: number) => {
	applyBehaviour(state, [left, right], {cutAnswers: count});
});

defineStep('{word} and {word} run the next {int} requests and cut the connection without an answer', (state, left: string, right: string, count: number) => {
	applyBehaviour(state, [left, right], {cutBeforeAnswer: count});
});

defineStep('{word} runs the next {int} requests and cuts the connection without an answer', (state, name: string, count: number) => {
	applyBehaviour(state, [name], {cutBeforeAnswer: count});
});

defineStep('{word} and {word} answer before they have read the body', (state, left: string, right: string) => {
	applyBehaviour(state, [left, right], {answersEarly: true});
});

defineStep('{word} sheds everything', (state, name: string) => {
	applyBehaviour(state, [name], {isShedding: true});
});

defineStep('{word} takes {int} ms for a request', (state, name: string, workMs: number) => {
	applyBehaviour(state, [name], {workMs});
});

defineStep('{word} dies', async ({world}, name: string) => {
	await world.getServer(name).kill();
});

defineStep('a release {string} is published through {word}', async (state, key: string, node: string) => {
	state.answers = [{path: key, answer: await state.world.call(node, createReleaseCall(key))}];
});

defineStep('a release {string} is published through all nodes at once, {int} times each', async (state, key: string, times: number) => {
	const nodes = Array.from({length: times}, () => state.world.listRunning()).flat();
	state.answers = await Promise.all(nodes.map(async ({name}) => ({path: key, answer: await state.world.call(name, createReleaseCall(key))})));
});

defineStep('releases {string} to {string} are published through all nodes', async (state, first: string, last: string) => {
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

defineStep('release {string} ran {int} times', (state, key: string, times: number) => {
	assert.equal(countRuns(state, key), times);
});

defineStep('every release ran {int} times', (state, times: number) => {
	for (const {path, answer} of state.answers) {
		assert.equal(countRuns(state, path), times, `${path}: ${JSON.stringify(answer)}`);
	}
});

defineStep('the caller is told {string}', (state, verdict: string) => {
	assert.equal(getLastAnswer(state).verdict, verdict, JSON.stringify(getLastAnswer(state)));
});

defineStep('the caller gets status {int}', (state, status: number) => {
	assert.equal(getLastAnswer(state).status, status, JSON.stringify(getLastAnswer(state)));
});

defineStep('the caller gets status {int} or a cut connection', (state, status: number) => {
	const answer = getLastAnswer(state);
	assert.ok(answer.isCut || answer.status === status, JSON.stringify(answer));
});

defineStep('the caller hears when to come back', state => {
	assert.ok(Number(getLastAnswer(state).retryAfter) >= 1);
});

defineStep('the answer took less than {int} ms', (state, milliseconds: number) => {
	assert.ok(getLastAnswer(state).milliseconds < milliseconds);
});

defineStep('{int} callers read pages while {word} is drained', async (state, count: number, name: string) => {
	const server = state.world.getServer(name);
	const reading = readPages(state, count, state.world.listRunning());
	await sleep(100);
	const draining = server.drain();
	// Until its node has taken the word in, new work is right; what was on its way then arrives within a moment.
	await waitFor(`${name} drains`, () => state.world.listRunning().some(({events}) => events.some(event => event.kind === 'server-draining' && event.server === name)));
	await sleep(50);
	state.requestsAfterDrain = server.getRequestCounts().requests;
	const {answers: _, ...rest} = state;
	const later: ScenarioState = {...rest, answers: []};
	await readPages(later, count, state.world.listRunning());
	await Promise.all([reading, draining]);
	state.answers = [...state.answers, ...later.answers];
});

defineStep('after the drain {word} gets no new request', ({world, requestsAfterDrain}, name: string) => {
	assert.equal(world.getServer(name).getRequestCounts().requests, requestsAfterDrain);
});

defineStep('{int} callers read pages through {word} while {word} shuts down', async (state, count: number, node: string, leaving: string) => {
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

defineStep('{int} callers read pages through all nodes and wait {int} ms', async (state, count: number, timeoutMs: number) => {
	const nodes = state.world.listRunning();
	state.answers = await Promise.all(Array.from({length: count}, async (_, index) => {
		const path = `/logs/late-${index}`;
		const answer = await state.world.call(nodes[index % nodes.length]!.name, {path, headers: {[timeoutHeader]: String(timeoutMs)}});
		return {path, answer};
	}));
});

defineStep('every caller is told {string} within {int} ms', ({answers}, verdict: string, milliseconds: number) => {
	for (const {answer} of answers) {
		assert.equal(answer.verdict, verdict, JSON.stringify(answer));
		assert.ok(answer.milliseconds < milliseconds, `${answer.milliseconds} ms`);
	}
});

defineStep('a caller publishes release {string} through {word} and goes away after {int} ms', async ({world}, key: string, node: string, milliseconds: number) => {
	const {path, headers, body} = createReleaseCall(key);
	const {callers} = world.getNode(node).settings.listen;
	await assert.rejects(sendRequest(`http://${callers}${path}`, {
		method: 'POST', headers, body, signal: AbortSignal.timeout(milliseconds),
	}));
});

defineStep('a backend server saw the cancellation', async ({world}) => {
	await waitFor('a server sees that its caller has gone', () => [...world.servers.values()].some(server => server.getRequestCounts().cancelled > 0), 3000);
});

defineStep('release {string} ran at most once', (state, key: string) => {
	assert.ok(countRuns(state, key) <= 1);
});

defineStep('{word} is drained', async ({world}, name: string) => {
	await world.getServer(name).drain();
});

defineStep('the connection gets status {int}', ({rawStatus}, status: number) => {
	assert.equal(rawStatus, status);
});

defineStep('no backend server got a request', ({world}) => {
	for (const server of world.servers.values()) {
		assert.equal(server.getRequestCounts().requests, 0);
	}
});
