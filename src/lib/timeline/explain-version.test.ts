import assert from 'node:assert/strict';
import test from 'node:test';
import {type LogLine} from './explain-call.js';
import {explainVersion} from './explain-version.js';
import {type MeshEvent} from './mesh-log.js';

const write = (node: string, seconds: number, event: MeshEvent): LogLine => ({...event, node, time: new Date(Date.UTC(2026, 0, 1) + (seconds * 1000)).toISOString()});

const start = (node: string, seconds = 0): LogLine => write(node, seconds, {
	kind: 'node-started', run: 'r', service: 'logview', address: '10.0.0.1:1',
});

const apply = (node: string, seconds: number, version: number, from = 'store'): LogLine => write(node, seconds, {
	kind: 'configuration-applied', version, from, routes: 3,
});

const hear = (node: string, seconds: number, version: number): LogLine => write(node, seconds, {
	kind: 'configuration-heard', version, from: 'n1', held: 1,
});

const failToFetch = (node: string, seconds: number): LogLine => write(node, seconds, {
	kind: 'configuration-not-fetched', version: 7, from: 'n1', held: 1, outcome: 'unreachable', reason: 'no connection within 300 ms', tookMs: 301,
});

test('each node has its delay and the cause, sorted by delay, longest first; nodes that never had the version precede all others', () => {
	const explanation = explainVersion([
		...['n1', 'n2', 'n3', 'n4', 'n5', 'n6'].map(node => start(node)),
		apply('n1', 10, 7),
		hear('n2', 10.1, 7),
		apply('n2', 10.2, 7, 'n1'),
		hear('n3', 10.1, 7),
		failToFetch('n3', 10.4),
		failToFetch('n3', 11),
		apply('n3', 13, 8, 'n2'),
		hear('n4', 11.5, 7),
		apply('n4', 11.6, 7, 'n1'),
		write('n5', 11, {
			kind: 'configuration-read', call: 'read', version: 7, tookMs: 900,
		}),
		apply('n5', 11, 7),
		write('n6', 14, {kind: 'node-ready', version: 1}),
	], 7);
	assert.deepEqual(explanation?.nodes.map(({node, lateMs}) => [node, lateMs]), [['n6', undefined], ['n3', 3000], ['n4', 1600], ['n5', 1000], ['n2', 200], ['n1', 0]]);
	const causes = new Map(explanation.nodes.map(({node, cause}) => [node, cause]));
	assert.equal(causes.get('n6'), 'no other node reported the version to it');
	assert.equal(causes.get('n3'), '2 of its requests to other nodes failed, the last after 301 ms to n1: no connection within 300 ms (from n2)');
	assert.equal(causes.get('n4'), 'it learned of the version after 1500 ms, from n1 (from n1)');
	assert.equal(causes.get('n5'), 'its read of the store took 900 ms (from store)');
	assert.equal(causes.get('n2'), 'in time (from n1)');
});

test('nodes that started after or left before the version was active are not late; a version that no node had has no explanation', () => {
	const explanation = explainVersion([
		start('n1'),
		start('n2'),
		apply('n1', 10, 7),
		start('n3', 11),
		apply('n3', 12, 7),
		write('n2', 10.1, {kind: 'node-draining', reason: 'signal', requests: 0}),
	], 7);
	assert.deepEqual(explanation?.nodes.map(({node}) => node), ['n1']);
	assert.equal(explainVersion([apply('n1', 10, 7)], 8), undefined);
});
