/**
 * What the sentences of the scenarios do.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {readFile} from 'node:fs/promises';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {request as sendRequest} from 'undici';
import {
	parseConfigurationDocument, timeoutHeader, toFailureDomain,
	type ConfigurationAnswer, type ItemChange, type SubmissionOutcome,
} from '../src/index.js';
import {type BackendBehaviour} from '../stand-ins/backend-server/backend-server.js';
import {createPage} from '../stand-ins/backend-server/page.js';
import {type StoreImage} from '../stand-ins/store/memory-store.js';
import {
	storeHost, waitFor, type Answer, type World, type WorldNode,
} from './world.js';

/** What the steps of one scenario hand to one another. */
export type Scene = {
	readonly world: World;
	outcomes: readonly SubmissionOutcome[];
	answers: ReadonlyArray<{readonly path: string; readonly answer: Answer}>;
	backup: StoreImage;
	requestsAfterDrain: number;
	dangling: readonly string[];
	/** What a connection that spoke HTTP by hand was answered, 0 for nothing. */
	rawStatus: number;
};

type Parameter = string | number;

/** One sentence, in the notation of Cucumber expressions, and what it does. */
export type StepDefinition = {
	readonly expression: string;
	readonly run: (scene: Scene, ...parameters: readonly never[]) => Promise<void> | void;
};

const definitions: StepDefinition[] = [];

function defineStep<P extends readonly Parameter[]>(expression: string, run: (scene: Scene, ...parameters: P) => Promise<void> | void): void {
	definitions.push({expression, run: run as unknown as StepDefinition['run']});
}

/** @returns Every sentence that scenarios may use. */
export function listSteps(): readonly StepDefinition[] {
	return definitions;
}

function createPoolChange(name: string): ItemChange {
	return {
		type: 'put', item: {
			kind: 'pool', name, service: `service-${name}`, isLocalFirst: true, slowStartMs: 0,
		},
	};
}

async function fetchConfiguration(node: WorldNode): Promise<ConfigurationAnswer> {
	const reply = await sendRequest(`http://${node.settings.listen.operators}/v1/configuration`);
	return await reply.body.json() as ConfigurationAnswer;
}

async function hasPool(node: WorldNode, name: string): Promise<boolean> {
	const {items} = await fetchConfiguration(node);
	return items.some(({item}) => item.kind === 'pool' && item.name === name);
}

async function expectPool(nodes: readonly WorldNode[], name: string): Promise<void> {
	await waitFor(`every node has pool ${name}`, async () => {
		const found = await Promise.all(nodes.map(async node => hasPool(node, name)));
		return found.every(Boolean);
	});
}

function getLast<T>(list: readonly T[]): T {
	const last = list.at(-1);
	assert.ok(last !== undefined, 'nothing happened yet');
	return last;
}

const getAnswer = (scene: Scene): Answer => getLast(scene.answers).answer;

defineStep('{int} nodes in {int} failure domains', async ({world}, count: number, domains: number) => {
	await world.startNodes(count, domains);
});

defineStep('a backend server {word} of {word} beside {word}', async ({world}, name: string, service: string, node: string) => {
	await world.startServer(name, service, node);
});

defineStep('the build mesh\'s configuration is in force', async ({world}) => {
	const text = await readFile(new URL('../../examples/build-mesh.yaml', import.meta.url), 'utf8');
	const items = parseConfigurationDocument(text)._unsafeUnwrap();
	const outcome = await world.submit('node-1', items.map(item => ({type: 'put', item})));
	assert.equal(outcome.type, 'accepted');
	await expectPool(world.listRunning(), 'logview');
});

defineStep('an operator submits pool {string} through {word}', async (scene, name: string, node: string) => {
	scene.outcomes = [await scene.world.submit(node, [createPoolChange(name)])];
});

defineStep('an operator submits pool {string} through {word} with id {string}', async (scene, name: string, node: string, id: string) => {
	scene.outcomes = [await scene.world.submit(node, [createPoolChange(name)], {id})];
});

defineStep('an operator submits a route to a pool that does not exist through {word}', async (scene, node: string) => {
	scene.outcomes = [await scene.world.submit(node, [{
		type: 'put', item: {
			kind: 'route', name: 'broken', host: '*', path: '/', methods: [], headers: {}, pool: 'nowhere', policy: 'nothing',
		},
	}])];
});

