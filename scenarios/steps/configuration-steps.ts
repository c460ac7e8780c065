/**
 * Steps that start nodes and backend servers, submit configurations and check what is in force.
 *
 * @module
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {request as sendRequest} from 'undici';
import {
	parseConfigurationDocument, type ConfigurationResponse, type ItemChange,
} from '../../src/index.js';
import {waitFor, type WorldNode} from '../world.js';
import {defineStep, getLast} from './define-step.js';

function createPoolChange(name: string): ItemChange {
	return {
		type: 'put', item: {
			kind: 'pool', name, service: `service-${name}`, isLocalFirst: true, slowStartMs: 0,
		},
	};
}

async function fetchConfiguration(node: WorldNode): Promise<ConfigurationResponse> {
	const reply = await sendRequest(`http://${node.settings.listen.operators}/v1/configuration`);
	return await reply.body.json() as ConfigurationResponse;
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

defineStep('{int} nodes in {int} failure domain(s)', async ({world}, count: number, domains: number) => {
	await world.startNodes(count, domains);
});

defineStep('a backend server {word} of {word} beside {word}', async ({world}, name: string, service: string, node: string) => {
	await world.startServer(name, service, node);
});

defineStep('the build mesh\'s configuration is in force', async ({world}) => {
	const text = await readFile(new URL('../../../examples/build-mesh.yaml', import.meta.url), 'utf8');
	const items = parseConfigurationDocument(text)._unsafeUnwrap();
	const outcome = await world.submit('node-1', items.map(item => ({type: 'put', item})));
	assert.equal(outcome.type, 'accepted');
	await expectPool(world.listRunning(), 'logview');
});

defineStep('an operator submits pool {string} through {word}', async (state, name: string, node: string) => {
	state.outcomes = [await state.world.submit(node, [createPoolChange(name)])];
});

defineStep('an operator submits pool {string} through {word} with id {string}', async (state, name: string, node: string, id: string) => {
	state.outcomes = [await state.world.submit(node, [createPoolChange(name)], {id})];
});

defineStep('an operator submits a route to a pool that does not exist through {word}', async (state, node: string) => {
	state.outcomes = [await state.world.submit(node, [{
		type: 'put', item: {
			kind: 'route', name: 'broken', host: '*', path: '/', methods: [], headers: {}, pool: 'nowhere', policy: 'nothing',
		},
	}])];
});

defineStep('{int} operators submit pool {string} through different nodes at once, each as a new item', async (state, count: number, name: string) => {
	state.outcomes = await Promise.all(Array.from({length: count}, async (_, index) =>
		state.world.submit(`node-${index + 1}`, [{
			type: 'put', item: {
				kind: 'pool', name, service: `service-${index}`, isLocalFirst: true, slowStartMs: 0,
			},
		}], {bases: {[`pool/${name}`]: 0}})));
});

defineStep('exactly {int} submission(s) is/are accepted and the others are conflicts', ({outcomes}, count: number) => {
	assert.equal(outcomes.filter(({type}) => type === 'accepted').length, count);
	assert.equal(outcomes.filter(({type}) => type === 'conflict').length, outcomes.length - count);
});

defineStep('the submission is {word}', ({outcomes}, type: string) => {
	assert.equal(getLast(outcomes).type, type, JSON.stringify(outcomes));
});

defineStep('the submission is reported as already accepted', ({outcomes}) => {
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

defineStep('an operator republishes through {word}', async ({world}, node: string) => {
	const reply = await sendRequest(`http://${world.getNode(node).settings.listen.operators}/v1/republish`, {method: 'POST'});
	assert.equal(reply.statusCode, 200, await reply.body.text());
});

const overlappingRounds = 12;

function createRouteChange(round: number, pool: string): ItemChange {
	return {
		type: 'put', item: {
			kind: 'route', name: `r${round % 3}`, host: '*', path: `/${round}`, methods: [], headers: {}, pool, policy: 'p',
		},
	};
}

function listDanglingRoutes({items, version}: ConfigurationResponse): readonly string[] {
	const keys = new Set(items.map(({item}) => `${item.kind}/${item.name}`));
	return items.flatMap(({item}) => item.kind === 'route' && !keys.has(`pool/${item.pool}`) ? [`version ${version}: ${item.name} to ${item.pool}`] : []);
}

defineStep('routes and their pools are added and removed by concurrent submissions through all nodes', async state => {
	const {world} = state;
	const nodes = world.listRunning();
	await world.submit('node-1', [{
		type: 'put', item: {
			kind: 'policy', name: 'p', variables: [], decision: '{"action": "forward"}',
		},
	}]);
	let isRunning = true;
	const watch = async (node: WorldNode): Promise<void> => {
		while (isRunning) {
			state.danglingRoutes = [...state.danglingRoutes, ...listDanglingRoutes(await fetchConfiguration(node))];
			await sleep(2);
		}
	};

	const watching = nodes.map(async node => watch(node));
	for (let round = 0; round < overlappingRounds; round++) {
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

defineStep('no node ever had a route in force without its pool', ({danglingRoutes}) => {
	assert.deepEqual(danglingRoutes, []);
});
