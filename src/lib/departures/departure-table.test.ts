import assert from 'node:assert/strict';
import test from 'node:test';
import {toBackendServerId, toNodeId} from '../common/ids.js';
import {type Departure} from './departure.js';
import {createDepartureTable} from './departure-table.js';

const n1 = toNodeId('n1');
const n2 = toNodeId('n2');

const createDeparture = (node = n1, id = 'i-1', startedAt = 1000): Departure => ({node, lifetime: {id: toBackendServerId(id), startedAt}});

// Guards against a restarted node that learns nothing of what its earlier run acknowledged.
test('a report to one node contains its departures, one to all nodes only those of the sender', () => {
	const table = createDepartureTable(n1);
	table.add(createDeparture(n1, 'i-1'), 0);
	table.add(createDeparture(n2, 'i-2'), 0);
	table.add(createDeparture(toNodeId('n3'), 'i-3'), 0);
	assert.deepEqual(table.listFor(undefined, 0), [createDeparture(n1, 'i-1')]);
	assert.deepEqual(table.listFor(n2, 0), [createDeparture(n1, 'i-1'), createDeparture(n2, 'i-2')]);
});

// Guards against heartbeats that grow with each server that has ever left.
test('a departure is in reports to all nodes for longer than the longest interval between two heartbeats, and not for good', () => {
	const table = createDepartureTable(n1);
	table.add(createDeparture(), 0);
	assert.equal(table.listFor(undefined, 16_000).length, 1);
	assert.equal(table.listFor(undefined, 60_000).length, 0);
	assert.equal(table.has(createDeparture()), true);
});

// Guards against a server that gets no requests because an earlier start under its id has left.
test('a departure is that of one lifetime at one node', () => {
	const table = createDepartureTable(n1);
	assert.equal(table.add(createDeparture(n1, 'i-1', 1000), 0), true);
	assert.equal(table.add(createDeparture(n1, 'i-1', 1000), 0), false);
	assert.equal(table.has(createDeparture(n1, 'i-1', 2000)), false);
	assert.equal(table.has(createDeparture(n2, 'i-1', 1000)), false);
});

// Guards against memory that grows with the servers and nodes that are replaced all day.
test('the number of departures is bounded, and the newest ones of this node are kept', () => {
	const table = createDepartureTable(n1);
	for (let count = 0; count < 10_000; count++) {
		table.add(createDeparture(n1, `own-${count}`), count);
		table.add(createDeparture(toNodeId(`node-${count}`), 'i-1'), count);
	}

	assert.equal(table.has(createDeparture(n1, 'own-9999')), true);
	assert.equal(table.has(createDeparture(toNodeId('node-9999'), 'i-1')), true);
	assert.ok(table.count() <= 4100, `${table.count()} departures`);
});
