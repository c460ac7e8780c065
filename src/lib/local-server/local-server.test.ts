import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {
	acceptAnnouncement, acceptLeave, forgetServer, noLocalServer, type LocalServerState, type ServerAnnouncement,
} from './local-server.js';

function createAnnouncement(changes: Partial<Omit<ServerAnnouncement, 'id'>> & {readonly id?: string} = {}): ServerAnnouncement {
	return {
		service: 'logview', address: toAddress('10.0.0.1:80'), slots: 12, isDraining: false, coldMs: 0, sequence: 1, ...changes, id: toBackendServerId(changes.id ?? 'i-1'),
	};
}

const announce = (state: LocalServerState, changes: Parameters<typeof createAnnouncement>[0], now = 0) => acceptAnnouncement(state, createAnnouncement(changes), now);

test('a late announcement does not bring a leaving server back', () => {
	const ready = announce(noLocalServer, {sequence: 4});
	assert.equal(ready.news, 'announced');
	const draining = announce(ready.state, {sequence: 5, isDraining: true});
	assert.equal(draining.news, 'draining');
	const late = announce(draining.state, {sequence: 4});
	assert.equal(late.news, 'none');
	assert.equal(late.state.current?.isLeaving, true);
	assert.equal(announce(draining.state, {sequence: 6}).state.current?.isLeaving, true);
});

test('a late announcement does not bring back what has changed since', () => {
	const changed = announce(announce(noLocalServer, {sequence: 4, slots: 12}).state, {sequence: 5, slots: 4});
	assert.equal(changed.news, 'changed');
	const late = announce(changed.state, {sequence: 4, slots: 12});
	assert.equal(late.news, 'none');
	assert.equal(late.state.current?.announcement.slots, 4);
});

test('a server that leaves without draining first gets no new work', () => {
	const {state} = announce(noLocalServer, {});
	const left = acceptLeave(state, toBackendServerId('i-1'));
	assert.equal(left.news, 'draining');
	assert.equal(left.state.current?.isLeaving, true);
	assert.equal(acceptLeave(left.state, toBackendServerId('i-1')).news, 'none');
});

test('a new server replaces the old one, whose late words count no more', () => {
	const first = announce(noLocalServer, {id: 'i-1', sequence: 9}).state;
	const second = announce(first, {id: 'i-2', sequence: 1});
	assert.equal(second.news, 'announced');
	assert.equal(announce(second.state, {id: 'i-1', sequence: 10}).state.current?.announcement.id, 'i-2');
});

test('a late announcement of a server that crashed, heard by a node that has restarted, does not shut out the one that is there', () => {
	const there = announce(noLocalServer, {id: 'i-2', sequence: 1}, 0).state;
	// Nobody knows here that i-1 is the older of the two.
	const late = announce(there, {id: 'i-1', sequence: 7}, 100).state;
	assert.equal(late.current?.announcement.id, 'i-1');
	assert.equal(announce(late, {id: 'i-2', sequence: 2}, 900).state.current?.announcement.id, 'i-1');
	// What is sent to i-1 meanwhile is turned away by i-2, which has the address.
	const corrected = forgetServer(late, toBackendServerId('i-1'));
	assert.equal(announce(corrected, {id: 'i-2', sequence: 2}, 900).state.current?.announcement.id, 'i-2');
	// Without a request that shows it, the silence of i-1 does.
	assert.equal(announce(late, {id: 'i-2', sequence: 5}, 3200).state.current?.announcement.id, 'i-2');
});

test('a server that was replaced and is heard again is not taken back by a word from before', () => {
	const first = announce(noLocalServer, {id: 'i-1', sequence: 9}, 0).state;
	const second = announce(first, {id: 'i-2', sequence: 1}, 100).state;
	assert.equal(announce(second, {id: 'i-1', sequence: 9}, 60_000).state.current?.announcement.id, 'i-2');
	const drained = announce(second, {id: 'i-1', sequence: 10, isDraining: true}, 200).state;
	assert.equal(announce(drained, {id: 'i-1', sequence: 11}, 60_000).state.current?.announcement.id, 'i-2');
});

test('an answer that says another server has the address concerns the server that was asked, not the one that came since', () => {
	const first = announce(noLocalServer, {id: 'i-1'}).state;
	const second = announce(first, {id: 'i-2'}).state;
	const told = forgetServer(second, toBackendServerId('i-1'));
	assert.equal(told.current?.announcement.id, 'i-2');
	assert.equal(announce(told, {id: 'i-2', sequence: 2}).state.current?.announcement.id, 'i-2');
});

test('after a restart of the node, a server that said it leaves is not taken back by a late announcement', () => {
	const left = acceptLeave(noLocalServer, toBackendServerId('i-1'));
	assert.equal(announce(left.state, {id: 'i-1', sequence: 3}).state.current, undefined);
});

test('property: once a server was acknowledged as leaving, no order of its words makes it ready again', () => {
	const word = fc.record({
		id: fc.constantFrom('i-1', 'i-2'), sequence: fc.integer({min: 0, max: 9}), isDraining: fc.boolean(), leaves: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(word, {maxLength: 20}), words => {
		let state = noLocalServer;
		const leaving = new Set<string>();
		for (const {id, sequence, isDraining, leaves} of words) {
			state = leaves ? acceptLeave(state, toBackendServerId(id)).state : announce(state, {id, sequence, isDraining}).state;
			const {current} = state;
			if (current !== undefined && leaving.has(current.announcement.id)) {
				assert.equal(current.isLeaving, true);
			}

			if (current?.isLeaving) {
				leaving.add(current.announcement.id);
			}
		}
	}));
});
