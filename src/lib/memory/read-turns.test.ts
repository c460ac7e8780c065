import assert from 'node:assert/strict';
import {Socket} from 'node:net';
import test from 'node:test';
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {createReadTurns} from './read-turns.js';

// Guards against many connections that are read in one iteration, each with hundreds of requests, before any can be closed.
test('delayed connections are read a few at a time, and one that has closed is forgotten', async () => {
	const sockets = Array.from({length: 10}, () => new Socket());
	const turns = createReadTurns(() => true);
	turns.delay(sockets);
	turns.forget(sockets[9]!);
	const countDelayed = (): number => sockets.filter(socket => turns.isDelayed(socket)).length;
	assert.deepEqual([countDelayed(), sockets[0]!.isPaused()], [9, true]);
	let before = countDelayed();
	for (let iterations = 0; iterations < 20 && countDelayed() > 0; iterations++) {
		await waitForImmediate();
		assert.ok(before - countDelayed() <= 4);
		before = countDelayed();
	}

	assert.deepEqual([countDelayed(), sockets[0]!.isPaused()], [0, false]);
});

// Guards against connections that are never made to wait, since one that sends all the time always does.
test('a round ends with the turn of its last connection, whoever waits behind it', async () => {
	const sockets = Array.from({length: 6}, () => new Socket());
	const turns = createReadTurns(() => true);
	const later = new Socket();
	assert.equal(turns.isInRound(), false);
	turns.startRound(sockets);
	for (let iterations = 0; iterations < 20 && turns.isInRound(); iterations++) {
		turns.delay([later]);
		await waitForImmediate();
	}

	assert.deepEqual([turns.isInRound(), sockets.some(socket => turns.isDelayed(socket))], [false, false]);
});
