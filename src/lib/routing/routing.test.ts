import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toBackendServerId, toFailureDomain, type BackendServerId} from '../common/ids.js';
import {applyDelta, createConfiguration, prepareDelta} from '../configuration/configuration.js';
import {type ItemChange} from '../configuration/configured-item.js';
import {samplePolicy, samplePool, sampleRoute} from '../configuration/sample-items.js';
import {createRecord} from '../directory/sample-records.js';
import {type DirectoryServer} from '../directory/directory.js';
import {sampleRequests, type RequestAttributes} from '../policy/request-attributes.js';
import {chooseServer, type ChoiceContext} from './choose-server.js';
import {buildRoutingTable, findRoute, updateRoutingTable} from './routing-table.js';
import {createServerLoads} from './server-load.js';

const request = sampleRequests[0]!;

test('the more specific route wins: host, then path, then headers, then method', () => {
	const routes = [
		{...sampleRoute, name: 'any', path: '/'},
		{...sampleRoute, name: 'logs', path: '/logs'},
		{
			...sampleRoute, name: 'host', host: 'a.test', path: '/',
		},
		{
			...sampleRoute, name: 'beta', path: '/logs', headers: {'x-beta': '1'},
		},
		{
			...sampleRoute, name: 'posted', path: '/jobs', methods: ['POST'],
		},
	];
	const changes = [samplePolicy, samplePool, ...routes].map((item): ItemChange => ({type: 'put', item}));
	const table = buildRoutingTable(prepareDelta(createConfiguration(), changes, []).next);
	const find = (changed: Partial<RequestAttributes>): string | undefined => findRoute(table, {...request, ...changed})?.name;
	assert.equal(find({path: '/logs/7'}), 'logs');
	assert.equal(find({path: '/logstash'}), 'any');
	assert.equal(find({host: 'a.test:8080', path: '/logs'}), 'host');
	assert.equal(find({path: '/logs', headers: new Map([['x-beta', '1']])}), 'beta');
	assert.equal(find({path: '/jobs'}), 'any');
	assert.equal(find({path: '/jobs', method: 'POST'}), 'posted');
});

test('a table updated incrementally equals a rebuilt one', () => {
	const routeChange = fc.record({
		name: fc.constantFrom('a', 'b', 'c'), host: fc.constantFrom('*', 'x', 'y'), path: fc.constantFrom('/', '/p', '/p/q'), isRemoved: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(routeChange, {maxLength: 15}), steps => {
		let configuration = prepareDelta(createConfiguration(), [samplePolicy, samplePool].map(item => ({type: 'put', item})), []).next;
		let table = buildRoutingTable(configuration);
		for (const {isRemoved, ...fields} of steps) {
			const change: ItemChange = isRemoved ? {type: 'remove', key: `route/${fields.name}`} : {type: 'put', item: {...sampleRoute, ...fields}};
			const {delta} = prepareDelta(configuration, [change], []);
			table = updateRoutingTable(table, configuration, [change]);
			configuration = applyDelta(configuration, delta)._unsafeUnwrap();
		}

		const rebuilt = buildRoutingTable(configuration);
		for (const host of ['*', 'x', 'y']) {
			assert.deepEqual(table.byHost.get(host) ?? [], rebuilt.byHost.get(host) ?? []);
		}
	}));
});

function createServers(count: number, changes: (index: number) => {readonly domain?: string; readonly isDraining?: boolean} = () => ({})): readonly DirectoryServer[] {
	return Array.from({length: count}, (_, index) => {
		const {domain = 'd', isDraining = false} = changes(index);
		const node = createRecord(`n${index}`, {failureDomain: toFailureDomain(domain)});
		return {
			node, server: {
				id: toBackendServerId(`s${index}`), service: 's', address: node.gateAddress, slots: 4, connections: 10, startedAt: 0, isDraining,
			},
		};
	});
}

