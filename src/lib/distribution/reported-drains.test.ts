import assert from 'node:assert/strict';
import test from 'node:test';
import {toAddress, toBackendServerId, toNodeId} from '../common/ids.js';
import {type BackendServer} from '../directory/node-record.js';
import {createReportedDrains} from './reported-drains.js';

const id = toNodeId('n1');

const createServer = (name: string, isLeaving: boolean): BackendServer => ({
	id: toBackendServerId(name), service: 's', address: toAddress('127.0.0.1:2'), slots: 1, connections: 1, startedAt: 0, isDraining: true, ...isLeaving ? {isLeaving} : {},
});

// Guards against a drain that its node has forgotten, and that others forget with its next record.
test('a server that leaves is remembered over restarts of its node, until the node reports it again or it has withdrawn', () => {
	const drains = createReportedDrains();
	drains.record({id, epoch: 1, servers: [createServer('a', true), createServer('b', false)]});
	assert.deepEqual(drains.get(id), ['a']);
	drains.record({id, epoch: 2, servers: []});
	drains.record({id, epoch: 3, servers: [createServer('b', false)]});
	assert.deepEqual(drains.get(id), ['a']);
	drains.record({id, epoch: 1, servers: []});
	assert.deepEqual(drains.get(id), ['a'], 'a late record of an earlier run changes nothing');
	drains.record({id, epoch: 3, servers: [createServer('a', true)]});
	assert.deepEqual(drains.get(id), ['a']);
	drains.record({id, epoch: 3, servers: []});
	assert.deepEqual(drains.get(id), []);
});

test('a report is forgotten after ten minutes', context => {
	context.mock.timers.enable({apis: ['Date']});
	const drains = createReportedDrains();
	drains.record({id, epoch: 1, servers: [createServer('a', true)]});
	context.mock.timers.tick(599_000);
	drains.prune();
	assert.equal(drains.get(id).length, 1);
	context.mock.timers.tick(2000);
	drains.prune();
	assert.equal(drains.get(id).length, 0);
});
