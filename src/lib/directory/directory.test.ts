import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {
	toAddress, toBackendServerId, toFailureDomain, toNodeId,
} from '../common/ids.js';
import {createRecord} from './sample-records.js';
import {createDirectoryKeeper} from './directory-keeper.js';
import {
	createDirectory, getRecord, listDomainRecords, listServers, mergeRecords,
} from './directory.js';
import {nodeStatuses, type BackendServer, type NodeRecord} from './node-record.js';

function createServer(id: string): BackendServer {
	return {
		id: toBackendServerId(id), service: 's', address: toAddress('127.0.0.1:2'), slots: 1, connections: 1, startedAt: 0, isDraining: false,
	};
}

const recordArbitrary = fc.record({
	id: fc.constantFrom('a', 'b', 'c'), epoch: fc.nat(2), sequence: fc.nat(2), status: fc.constantFrom(...nodeStatuses),
}).map(({id, epoch, sequence, status}) => createRecord(id, {
	epoch, sequence, status, servers: Array.from({length: sequence}, (_, index) => createServer(`${id}-${epoch}-${index}`)),
}));

test('directories that merged the same records are equal, whatever the order, repetition and batches of the records', () => {
	fc.assert(fc.property(fc.array(recordArbitrary, {maxLength: 20}), fc.nat(20), (records, cut) => {
		const atOnce = mergeRecords(createDirectory(), records).directory;
		const reversed = records.toReversed();
		const inParts = mergeRecords(mergeRecords(createDirectory(), reversed.slice(0, cut)).directory, reversed.slice(cut)).directory;
		assert.equal(atOnce.tree.root, inParts.tree.root);
		assert.equal(mergeRecords(inParts, records).changed.length, 0);
		assert.deepEqual(listServers(atOnce, 's').map(({server}) => server.id).toSorted(), listServers(inParts, 's').map(({server}) => server.id).toSorted());
	}));
});

test('the servers of a dead node are not listed', () => {
	const alive = mergeRecords(createDirectory(), [createRecord('a', {servers: [createServer('x')]})]).directory;
	assert.equal(listServers(alive, 's').length, 1);
	const dead = mergeRecords(alive, [createRecord('a', {status: 'dead', servers: [createServer('x')]})]).directory;
	assert.equal(listServers(dead, 's').length, 0);
	assert.equal(listDomainRecords(dead, toFailureDomain('d')).length, 1);
});

test('a node refutes a record that declares it dead', () => {
	const published: NodeRecord[] = [];
	const keeper = createDirectoryKeeper(createRecord('a'), records => {
		published.push(...records);
	});
	keeper.merge([createRecord('a', {status: 'dead'})], {type: 'push', from: toNodeId('b')});
	assert.equal(getRecord(keeper.getDirectory(), toNodeId('a'))?.status, 'alive');
	assert.ok(keeper.getOwnRecord().sequence > 1);
	assert.equal(published.at(-1)?.sequence, keeper.getOwnRecord().sequence);
});

test('a node whose clock was set back between two runs adopts the epoch of the earlier run, with a higher sequence', () => {
	const keeper = createDirectoryKeeper(createRecord('a', {epoch: 5}), () => undefined);
	keeper.merge([createRecord('a', {epoch: 9, sequence: 40})], {type: 'pull'});
	assert.equal(keeper.getOwnRecord().epoch, 9);
	assert.equal(keeper.getOwnRecord().sequence, 41);
});