defineStep('{int} operators submit pool {string} through different nodes at once, each as a new item', async (scene, count: number, name: string) => {
	scene.outcomes = await Promise.all(Array.from({length: count}, async (_, index) =>
		scene.world.submit(`node-${index + 1}`, [{
			type: 'put', item: {
				kind: 'pool', name, service: `service-${index}`, isLocalFirst: true, slowStartMs: 0,
			},
		}], {bases: {[`pool/${name}`]: 0}})));
});

defineStep('exactly {int} of them is accepted and the others hear of a conflict', ({outcomes}, count: number) => {
	assert.equal(outcomes.filter(({type}) => type === 'accepted').length, count);
	assert.equal(outcomes.filter(({type}) => type === 'conflict').length, outcomes.length - count);
});

defineStep('the submission is {word}', ({outcomes}, type: string) => {
	assert.equal(getLast(outcomes).type, type, JSON.stringify(outcomes));
});

defineStep('the submission was accepted before', ({outcomes}) => {
	const outcome = getLast(outcomes);
	assert.ok(outcome.type === 'accepted' && outcome.isRepeated);
});

defineStep('the version in force is {int}', async ({world}, version: number) => {
	await waitFor(`version ${version} is in force`, () => world.listRunning().every(({node}) => node.getStatus().version === version));
});

defineStep('pool {string} is in force', async ({world}, name: string) => {
	const outcome = await world.submit('node-1', [createPoolChange(name)]);
	assert.equal(outcome.type, 'accepted');
	await expectPool(world.listRunning(), name);
});

defineStep('every (running )node has pool {string} in force', async ({world}, name: string) => {
	await expectPool(world.listRunning(), name);
});

defineStep('every node but {word} has pool {string} in force', async ({world}, other: string, name: string) => {
	await expectPool(world.listRunning().filter(node => node.name !== other), name);
});

defineStep('{word} does not have pool {string} in force', async ({world}, node: string, name: string) => {
	assert.equal(await hasPool(world.getNode(node), name), false);
});

defineStep('the network cuts off {word}', ({world}, name: string) => {
	const others = world.listRunning().filter(node => node.name !== name).map(({host}) => host);
	world.network.cut([world.getNode(name).host], [...others, storeHost]);
});

defineStep('the network cuts off {word}, but not from the store', ({world}, name: string) => {
	const others = world.listRunning().filter(node => node.name !== name).map(({host}) => host);
	world.network.cut([world.getNode(name).host], others);
});

defineStep('within a while {int} nodes take themselves for relays', async ({world}, count: number) => {
	await waitFor(`${count} nodes are relays`, () => world.listRunning().filter(({node}) => node.getStatus().isRelay).length === count);
});

defineStep('the network cuts {word} off from {word}', ({world}, left: string, right: string) => {
	const listHosts = (domain: string): readonly string[] => world.listRunning()
		.filter(({settings}) => settings.failureDomain === toFailureDomain(domain))
		.map(({host}) => host);
	world.network.cut(listHosts(left), listHosts(right));
});

defineStep('the network heals', ({world}) => {
	world.network.heal();
});

defineStep('the relay of {word} is killed', async ({world}, domain: string) => {
	const relay = world.listRunning().find(({node}) => node.getStatus().isRelay && node.getStatus().failureDomain === domain);
	assert.ok(relay);
	await world.killNode(relay.name);
});

defineStep('{word} is killed', async ({world}, node: string) => {
	await world.killNode(node);
});

defineStep('{word} is started again', async ({world}, node: string) => {
	await world.restartNode(node);
});

defineStep('half of the nodes are killed and started again', async ({world}) => {
	const half = world.listRunning().filter((_, index) => index % 2 === 0);
	await Promise.all(half.map(async ({name}) => world.killNode(name)));
	await Promise.all(half.map(async ({name}) => world.restartNode(name)));
});

