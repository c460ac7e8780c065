import assert from 'node:assert/strict';
import test from 'node:test';
import {drainNode, type DrainContext} from './drain-node.js';

function createContext(log: string[], changes: Partial<DrainContext> = {}): DrainContext {
	return {
		startDrainingServers() {
			log.push('gates');
		},
		startDrainingEntry() {
			log.push('entry');
		},
		async stopListening() {
			log.push('listener');
		},
		countCalls: () => 0,
		async waitUntilIdle() {
			log.push('idle');
			return true;
		},
		endCalls() {
			log.push('end');
		},
		leave() {
			log.push('left');
		},
		drainMs: 1000,
		...changes,
	};
}

test('drains the gates first, and publishes the leave only when nothing is in flight', async () => {
	const log: string[] = [];
	let calls = 3;
	const isDone = await drainNode(createContext(log, {
		countCalls() {
			calls--;
			log.push(`calls ${Math.max(0, calls)}`);
			return Math.max(0, calls);
		},
	}));
	assert.equal(isDone, true);
	assert.deepEqual(log.filter(entry => !entry.startsWith('calls')), ['gates', 'entry', 'idle', 'listener', 'end', 'left']);
	assert.ok(log.indexOf('calls 0') < log.indexOf('left'));
});

test('returns false if a call does not end in time', async () => {
	const log: string[] = [];
	assert.equal(await drainNode(createContext(log, {countCalls: () => 1, drainMs: 50})), false);
	assert.equal(log.at(-1), 'left');
});
