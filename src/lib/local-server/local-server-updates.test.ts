import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import {toAddress, toBackendServerId} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {acceptAnnouncement, acceptLeave, forgetServer} from './local-server-updates.js';
import {noLocalServer, type LocalServerState, type ServerAnnouncement} from './local-server.js';

const createLifetime = (id = 'i-1', startedAt = 1000): ServerLifetime => ({id: toBackendServerId(id), startedAt});

function createAnnouncement({id, startedAt, ...changes}: Partial<Omit<ServerAnnouncement, 'lifetime'>> & {readonly id?: string; readonly startedAt?: number} = {}): ServerAnnouncement {
	return {
		service: 'logview', version: 'v1', address: toAddress('10.0.0.1:80'), slots: 12, isDraining: false, coldMs: 0, sequence: 1, ...changes, lifetime: createLifetime(id, startedAt),
	};
}

const announce = (state: LocalServerState, changes: Parameters<typeof createAnnouncement>[0], now = 0) => acceptAnnouncement(state, createAnnouncement(changes), now);

const leave = (state: LocalServerState, {id = 'i-1', startedAt}: {readonly id?: string; readonly startedAt?: number} = {}, now = 0) => acceptLeave(state, {id: toBackendServerId(id), startedAt}, now);

test('a late announcement does not put a draining server back into use', () => {
	const ready = announce(noLocalServer, {sequence: 4});
	assert.equal(ready.change, 'announced');
	const draining = announce(ready.state, {sequence: 5, isDraining: true});
	assert.equal(draining.change, 'draining');
	const late = announce(draining.state, {sequence: 4});
	assert.equal(late.change, 'none');
	assert.equal(late.state.current?.isLeaving, true);
	assert.equal(announce(draining.state, {sequence: 6}).state.current?.isLeaving, true);
});

test('a late announcement does not revert a later change', () => {
	const changed = announce(announce(noLocalServer, {sequence: 4, slots: 12}).state, {sequence: 5, slots: 4});
	assert.equal(changed.change, 'changed');
	const late = announce(changed.state, {sequence: 4, slots: 12});
	assert.equal(late.change, 'none');
	assert.equal(late.state.current?.announcement.slots, 4);
});

test('a server that leaves without draining first gets no new requests', () => {
	const {state} = announce(noLocalServer, {});
	const left = leave(state);
	assert.equal(left.change, 'draining');
	assert.equal(left.state.current?.isLeaving, true);
	assert.equal(leave(left.state).change, 'none');
});

test('a new server replaces the old one, whose late announcements are ignored', () => {
	const first = announce(noLocalServer, {id: 'i-1', sequence: 9}).state;
	const second = announce(first, {id: 'i-2', sequence: 1});
	assert.equal(second.change, 'announced');
	assert.equal(announce(second.state, {id: 'i-1', sequence: 10}).state.current?.announcement.lifetime.id, 'i-2');
});

test('after a restart of the node, a late announcement of a crashed server does not exclude the running one', () => {
	const running = announce(noLocalServer, {id: 'i-2', sequence: 1}, 0).state;
	// The restarted node can't know that i-1 is the older of the two.
	const late = announce(running, {id: 'i-1', sequence: 7}, 100).state;
	assert.equal(late.current?.announcement.lifetime.id, 'i-1');
	assert.equal(announce(late, {id: 'i-2', sequence: 2}, 900).state.current?.announcement.lifetime.id, 'i-1');
	// A request sent to i-1 is refused by i-2, which has the address.
	const corrected = forgetServer(late, createLifetime(), 200);
	assert.equal(announce(corrected, {id: 'i-2', sequence: 2}, 900).state.current?.announcement.lifetime.id, 'i-2');
	// Without such a request, i-2 replaces i-1 once i-1 is silent.
	assert.equal(announce(late, {id: 'i-2', sequence: 5}, 3200).state.current?.announcement.lifetime.id, 'i-2');
});

test('a drain of an unknown server does not affect the one in use', () => {
	const running = announce(noLocalServer, {id: 'i-2', sequence: 1}, 0).state;
	const {state, change} = announce(running, {id: 'i-1', sequence: 7, isDraining: true}, 100);
	assert.equal(change, 'none');
	assert.equal(state.current, running.current);
	// Later announcements of the drained server do not put it into use.
	assert.equal(announce(state, {id: 'i-1', sequence: 8}, 60_000).state.current?.announcement.lifetime.id, 'i-2');
	// If no server is in use, or the one in use leaves, the drain applies to the server that announced it.
	assert.equal(announce(noLocalServer, {id: 'i-1', isDraining: true}).change, 'draining');
	assert.equal(announce(leave(running, {id: 'i-2'}).state, {id: 'i-1', isDraining: true}, 100).change, 'draining');
});

