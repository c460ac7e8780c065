import assert from 'node:assert/strict';
import test from 'node:test';
import {ok} from 'neverthrow';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {type ServerAnnouncement} from '../local-server/local-server.js';
import {createLocalServerMessageHandler, type LocalServerMessageHandler} from './local-server-messages.js';

const announcement: ServerAnnouncement = {
	lifetime: {id: toBackendServerId('i-1'), startedAt: 1000}, service: 'logview', version: 'v1', address: toAddress('10.0.0.1:80'), slots: 12, isDraining: false, coldMs: 0, sequence: 1,
};

type Fixture = {
	readonly handler: LocalServerMessageHandler;
	/** What was applied to the gate, and what the handler waited for, in order. */
	readonly steps: readonly string[];
	areReplicated: boolean;
};

function createFixture(): Fixture {
	const steps: string[] = [];
	const fixture: Fixture = {
		steps,
		areReplicated: true,
		handler: createLocalServerMessageHandler({
			decode: () => ok(undefined),
			service: 'logview',
			listPeers: () => [],
			gate: {
				announce() {
					steps.push('announce');
				},
				leave() {
					steps.push('leave');
					return ok(undefined);
				},
			},
			departures: {
				async waitUntilKnown() {
					steps.push('known');
				},
				async waitUntilStored() {
					steps.push('stored');
				},
				areReplicated: () => fixture.areReplicated,
			},
		}),
	};
	return fixture;
}

// Guards against a late announcement that a node applies before it has learned what its earlier run acknowledged.
test('an announcement of a ready server is applied once the departures of earlier runs are known', async () => {
	const {handler, steps} = createFixture();
	const applied = await handler.handleMessage({type: 'announce', announcement});
	assert.ok(applied.isOk());
	assert.deepEqual(steps, ['known', 'announce']);
});

// Guards against a server that gets requests while its leave waits for the store.
test('a drain and a leave are applied at once, and acknowledged once they are replicated', async () => {
	const fixture = createFixture();
	assert.ok((await fixture.handler.handleMessage({type: 'announce', announcement: {...announcement, isDraining: true}})).isOk());
	assert.ok((await fixture.handler.handleMessage({type: 'leave', leave: {id: announcement.lifetime.id, startedAt: undefined}})).isOk());
	assert.deepEqual(fixture.steps, ['announce', 'stored', 'leave', 'stored']);
	fixture.areReplicated = false;
	const refused = await fixture.handler.handleMessage({type: 'leave', leave: {id: announcement.lifetime.id, startedAt: undefined}});
	assert.equal(refused._unsafeUnwrapErr().cause, 'not-replicated');
});
