import assert from 'node:assert/strict';
import test from 'node:test';
import {toNodeId} from '../common/ids.js';
import {pickFastNodes} from './quota-group.js';

const [small, large, other] = ['small', 'large', 'other'].map(name => toNodeId(name)) as [ReturnType<typeof toNodeId>, ReturnType<typeof toNodeId>, ReturnType<typeof toNodeId>];

test('coordinators run on the VMs with fast links, so that small VMs keep their processor time for requests', () => {
	assert.deepEqual(pickFastNodes([{node: small, linkMbps: 7}, {node: large, linkMbps: 140}, {node: other, linkMbps: 100}]), [large, other]);
});

test('where all links are alike, every node may be a coordinator', () => {
	assert.deepEqual(pickFastNodes([{node: small, linkMbps: 10}, {node: large, linkMbps: 15}]), [small, large]);
	assert.deepEqual(pickFastNodes([{node: small, linkMbps: 0}]), [small]);
});