test('a late announcement of a replaced server does not put it back into use', () => {
	const first = announce(noLocalServer, {id: 'i-1', sequence: 9}, 0).state;
	const second = announce(first, {id: 'i-2', sequence: 1}, 100).state;
	assert.equal(announce(second, {id: 'i-1', sequence: 9}, 60_000).state.current?.announcement.lifetime.id, 'i-2');
	const drained = announce(second, {id: 'i-1', sequence: 10, isDraining: true}, 200).state;
	assert.equal(announce(drained, {id: 'i-1', sequence: 11}, 60_000).state.current?.announcement.lifetime.id, 'i-2');
});

test('a response showing that another server has the address ends the lifetime that the request meant, not a later one', () => {
	const first = announce(noLocalServer, {id: 'i-1'}).state;
	const second = announce(first, {id: 'i-2'}).state;
	const next = forgetServer(second, createLifetime(), 200);
	assert.equal(next.current?.announcement.lifetime.id, 'i-2');
	assert.equal(announce(next, {id: 'i-2', sequence: 2}).state.current?.announcement.lifetime.id, 'i-2');
});

test('after a restart of the node, a late announcement of a server that left does not put it into use', () => {
	const left = leave(noLocalServer);
	assert.equal(announce(left.state, {id: 'i-1', sequence: 3}).state.current, undefined);
});

test('property: once a drain or leave of a server was acknowledged, no order of its messages makes it ready again', () => {
	const message = fc.record({
		id: fc.constantFrom('i-1', 'i-2'), sequence: fc.integer({min: 0, max: 9}), isDraining: fc.boolean(), leaves: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(message, {maxLength: 20}), messages => {
		let state = noLocalServer;
		const leaving = new Set<string>();
		for (const {id, sequence, isDraining, leaves} of messages) {
			state = leaves ? leave(state, {id}).state : announce(state, {id, sequence, isDraining}).state;
			const {current} = state;
			if (current !== undefined && leaving.has(current.announcement.lifetime.id)) {
				assert.equal(current.isLeaving, true);
			}

			if (current?.isLeaving) {
				leaving.add(current.announcement.lifetime.id);
			}
		}
	}));
});

const [earliest, middle, latest] = [1000, 2000, 3000] as const;

test('a later start of the same id replaces the earlier one immediately, also if that one drained, and inherits none of its state', () => {
	const before = announce(noLocalServer, {startedAt: earliest, sequence: 90, slots: 4}).state;
	const drained = announce(before, {startedAt: earliest, sequence: 91, isDraining: true}, 10).state;
	const left = leave(before, {startedAt: earliest}, 10).state;
	for (const state of [before, drained, left]) {
		const {change, state: {current}} = announce(state, {startedAt: middle, sequence: 1}, 20);
		assert.equal(change, 'announced');
		assert.deepEqual(current, {
			announcement: createAnnouncement({startedAt: middle}), heardAt: 20, isLeaving: false, avoidUntil: 0, ambiguousLeaveUntil: 5020,
		});
	}
});

test('messages of an earlier start never replace a later one that is heard, however late or often they arrive', () => {
	let {state} = announce(announce(noLocalServer, {startedAt: earliest, sequence: 9}).state, {startedAt: middle}, 100);
	for (let message = 1; message < 60; message++) {
		const now = 100 + (message * 2000);
		state = announce(state, {startedAt: earliest, sequence: 9 + message, isDraining: message === 50}, now).state;
		state = announce(state, {startedAt: middle, sequence: 1 + message}, now + 10).state;
		state = leave(state, {startedAt: earliest}, now + 20).state;
		assert.equal(state.current?.announcement.lifetime.startedAt, middle);
		assert.equal(state.current?.isLeaving, false);
	}
});

test('a newer start with an earlier start time replaces the other only once it keeps sending and the other is silent', () => {
	const before = announce(noLocalServer, {startedAt: middle, sequence: 90}).state;
	const messages = [[1, 500], [2, 1500], [3, 2500], [4, 3500]] as const;
	let state = before;
	const usedStarts = messages.map(([sequence, now]) => {
		state = announce(state, {startedAt: earliest, sequence}, now).state;
		return state.current?.announcement.lifetime.startedAt;
	});
	assert.deepEqual(usedStarts, [middle, middle, middle, earliest]);
	// A single announcement may be a late one, and so may a repeated one: neither replaces the lifetime in use.
	assert.equal(announce(before, {startedAt: earliest, sequence: 1}, 60_000).state.current?.announcement.lifetime.startedAt, middle);
	const repeated = announce(announce(before, {startedAt: earliest, sequence: 1}, 500).state, {startedAt: earliest, sequence: 1}, 60_000);
	assert.equal(repeated.state.current?.announcement.lifetime.startedAt, middle);
	// Two announcements are required since the later start was last heard; one before that does not count.
	const between = announce(announce(before, {startedAt: earliest, sequence: 1}, 500).state, {startedAt: middle, sequence: 91}, 1000).state;
	const single = announce(between, {startedAt: earliest, sequence: 2}, 5000).state;
	assert.equal(single.current?.announcement.lifetime.startedAt, middle);
	assert.equal(announce(single, {startedAt: earliest, sequence: 3}, 5500).state.current?.announcement.lifetime.startedAt, earliest);
	// The lifetime that was replaced counts as an earlier one, although its start time is later.
	assert.equal(announce(state, {startedAt: middle, sequence: 91}, 4000).state.current?.announcement.lifetime.startedAt, earliest);
});

