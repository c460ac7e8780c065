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
		service: 'logview', address: toAddress('10.0.0.1:80'), slots: 12, isDraining: false, coldMs: 0, sequence: 1, ...changes, lifetime: createLifetime(id, startedAt),
	};
}

const announce = (state: LocalServerState, changes: Parameters<typeof createAnnouncement>[0], now = 0) => acceptAnnouncement(state, createAnnouncement(changes), now);

const leave = (state: LocalServerState, {id = 'i-1', startedAt}: {readonly id?: string; readonly startedAt?: number} = {}, now = 0) => acceptLeave(state, {id: toBackendServerId(id), startedAt}, now);

test('a late announcement does not bring a leaving server back', () => {
	const ready = announce(noLocalServer, {sequence: 4});
	assert.equal(ready.change, 'announced');
	const draining = announce(ready.state, {sequence: 5, isDraining: true});
	assert.equal(draining.change, 'draining');
	const late = announce(draining.state, {sequence: 4});
	assert.equal(late.change, 'none');
	assert.equal(late.state.current?.isLeaving, true);
	assert.equal(announce(draining.state, {sequence: 6}).state.current?.isLeaving, true);
});

test('a late announcement does not bring back what has changed since', () => {
	const changed = announce(announce(noLocalServer, {sequence: 4, slots: 12}).state, {sequence: 5, slots: 4});
	assert.equal(changed.change, 'changed');
	const late = announce(changed.state, {sequence: 4, slots: 12});
	assert.equal(late.change, 'none');
	assert.equal(late.state.current?.announcement.slots, 4);
});

test('a server that leaves without draining first gets no new work', () => {
	const {state} = announce(noLocalServer, {});
	const left = leave(state);
	assert.equal(left.change, 'draining');
	assert.equal(left.state.current?.isLeaving, true);
	assert.equal(leave(left.state).change, 'none');
});

test('a new server replaces the old one, whose late words count no more', () => {
	const first = announce(noLocalServer, {id: 'i-1', sequence: 9}).state;
	const second = announce(first, {id: 'i-2', sequence: 1});
	assert.equal(second.change, 'announced');
	assert.equal(announce(second.state, {id: 'i-1', sequence: 10}).state.current?.announcement.lifetime.id, 'i-2');
});

test('a late announcement of a server that crashed, heard by a node that has restarted, does not shut out the one that is there', () => {
	const there = announce(noLocalServer, {id: 'i-2', sequence: 1}, 0).state;
	// Nobody knows here that i-1 is the older of the two.
	const late = announce(there, {id: 'i-1', sequence: 7}, 100).state;
	assert.equal(late.current?.announcement.lifetime.id, 'i-1');
	assert.equal(announce(late, {id: 'i-2', sequence: 2}, 900).state.current?.announcement.lifetime.id, 'i-1');
	// What is sent to i-1 meanwhile is turned away by i-2, which has the address.
	const corrected = forgetServer(late, createLifetime(), 200);
	assert.equal(announce(corrected, {id: 'i-2', sequence: 2}, 900).state.current?.announcement.lifetime.id, 'i-2');
	// Without a request that shows it, the silence of i-1 does.
	assert.equal(announce(late, {id: 'i-2', sequence: 5}, 3200).state.current?.announcement.lifetime.id, 'i-2');
});

test('a drain of a server that nothing was heard of does not touch the one that takes work', () => {
	const there = announce(noLocalServer, {id: 'i-2', sequence: 1}, 0).state;
	const {state, change} = announce(there, {id: 'i-1', sequence: 7, isDraining: true}, 100);
	assert.equal(change, 'none');
	assert.equal(state.current, there.current);
	// Nor is it taken for a new one later, whatever it still says.
	assert.equal(announce(state, {id: 'i-1', sequence: 8}, 60_000).state.current?.announcement.lifetime.id, 'i-2');
	// Where there is none to protect, it is the one that is there.
	assert.equal(announce(noLocalServer, {id: 'i-1', isDraining: true}).change, 'draining');
	assert.equal(announce(leave(there, {id: 'i-2'}).state, {id: 'i-1', isDraining: true}, 100).change, 'draining');
});

