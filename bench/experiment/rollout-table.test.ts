import assert from 'node:assert/strict';
import test from 'node:test';
import {modelVersions, runRollouts} from './rollout-table.js';

/** Requests that a bad version may get in addition to its share, as the users' smallest deployment with rollouts allows. */
const exposureSlack = 50;

test('a bad version of any kind gets at most its share of the requests before the verdict, in services of 9 and 32 servers', () => {
	for (const servers of [9, 32]) {
		for (const version of modelVersions.filter(name => name !== 'good')) {
			for (const {exposed, requests} of runRollouts(version, 'none', servers, 5)) {
				assert.ok(exposed <= (requests * 0.1) + exposureSlack, `${version} at ${servers} servers: ${exposed} of ${requests}`);
			}
		}
	}
});

test('a bad version that harms requests from its start, some requests or one route is rolled back, also beside faulty and slow servers', () => {
	for (const trouble of ['none', 'slow-servers', 'faulty-servers', 'lost-answers'] as const) {
		for (const version of ['errors', 'one-route'] as const) {
			assert.deepEqual(runRollouts(version, trouble, 32, 5).map(({stage}) => stage), Array.from({length: 5}, () => 'rolled-back'));
		}
	}
});

test('a good version of a service with 32 servers is promoted', () => {
	assert.deepEqual(runRollouts('good', 'none', 32, 10).map(({stage}) => stage), Array.from({length: 10}, () => 'promoting'));
});