test('a leave without a start time ends the lifetime in use, unless it has just replaced another one', () => {
	const before = announce(noLocalServer, {startedAt: earliest}).state;
	assert.equal(leave(before, {}, 100).change, 'draining');
	const after = announce(before, {startedAt: middle}, 100).state;
	assert.equal(leave(after, {}, 4000).change, 'none');
	assert.equal(leave(after, {}, 4000).state.current?.isLeaving, false);
	assert.equal(leave(after, {}, 6000).change, 'draining');
	assert.equal(leave(after, {startedAt: middle}, 200).change, 'draining');
});

test('a leave without a start time that arrives before any announcement ends the first lifetime that is heard, and no later one', () => {
	const {state} = leave(noLocalServer);
	const late = announce(state, {startedAt: earliest, sequence: 7}, 1000).state;
	assert.equal(late.current, undefined);
	assert.equal(announce(late, {startedAt: earliest, sequence: 8}, 2000).state.current, undefined);
	assert.equal(announce(late, {startedAt: middle}, 2000).state.current?.announcement.lifetime.startedAt, middle);
	// Messages arrive at most seconds late, so a server that is first heard long after the leave is another one.
	assert.equal(announce(state, {startedAt: earliest, sequence: 7}, 60_000).state.current?.isLeaving, false);
});

test('a leave of a later start that has not been heard yet ends the earlier one', () => {
	const before = announce(noLocalServer, {startedAt: earliest}).state;
	const left = leave(before, {startedAt: middle}, 100);
	assert.equal(left.change, 'draining');
	assert.equal(announce(left.state, {startedAt: middle, sequence: 3}, 200).state.current?.isLeaving, true);
	assert.equal(announce(left.state, {startedAt: latest}, 200).change, 'announced');
});

type ServerMessage = {readonly id: string; readonly startedAt: number; readonly sequence: number; readonly isDraining: boolean; readonly leaves: boolean};

test('property: under reordering, loss, delay and repetition of messages, no id goes back to an earlier start, and no lifetime that left is used again', () => {
	const message: fc.Arbitrary<ServerMessage> = fc.record({
		id: fc.constantFrom('i-1', 'i-2'), startedAt: fc.constantFrom(earliest, middle, latest), sequence: fc.integer({min: 0, max: 9}), isDraining: fc.boolean(), leaves: fc.boolean(),
	});
	// All messages arrive within the silence timeout of the lifetime in use.
	fc.assert(fc.property(fc.array(fc.tuple(message, fc.integer({min: 0, max: 60})), {maxLength: 40}), messages => {
		let state = noLocalServer;
		let now = 0;
		const newest = new Map<string, number>();
		const leaving = new Set<string>();
		for (const [{leaves, ...announced}, delayMs] of messages) {
			now += delayMs;
			state = leaves ? leave(state, announced, now).state : announce(state, announced, now).state;
			const {current} = state;
			if (leaves || announced.isDraining) {
				leaving.add(`${announced.id} ${announced.startedAt}`);
			}

			if (current !== undefined) {
				const {id, startedAt} = current.announcement.lifetime;
				assert.ok(startedAt >= (newest.get(id) ?? 0), `${id} went back to the earlier start ${startedAt}`);
				newest.set(id, startedAt);
				assert.ok(current.isLeaving || !leaving.has(`${id} ${startedAt}`), `${id} ${startedAt} was used again after it left`);
			}
		}
	}), {numRuns: 2000});
});

test('property: after all messages of one id, its newest lifetime is in use and takes requests', () => {
	const message = fc.record({
		startedAt: fc.constantFrom<number[]>(earliest, middle), sequence: fc.integer({min: 0, max: 9}), isDraining: fc.boolean(), leaves: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(message, {maxLength: 30}), fc.nat({max: 30}), (messages, position) => {
		// The newest lifetime announces once that it is ready. Messages of earlier lifetimes arrive before and after it, possibly repeatedly.
		const inOrder = messages.toSpliced(Math.min(position, messages.length), 0, {
			startedAt: latest, sequence: 1, isDraining: false, leaves: false,
		});
		let state = noLocalServer;
		for (const {leaves, ...announced} of inOrder) {
			state = leaves ? leave(state, announced).state : announce(state, announced).state;
		}

		assert.equal(state.current?.announcement.lifetime.startedAt, latest);
		assert.equal(state.current?.isLeaving, false);
	}), {numRuns: 2000});
});
