import assert from 'node:assert/strict';
import test from 'node:test';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {listNewlyDeparted} from './list-departed.js';
import {acceptAnnouncement, acceptLeave} from './local-server-updates.js';
import {noLocalServer, type LocalServerState, type ServerAnnouncement} from './local-server.js';

const lifetime: ServerLifetime = {id: toBackendServerId('i-1'), startedAt: 1000};

const announce = (state: LocalServerState, changes: Partial<ServerAnnouncement> = {}): LocalServerState => acceptAnnouncement(state, {
	lifetime, service: 'logview', version: 'v1', address: toAddress('10.0.0.1:80'), slots: 12, isDraining: false, coldMs: 0, sequence: 1, ...changes,
}, 0).state;

const leave = (state: LocalServerState, startedAt?: number): LocalServerState => acceptLeave(state, {id: lifetime.id, startedAt}, 0).state;

// Guards against a form of leaving that is acknowledged and not kept for the next run of the node.
test('a drain and a leave exclude the lifetime, each with a start time and without, and only once', () => {
	const ready = announce(noLocalServer);
	assert.deepEqual(listNewlyDeparted(noLocalServer, ready), []);
	for (const departed of [announce(ready, {sequence: 2, isDraining: true}), leave(ready), leave(ready, 1000)]) {
		assert.deepEqual(listNewlyDeparted(ready, departed), [lifetime]);
		assert.deepEqual(listNewlyDeparted(departed, leave(departed)), []);
		assert.deepEqual(listNewlyDeparted(departed, announce(departed, {lifetime: {id: toBackendServerId('i-2'), startedAt: 1}})), []);
	}
});

test('a leave of a lifetime that is not in use, or not known yet, excludes it', () => {
	const replaced = announce(announce(noLocalServer), {lifetime: {...lifetime, startedAt: 2000}});
	assert.deepEqual(listNewlyDeparted(replaced, leave(replaced, 1000)), [lifetime]);
	assert.deepEqual(listNewlyDeparted(noLocalServer, leave(noLocalServer, 1000)), [lifetime]);
	assert.deepEqual(listNewlyDeparted(noLocalServer, leave(noLocalServer)), [{id: lifetime.id, startedAt: 0}]);
});