defineStep('all nodes of {word} are killed and started again', async ({world}, domain: string) => {
	const nodes = world.listRunning().filter(({settings}) => settings.failureDomain === toFailureDomain(domain));
	await Promise.all(nodes.map(async ({name}) => world.killNode(name)));
	await Promise.all(nodes.map(async ({name}) => world.restartNode(name)));
});

defineStep('{word} becomes ready', async ({world}, name: string) => {
	await waitFor(`${name} is ready`, () => world.getNode(name).node.getStatus().isReady);
});

defineStep('every node becomes ready', async ({world}) => {
	await waitFor('every node is ready', () => world.listRunning().every(({node}) => node.getStatus().isReady));
});

defineStep('the store is down', ({world}) => {
	world.store.setFaults({isDown: true});
});

defineStep('the store is back', ({world}) => {
	world.store.setFaults({isDown: false});
});

defineStep('the store loses the answer to the next write', ({world}) => {
	world.store.setFaults({writesToLose: 1});
});

defineStep('the store drops the next write', ({world}) => {
	world.store.setFaults({writesToDrop: 1});
});

defineStep('the store keeps a backup', scene => {
	scene.backup = scene.world.store.getImage();
});

defineStep('the store comes back from the backup', ({world, backup}) => {
	world.store.restoreImage(backup);
});

defineStep('an operator republishes through {word}', async ({world}, node: string) => {
	const reply = await sendRequest(`http://${world.getNode(node).settings.listen.operators}/v1/republish`, {method: 'POST'});
	assert.equal(reply.statusCode, 200, await reply.body.text());
});

const crossingRounds = 12;

function createRouteChange(round: number, pool: string): ItemChange {
	return {
		type: 'put', item: {
			kind: 'route', name: `r${round % 3}`, host: '*', path: `/${round}`, methods: [], headers: {}, pool, policy: 'p',
		},
	};
}

function listDangling({items, version}: ConfigurationAnswer): readonly string[] {
	const keys = new Set(items.map(({item}) => `${item.kind}/${item.name}`));
	return items.flatMap(({item}) => item.kind === 'route' && !keys.has(`pool/${item.pool}`) ? [`version ${version}: ${item.name} to ${item.pool}`] : []);
}

defineStep('routes and their pools come and go in crossing submissions through all nodes', async scene => {
	const {world} = scene;
	const nodes = world.listRunning();
	await world.submit('node-1', [{
		type: 'put', item: {
			kind: 'policy', name: 'p', variables: [], decision: '{"action": "forward"}',
		},
	}]);
	let isRunning = true;
	const watch = async (node: WorldNode): Promise<void> => {
		while (isRunning) {
			scene.dangling = [...scene.dangling, ...listDangling(await fetchConfiguration(node))];
			await sleep(2);
		}
	};

	const watching = nodes.map(async node => watch(node));
	for (let round = 0; round < crossingRounds; round++) {
		const pool = `pool-${round % 4}`;
		await Promise.all([
			world.submit(`node-${(round % nodes.length) + 1}`, [createPoolChange(pool), createRouteChange(round, pool)]),
			world.submit(`node-${((round + 1) % nodes.length) + 1}`, [{type: 'remove', key: `pool/pool-${(round + 2) % 4}`}]),
			world.submit(`node-${((round + 2) % nodes.length) + 1}`, [{type: 'remove', key: `route/r${(round + 1) % 3}`}]),
		]);
	}

	isRunning = false;
	await Promise.all(watching);
});

defineStep('at no moment did a route on a node point at a pool that the node lacked', ({dangling}) => {
	assert.deepEqual(dangling, []);
});

// Calls.

function createReleaseCall(key: string): Parameters<World['call']>[1] {
	return {
		method: 'POST', path: `/releases/${key}`, headers: {'idempotency-key': key}, body: `release ${key}`,
	};
}

function behave(scene: Scene, names: readonly string[], behaviour: Partial<BackendBehaviour>): void {
	for (const name of names) {
		scene.world.getServer(name).setBehaviour(behaviour);
	}
}

async function readPages(scene: Scene, count: number, nodes: readonly WorldNode[]): Promise<void> {
	scene.answers = await Promise.all(Array.from({length: count}, async (_, index) => {
		const path = `/logs/${index}?caller=${index}`;
		return {path, answer: await scene.world.call(nodes[index % nodes.length]!.name, {path})};
	}));
}

