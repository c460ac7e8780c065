import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {createConfigHolder} from './config-holder.js';
import {createRouteIndex, findRoute} from './route-index.js';
import {createSampleConfig, createSampleRoute} from './sample-config.js';
import {createWeightedRoundRobin} from './weighted-round-robin.js';

const createIndex = (prefixes: readonly string[]) => createRouteIndex(createSampleConfig(1, prefixes.map(prefix => createSampleRoute({name: prefix, prefix}))));

test('the route with the longest prefix matches, and a prefix matches whole path segments only', () => {
	const index = createIndex(['/', '/logs/', '/logs/old/']);
	assert.equal(findRoute(index, 'build.example', '/logs/old/7?page=2')?.name, '/logs/old/');
	assert.equal(findRoute(index, 'build.example', '/logs/7')?.name, '/logs/');
	assert.equal(findRoute(index, 'build.example', '/logsx/7')?.name, '/');
	assert.equal(findRoute(index, 'build.example', '/logs')?.name, '/');
});

test('the port and the case of the host are ignored, and another host matches no route', () => {
	const index = createIndex(['/logs/']);
	assert.equal(findRoute(index, 'Build.Example:80', '/logs/7')?.name, '/logs/');
	assert.equal(findRoute(index, 'other.example', '/logs/7'), undefined);
	assert.equal(findRoute(index, 'build.example', '/else/7'), undefined);
});

test('slashes in the query string are not part of the path', () => {
	const index = createIndex(['/logs/']);
	assert.equal(findRoute(index, 'build.example', '/x?/logs/7'), undefined);
});

test('property: findRoute finds the same route as a comparison with every prefix', () => {
	const prefix = fc.array(fc.constantFrom('a', 'b', 'ab'), {maxLength: 3}).map(parts => parts.length === 0 ? '/' : `/${parts.join('/')}/`);
	fc.assert(fc.property(fc.uniqueArray(prefix, {maxLength: 6}), fc.array(fc.constantFrom('a', 'b', 'ab', ''), {maxLength: 4}), (prefixes, parts) => {
		const path = `/${parts.join('/')}`;
		const expected = prefixes.filter(candidate => path.startsWith(candidate)).toSorted((left, right) => right.length - left.length)[0];
		assert.equal(findRoute(createIndex(prefixes), 'build.example', path)?.name, expected);
	}));
});

test('a lower or equal version is rejected', () => {
	const appliedVersions: number[] = [];
	const holder = createConfigHolder(active => {
		appliedVersions.push(active.config.version);
	});
	assert.equal(holder.applyIfNewer({config: createSampleConfig(5), text: 'five', source: 'store'}), true);
	assert.equal(holder.applyIfNewer({config: createSampleConfig(4), text: 'four', source: 'store'}), false);
	assert.equal(holder.applyIfNewer({config: createSampleConfig(5), text: 'five again', source: 'n2'}), false);
	assert.equal(holder.get()?.text, 'five');
	assert.equal(holder.applyIfNewer({config: createSampleConfig(12), text: 'twelve', source: 'n2'}), true);
	assert.deepEqual(appliedVersions, [5, 12]);
});

test('property: each service of a route gets its share of the requests, within one request per service of the route', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 100}), {minLength: 2, maxLength: 4}), fc.integer({min: 1, max: 300}), (weights, requests) => {
		const total = weights.reduce((sum, weight) => sum + weight, 0);
		fc.pre(total > 0);
		const route = createSampleRoute({services: weights.map((weight, index) => ({service: `s${index}`, weight}))});
		const roundRobin = createWeightedRoundRobin(() => 0);
		const counts = new Map<string, number>();
		for (let sent = 0; sent < requests; sent++) {
			const service = roundRobin.pick(route) ?? '';
			counts.set(service, (counts.get(service) ?? 0) + 1);
		}

		for (const [index, weight] of weights.entries()) {
			const share = requests * weight / total;
			assert.ok(Math.abs((counts.get(`s${index}`) ?? 0) - share) <= weights.length, `${weights.join(',')}: s${index}`);
		}
	}));
});

test('a service with weight 0 gets no requests, and a change of the weights resets the state of the route', () => {
	const roundRobin = createWeightedRoundRobin(() => 0.5);
	const route = createSampleRoute({services: [{service: 'old', weight: 0}, {service: 'new', weight: 3}]});
	assert.deepEqual(Array.from({length: 5}, () => roundRobin.pick(route)), ['new', 'new', 'new', 'new', 'new']);
	const changed = createSampleRoute({services: [{service: 'old', weight: 3}, {service: 'new', weight: 0}]});
	assert.equal(roundRobin.pick(changed), 'old');
	assert.equal(roundRobin.pick(createSampleRoute({services: [{service: 'old', weight: 0}, {service: 'new', weight: 0}]})), undefined);
});