function countChoices(context: Partial<ChoiceContext> & Pick<ChoiceContext, 'servers'>, rounds = 400): ReadonlyMap<string, number> {
	const loads = createServerLoads();
	const counts = new Map<string, number>();
	for (let round = 0; round < rounds; round++) {
		const chosen = chooseServer({
			pool: samplePool, domain: toFailureDomain('d'), tried: new Set(), mayReuse: false, getLoad: loads.get, now: Date.now(), random: Math.random, ...context,
		});
		const name = chosen?.server.id ?? 'none';
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return counts;
}

test('draining and tried servers are never chosen', () => {
	const servers = createServers(3, index => ({isDraining: index === 0}));
	const counts = countChoices({servers, tried: new Set<BackendServerId>([toBackendServerId('s1')])});
	assert.deepEqual([...counts.keys()], ['s2']);
	assert.deepEqual([...countChoices({servers: createServers(1, () => ({isDraining: true}))}).keys()], ['none']);
});

test('a server that is many times slower is avoided while the other has free slots, and is used again later', t => {
	t.mock.timers.enable({apis: ['Date'], now: 1_000_000});
	const loads = createServerLoads();
	const servers = createServers(2);
	loads.recordLatency(toBackendServerId('s0'), 1000);
	loads.recordLatency(toBackendServerId('s1'), 100);
	const count = (): number => countChoices({servers, getLoad: loads.get, now: Date.now()}).get('s0') ?? 0;
	// Without the comparison of latencies, s0 would get half of the 400 choices.
	assert.ok(count() < 160);
	for (let request = 0; request < 8; request++) {
		loads.recordStart(toBackendServerId('s1'));
	}

	assert.ok(count() > 200);
	for (let request = 0; request < 8; request++) {
		loads.recordEnd(toBackendServerId('s1'));
	}

	t.mock.timers.tick(20_000);
	assert.ok(count() > 100);
});

test('a tried server is chosen again only if reuse is allowed and there is no other', () => {
	const servers = createServers(2);
	const tried = new Set<BackendServerId>([toBackendServerId('s0')]);
	const all = new Set<BackendServerId>([toBackendServerId('s0'), toBackendServerId('s1')]);
	assert.deepEqual([...countChoices({servers, tried, mayReuse: true}).keys()], ['s1']);
	assert.equal(countChoices({servers, tried: all, mayReuse: true}).size, 2);
	assert.deepEqual([...countChoices({servers, tried: all}).keys()], ['none']);
});

test('servers of the own failure domain are preferred while they have free slots', () => {
	const servers = createServers(4, index => ({domain: index < 2 ? 'd' : 'other'}));
	assert.deepEqual([...countChoices({servers}).keys()].toSorted(), ['s0', 's1']);
	const loads = createServerLoads();
	loads.recordReport(toBackendServerId('s0'), 9);
	loads.recordReport(toBackendServerId('s1'), 9);
	assert.ok([...countChoices({servers, getLoad: loads.get}).keys()].some(name => name === 's2' || name === 's3'));
});

test('an ejected server is not chosen, unless most of the pool is ejected', () => {
	const servers = createServers(4);
	const loads = createServerLoads();
	loads.eject(toBackendServerId('s0'), 1000);
	assert.equal(countChoices({servers, getLoad: loads.get}).has('s0'), false);
	loads.eject(toBackendServerId('s1'), 1000);
	loads.eject(toBackendServerId('s2'), 1000);
	assert.equal(countChoices({servers, getLoad: loads.get}).size, 4);
});

test('a server gets few requests at the beginning of slow start', t => {
	t.mock.timers.enable({apis: ['Date'], now: 1_000_000});
	const loads = createServerLoads();
	const servers = createServers(2);
	loads.get(toBackendServerId('s0'));
	t.mock.timers.tick(60_000);
	const pool = {...samplePool, slowStartMs: 10_000};
	const counts = countChoices({
		servers, getLoad: loads.get, pool, now: Date.now(),
	});
	assert.ok((counts.get('s0') ?? 0) > (counts.get('s1') ?? 0) * 2);
});