defineStep('{int} callers read different pages through all nodes at once', async (scene, count: number) => {
	await readPages(scene, count, scene.world.listRunning());
});

defineStep('a caller reads a page through {word}', async (scene, node: string) => {
	await readPages(scene, 1, [scene.world.getNode(node)]);
});

defineStep('a caller reads a page through {word} with the header {string}', async (scene, node: string, header: string) => {
	const [name = '', value = ''] = header.split(': ');
	const path = '/logs/1';
	scene.answers = [{path, answer: await scene.world.call(node, {path, headers: {[name]: value}})}];
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

defineStep('{word} and {word} cut their next {int} answers in the middle', (scene, left: string, right: string, count: number) => {
	behave(scene, [left, right], {cutAnswers: count});
});

defineStep('{word} and {word} run the next {int} requests and cut the connection without an answer', (scene, left: string, right: string, count: number) => {
	behave(scene, [left, right], {cutBeforeAnswer: count});
});

defineStep('{word} runs the next {int} requests and cuts the connection without an answer', (scene, name: string, count: number) => {
	behave(scene, [name], {cutBeforeAnswer: count});
});

defineStep('{word} and {word} answer before they have read the body', (scene, left: string, right: string) => {
	behave(scene, [left, right], {answersEarly: true});
});

defineStep('{word} sheds everything', (scene, name: string) => {
	behave(scene, [name], {isShedding: true});
});

defineStep('{word} takes {int} ms for a request', (scene, name: string, workMs: number) => {
	behave(scene, [name], {workMs});
});

defineStep('{word} dies', async ({world}, name: string) => {
	await world.getServer(name).kill();
});

defineStep('a release {string} is published through {word}', async (scene, key: string, node: string) => {
	scene.answers = [{path: key, answer: await scene.world.call(node, createReleaseCall(key))}];
});

defineStep('a release {string} is published through all nodes at once, {int} times each', async (scene, key: string, times: number) => {
	const nodes = Array.from({length: times}, () => scene.world.listRunning()).flat();
	scene.answers = await Promise.all(nodes.map(async ({name}) => ({path: key, answer: await scene.world.call(name, createReleaseCall(key))})));
});

defineStep('releases {string} to {string} are published through all nodes', async (scene, first: string, last: string) => {
	const keys = Array.from({length: last.codePointAt(0)! - first.codePointAt(0)! + 1}, (_, index) => String.fromCodePoint(first.codePointAt(0)! + index));
	const nodes = scene.world.listRunning();
	scene.answers = await Promise.all(keys.map(async (key, index) => ({path: key, answer: await scene.world.call(nodes[index % nodes.length]!.name, createReleaseCall(key))})));
});

function countRuns({world}: Scene, key: string): number {
	let runs = 0;
	for (const server of world.servers.values()) {
		runs += server.getLedger().runs[key] ?? 0;
	}

	return runs;
}

defineStep('release {string} ran {int} times', (scene, key: string, times: number) => {
	assert.equal(countRuns(scene, key), times);
});

defineStep('every release ran {int} times', (scene, times: number) => {
	for (const {path, answer} of scene.answers) {
		assert.equal(countRuns(scene, path), times, `${path}: ${JSON.stringify(answer)}`);
	}
});

defineStep('the caller is told {string}', (scene, verdict: string) => {
	assert.equal(getAnswer(scene).verdict, verdict, JSON.stringify(getAnswer(scene)));
});

defineStep('the caller gets status {int}', (scene, status: number) => {
	assert.equal(getAnswer(scene).status, status, JSON.stringify(getAnswer(scene)));
});

defineStep('the caller gets status {int} or a cut connection', (scene, status: number) => {
	const answer = getAnswer(scene);
	assert.ok(answer.isCut || answer.status === status, JSON.stringify(answer));
});

defineStep('the caller hears when to come back', scene => {
	assert.ok(Number(getAnswer(scene).retryAfter) >= 1);
});

defineStep('the answer took less than {int} ms', (scene, milliseconds: number) => {
	assert.ok(getAnswer(scene).milliseconds < milliseconds);
});

defineStep('{int} callers read pages while {word} is drained', async (scene, count: number, name: string) => {
	const server = scene.world.getServer(name);
	const reading = readPages(scene, count, scene.world.listRunning());
	await sleep(100);
	const draining = server.drain();
	await sleep(50);
	scene.requestsAfterDrain = server.getLedger().requests;
	const {answers: _, ...rest} = scene;
	const later: Scene = {...rest, answers: []};
	await readPages(later, count, scene.world.listRunning());
	await Promise.all([reading, draining]);
	scene.answers = [...scene.answers, ...later.answers];
});

defineStep('after the drain {word} gets no new request', ({world, requestsAfterDrain}, name: string) => {
	assert.equal(world.getServer(name).getLedger().requests, requestsAfterDrain);
});

defineStep('{int} callers read pages through {word} while {word} shuts down', async (scene, count: number, node: string, leaving: string) => {
	const reading = readPages(scene, count, [scene.world.getNode(node)]);
	await sleep(100);
	const leavingNode = scene.world.getNode(leaving);
	leavingNode.isRunning = false;
	assert.equal(await leavingNode.node.drain(), true);
	await reading;
});

defineStep('an upload of {int} MB is published through {word}', async (scene, megabytes: number, node: string) => {
	const answer = await scene.world.call(node, {...createReleaseCall('upload'), body: 'x'.repeat(megabytes * 1024 * 1024)});
	scene.answers = [{path: 'upload', answer}];
});

defineStep('{int} callers read pages through all nodes and wait {int} ms', async (scene, count: number, timeoutMs: number) => {
	const nodes = scene.world.listRunning();
	scene.answers = await Promise.all(Array.from({length: count}, async (_, index) => {
		const path = `/logs/late-${index}`;
		const answer = await scene.world.call(nodes[index % nodes.length]!.name, {path, headers: {[timeoutHeader]: String(timeoutMs)}});
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
	await waitFor('a server sees that its caller has gone', () => [...world.servers.values()].some(server => server.getLedger().cancelled > 0), 3000);
});

defineStep('release {string} ran at most once', (scene, key: string) => {
	assert.ok(countRuns(scene, key) <= 1);
});

async function sendRaw(scene: Scene, node: string, text: string): Promise<void> {
	const {host} = scene.world.getNode(node);
	const socket = connect({host, port: 7001});
	let reply = '';
	socket.on('data', (chunk: Uint8Array) => {
		reply += Buffer.from(chunk).toString();
	});
	socket.on('error', () => undefined);
	socket.write(text);
	await new Promise(resolve => {
		socket.once('close', resolve);
		setTimeout(resolve, 1000);
	});
	socket.destroy();
	scene.rawStatus = Number(/^HTTP\/1\.1 (\d+)/.exec(reply)?.[1] ?? 0);
}

defineStep('a caller sends a request with two lengths to {word}', async (scene, node: string) => {
	await sendRaw(scene, node, 'POST /releases/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde');
});

defineStep('a caller sends a request with a length and chunks to {word}', async (scene, node: string) => {
	await sendRaw(scene, node, 'POST /releases/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n');
});

defineStep('a caller sends {int} KB of headers to {word}', async (scene, kilobytes: number, node: string) => {
	await sendRaw(scene, node, `GET /logs/x HTTP/1.1\r\nHost: a\r\nX-Long: ${'x'.repeat(kilobytes * 1024)}\r\n\r\n`);
});

defineStep('a caller asks {word} whether to send an upload of {int} MB', async (scene, node: string, megabytes: number) => {
	const length = megabytes * 1024 * 1024;
	await sendRaw(scene, node, `POST /releases/u HTTP/1.1\r\nHost: a\r\nIdempotency-Key: ${node}-${scene.rawStatus}\r\nContent-Length: ${length}\r\nExpect: 100-continue\r\n\r\n`);
});

defineStep('{word} is drained', async ({world}, name: string) => {
	await world.getServer(name).drain();
});

defineStep('the connection gets status {int}', ({rawStatus}, status: number) => {
	assert.equal(rawStatus, status);
});

defineStep('no backend server got a request', ({world}) => {
	for (const server of world.servers.values()) {
		assert.equal(server.getLedger().requests, 0);
	}
});