test('a server that was replaced and is heard again is not taken back by a word from before', () => {
	const first = announce(noLocalServer, {id: 'i-1', sequence: 9}, 0).state;
	const second = announce(first, {id: 'i-2', sequence: 1}, 100).state;
	assert.equal(announce(second, {id: 'i-1', sequence: 9}, 60_000).state.current?.announcement.lifetime.id, 'i-2');
	const drained = announce(second, {id: 'i-1', sequence: 10, isDraining: true}, 200).state;
	assert.equal(announce(drained, {id: 'i-1', sequence: 11}, 60_000).state.current?.announcement.lifetime.id, 'i-2');
});

test('an answer that says another server has the address concerns the server that was asked, not the one that came since', () => {
	const first = announce(noLocalServer, {id: 'i-1'}).state;
	const second = announce(first, {id: 'i-2'}).state;
	const told = forgetServer(second, createLifetime(), 200);
	assert.equal(told.current?.announcement.lifetime.id, 'i-2');
	assert.equal(announce(told, {id: 'i-2', sequence: 2}).state.current?.announcement.lifetime.id, 'i-2');
});

test('after a restart of the node, a server that said it leaves is not taken back by a late announcement', () => {
	const left = leave(noLocalServer);
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

test('a later start of the same id replaces the earlier one at once, also one that drained, and inherits nothing of it', () => {
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

test('what an earlier start still says never replaces a later one that is heard, however late or often', () => {
	let {state} = announce(announce(noLocalServer, {startedAt: earliest, sequence: 9}).state, {startedAt: middle}, 100);
	for (let word = 1; word < 60; word++) {
		const now = 100 + (word * 2000);
		state = announce(state, {startedAt: earliest, sequence: 9 + word, isDraining: word === 50}, now).state;
		state = announce(state, {startedAt: middle, sequence: 1 + word}, now + 10).state;
		state = leave(state, {startedAt: earliest}, now + 20).state;
		assert.equal(state.current?.announcement.lifetime.startedAt, middle);
		assert.equal(state.current?.isLeaving, false);
	}
});

test('a start that the clock makes look earlier takes over when it goes on and the other is silent, and not before', () => {
	const before = announce(noLocalServer, {startedAt: middle, sequence: 90}).state;
	const words = [[1, 500], [2, 1500], [3, 2500], [4, 3500]] as const;
	let state = before;
	const taken = words.map(([sequence, now]) => {
		state = announce(state, {startedAt: earliest, sequence}, now).state;
		return state.current?.announcement.lifetime.startedAt;
	});
	assert.deepEqual(taken, [middle, middle, middle, earliest]);
	// One word alone shows nothing: it may be a late one. Nor does one that is repeated.
	assert.equal(announce(before, {startedAt: earliest, sequence: 1}, 60_000).state.current?.announcement.lifetime.startedAt, middle);
	const repeated = announce(announce(before, {startedAt: earliest, sequence: 1}, 500).state, {startedAt: earliest, sequence: 1}, 60_000);
	assert.equal(repeated.state.current?.announcement.lifetime.startedAt, middle);
	// A word from before the later start spoke last is none of two that follow one another.
	const between = announce(announce(before, {startedAt: earliest, sequence: 1}, 500).state, {startedAt: middle, sequence: 91}, 1000).state;
	const once = announce(between, {startedAt: earliest, sequence: 2}, 5000).state;
	assert.equal(once.current?.announcement.lifetime.startedAt, middle);
	assert.equal(announce(once, {startedAt: earliest, sequence: 3}, 5500).state.current?.announcement.lifetime.startedAt, earliest);
	// The one that has given way is an earlier one now, whatever its start says.
	assert.equal(announce(state, {startedAt: middle, sequence: 91}, 4000).state.current?.announcement.lifetime.startedAt, earliest);
});

test('a leave without a start ends the lifetime in use, but not one that has just followed another', () => {
	const before = announce(noLocalServer, {startedAt: earliest}).state;
	assert.equal(leave(before, {}, 100).change, 'draining');
	const after = announce(before, {startedAt: middle}, 100).state;
	assert.equal(leave(after, {}, 4000).change, 'none');
	assert.equal(leave(after, {}, 4000).state.current?.isLeaving, false);
	assert.equal(leave(after, {}, 6000).change, 'draining');
	assert.equal(leave(after, {startedAt: middle}, 200).change, 'draining');
});

test('a leave without a start that comes before anything else ends the first lifetime that is heard, not a later one', () => {
	const {state} = leave(noLocalServer);
	const late = announce(state, {startedAt: earliest, sequence: 7}, 1000).state;
	assert.equal(late.current, undefined);
	assert.equal(announce(late, {startedAt: earliest, sequence: 8}, 2000).state.current, undefined);
	assert.equal(announce(late, {startedAt: middle}, 2000).state.current?.announcement.lifetime.startedAt, middle);
	// Words are seconds late; whoever speaks for the first time long after that is another.
	assert.equal(announce(state, {startedAt: earliest, sequence: 7}, 60_000).state.current?.isLeaving, false);
});

test('a leave of a later start that was not heard yet ends the earlier one', () => {
	const before = announce(noLocalServer, {startedAt: earliest}).state;
	const left = leave(before, {startedAt: middle}, 100);
	assert.equal(left.change, 'draining');
	assert.equal(announce(left.state, {startedAt: middle, sequence: 3}, 200).state.current?.isLeaving, true);
	assert.equal(announce(left.state, {startedAt: latest}, 200).change, 'announced');
});

type ServerMessage = {readonly id: string; readonly startedAt: number; readonly sequence: number; readonly isDraining: boolean; readonly leaves: boolean};

test('property: whatever order, loss, delay and repetition do to the words of several lifetimes of few ids, no id goes back, and nobody who left is taken back', () => {
	const word: fc.Arbitrary<ServerMessage> = fc.record({
		id: fc.constantFrom('i-1', 'i-2'), startedAt: fc.constantFrom(earliest, middle, latest), sequence: fc.integer({min: 0, max: 9}), isDraining: fc.boolean(), leaves: fc.boolean(),
	});
	// The latest of all words come within the time in which whoever leads is fresh.
	fc.assert(fc.property(fc.array(fc.tuple(word, fc.integer({min: 0, max: 60})), {maxLength: 40}), words => {
		let state = noLocalServer;
		let now = 0;
		const newest = new Map<string, number>();
		const leaving = new Set<string>();
		for (const [{leaves, ...announced}, delayMs] of words) {
			now += delayMs;
			state = leaves ? leave(state, announced, now).state : announce(state, announced, now).state;
			const {current} = state;
			if (leaves || announced.isDraining) {
				leaving.add(`${announced.id} ${announced.startedAt}`);
			}

			if (current !== undefined) {
				const {id, startedAt} = current.announcement.lifetime;
				assert.ok(startedAt >= (newest.get(id) ?? 0), `${id} went back to ${startedAt}`);
				newest.set(id, startedAt);
				assert.ok(current.isLeaving || !leaving.has(`${id} ${startedAt}`), `${id} ${startedAt} was taken back`);
			}
		}
	}), {numRuns: 2000});
});

test('property: among all words of one id the newest lifetime leads in the end, and takes work unless it left', () => {
	const word = fc.record({
		startedAt: fc.constantFrom<number[]>(earliest, middle), sequence: fc.integer({min: 0, max: 9}), isDraining: fc.boolean(), leaves: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(word, {maxLength: 30}), fc.nat({max: 30}), (words, place) => {
		// The newest says nothing but that it is ready, once at least; all else may come before, after and more than once.
		const inOrder = words.toSpliced(Math.min(place, words.length), 0, {
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
