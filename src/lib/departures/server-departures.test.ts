import assert from 'node:assert/strict';
import test, {type TestContext} from 'node:test';
import {toBackendServerId, toNodeId} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {createSampleReport} from '../peers/sample-report.js';
import {silentLog} from '../timeline/mesh-log.js';
import {type Departure} from './departure.js';
import {createServerDepartures, type ServerDepartures} from './server-departures.js';

const self = toNodeId('n1');
const peer = toNodeId('n2');
const lifetime: ServerLifetime = {id: toBackendServerId('i-1'), startedAt: 1000};

type Fixture = {
	readonly departures: ServerDepartures;
	readonly excluded: string[];
	readonly departed: ServerLifetime[];
	readonly published: Departure[];
	readonly endWrites: () => void;
};

/** Creates departures with writes to the store that end only on `endWrites`. Time stands still until a test advances it. */
function createFixture(context: TestContext, hasHeardNode = true): Fixture {
	context.mock.timers.enable({apis: ['setTimeout', 'Date']});
	const excluded: string[] = [];
	const departed: ServerLifetime[] = [];
	const published: Departure[] = [];
	const waiting: Array<() => void> = [];
	let unstoredCount = 0;
	const departures = createServerDepartures({
		self,
		log: silentLog,
		leaving: {
			add(server) {
				excluded.push(server);
			},
		},
		async publish(departure) {
			published.push(departure);
			unstoredCount++;
			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
			unstoredCount--;
		},
		hasUnstored: () => unstoredCount > 0,
		hasHeardNode: () => hasHeardNode,
		handleOwnDeparted(ended) {
			departed.push(ended);
		},
	});
	return {
		departures, excluded, departed, published, endWrites() {
			for (const end of waiting.splice(0)) {
				end();
			}
		},
	};
}

/** Returns whether a promise has settled, after all callbacks that wait for nothing else. */
async function hasSettled(promise: Promise<void>): Promise<boolean> {
	let isSettled = false;
	void (async () => {
		await promise;
		isSettled = true;
	})();

	await new Promise(resolve => {
		setImmediate(resolve);
	});
	return isSettled;
}

// Guards against an acknowledgement that only the memory of this process keeps.
test('an acknowledgement waits for the write of the departure, and no longer than backend servers wait', async context => {
	const {departures, published, endWrites} = createFixture(context);
	departures.recordOwn([lifetime]);
	departures.recordOwn([lifetime]);
	assert.deepEqual(published, [{node: self, lifetime}], 'a repeated leave is written once');
	const stored = departures.waitUntilStored();
	assert.equal(await hasSettled(stored), false);
	endWrites();
	assert.equal(await hasSettled(stored), true);
	assert.equal(departures.areReplicated(), true);

	departures.recordOwn([{...lifetime, startedAt: 2000}]);
	const slow = departures.waitUntilStored();
	context.mock.timers.tick(1000);
	assert.equal(await hasSettled(slow), true);
	assert.equal(departures.areReplicated(), true, 'the other node has it');
});

// Guards against an acknowledgement that nothing keeps, on a node that reaches neither the store nor another node.
test('a departure that is not in the store is not replicated if no other node is heard', context => {
	const {departures} = createFixture(context, false);
	assert.equal(departures.areReplicated(), true);
	departures.recordOwn([lifetime]);
	assert.equal(departures.areReplicated(), false);
});

// Guards against a late announcement that is applied before the store has told that its server has left.
test('a node waits for the departures of its earlier runs until the store lists them, and no longer than backend servers wait', async context => {
	const {departures, departed} = createFixture(context);
	const known = departures.waitUntilKnown();
	assert.equal(await hasSettled(known), false);
	departures.handleListed([{node: self, lifetime}, {node: peer, lifetime: {...lifetime, startedAt: 2}}]);
	assert.equal(await hasSettled(known), true);
	assert.deepEqual(departed, [lifetime]);
	assert.equal(await hasSettled(departures.waitUntilKnown()), true);
});

test('a node does not wait for the store for longer than a backend server waits for its acknowledgement', async context => {
	const {departures} = createFixture(context);
	const known = departures.waitUntilKnown();
	context.mock.timers.tick(1000);
	assert.equal(await hasSettled(known), true);
});

// Guards against a node that excludes the server beside a third node because another node says so.
test('a report tells of the servers beside its sender and its receiver only', context => {
	const {departures, departed, excluded} = createFixture(context);
	const third = {node: toNodeId('n3'), lifetime};
	departures.handleReport(createSampleReport({node: peer, departures: [third]}));
	assert.deepEqual(excluded, []);
	departures.handleReport(createSampleReport({node: peer, departures: [{node: self, lifetime}, {node: peer, lifetime: {...lifetime, startedAt: 2}}]}));
	assert.equal(excluded.length, 2);
	assert.deepEqual(departed, [lifetime]);
});

// Guards against a restarted node that goes on using a server whose leave its earlier run acknowledged.
test('a report that calls a departed server ready is refuted, and the answer says so', context => {
	const {departures} = createFixture(context);
	const report = createSampleReport({node: peer});
	const departure = {node: peer, lifetime: report.server!.lifetime};
	assert.equal(departures.isRefuted(report), false);
	departures.handleReport(createSampleReport({node: peer, departures: [departure]}));
	assert.equal(departures.isRefuted(report), true);
	assert.equal(departures.isRefuted({...report, server: {...report.server!, state: 'draining'}}), false);
	assert.deepEqual(departures.listFor(peer), [departure]);
	assert.deepEqual(departures.listFor(), []);
});
