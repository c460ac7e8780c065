import assert from 'node:assert/strict';
import test from 'node:test';
import {toNodeId} from '../common/ids.js';
import {createQuotaNodes} from './quota-nodes.js';

const createPeer = (name: string, heardAt: number, isLeaving = false) => ({node: toNodeId(name), heardAt, isLeaving});

test('a new process that nobody has told the number of nodes relies on nothing', () => {
	const nodes = createQuotaNodes(toNodeId('n1'));
	nodes.updatePeers([createPeer('n2', 100)], 100);
	assert.equal(nodes.isSettled(100_000), false);
});

test('a new process relies on the list of the store once no further node has appeared for a while', () => {
	const nodes = createQuotaNodes(toNodeId('n1'));
	nodes.noteListed(2, 100);
	nodes.updatePeers([createPeer('n2', 900)], 900);
	assert.equal(nodes.isSettled(1500), false);
	nodes.updatePeers([createPeer('n2', 900), createPeer('n3', 1600)], 1600);
	assert.equal(nodes.isSettled(2500), false);
	assert.equal(nodes.countKnown(2700), 3);
});

test('a new process relies on a node that is not new, and counts as many nodes as that one', () => {
	const nodes = createQuotaNodes(toNodeId('n1'));
	nodes.noteKnown(toNodeId('n2'), 0, 100);
	assert.equal(nodes.isSettled(100), false);
	nodes.noteKnown(toNodeId('n2'), 75, 200);
	assert.equal(nodes.count(200), 75);
	assert.equal(nodes.isSettled(200), true);
	nodes.noteKnown(toNodeId('n2'), 70, 300);
	assert.equal(nodes.count(300), 70);
});

test('a node that was told of more nodes than it has heard gives no number to others, so that neither a number that is too small nor an outdated one circulates', () => {
	const nodes = createQuotaNodes(toNodeId('n1'));
	nodes.noteKnown(toNodeId('n2'), 3, 200);
	nodes.updatePeers([createPeer('n2', 300)], 300);
	assert.equal(nodes.countKnown(300), 0);
	nodes.updatePeers([createPeer('n2', 400), createPeer('n3', 400)], 400);
	assert.equal(nodes.countKnown(400), 3);
});

test('a silent node counts for an hour after the membership table has forgotten it, and one that has left for a short time', () => {
	const nodes = createQuotaNodes(toNodeId('n1'));
	nodes.updatePeers([createPeer('n2', 0), createPeer('n3', 0, true)], 0);
	nodes.updatePeers([], 10_000);
	assert.equal(nodes.count(10_000), 3);
	nodes.updatePeers([], 20_000);
	assert.equal(nodes.count(20_000), 2);
	nodes.updatePeers([], 3_500_000);
	assert.equal(nodes.count(3_500_000), 2);
	nodes.updatePeers([], 3_700_000);
	assert.equal(nodes.count(3_700_000), 1);
});
