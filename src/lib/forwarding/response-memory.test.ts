import assert from 'node:assert/strict';
import test from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {createMemoryLedger} from '../memory/memory-ledger.js';
import {createResponseMemory, type ResponseAccount, type ResponseMemory} from './response-memory.js';

function createMemory(limitBytes: number): ResponseMemory {
	return createResponseMemory(createMemoryLedger({bufferBytes: limitBytes, requestBytes: limitBytes}), 0);
}

function openNamed(memory: ResponseMemory, ended: string[], name: string): ResponseAccount {
	return memory.open(() => {
		ended.push(name);
	});
}

// An endless response must not take the memory that responses of honest size need.
test('the largest response is ended when all together exceed the limit', () => {
	const ended: string[] = [];
	const memory = createMemory(100);
	const small = openNamed(memory, ended, 'small');
	const endless = openNamed(memory, ended, 'endless');
	memory.add(small, 30);
	memory.add(endless, 70);
	assert.deepEqual(ended, []);
	memory.add(small, 1);
	assert.deepEqual(ended, ['endless']);
	memory.add(endless, 1000);
	memory.add(small, 69);
	assert.deepEqual(ended, ['endless']);
});

test('the bytes of a closed response are free again', () => {
	const ended: string[] = [];
	const memory = createMemory(100);
	const first = openNamed(memory, ended, 'first');
	memory.add(first, 100);
	memory.close(first);
	memory.close(first);
	memory.add(openNamed(memory, ended, 'second'), 100);
	assert.deepEqual(ended, []);
});

type Response = {readonly account: ResponseAccount; readonly events: string[]};

function createResponses(count: number) {
	const ledger = createMemoryLedger({bufferBytes: 1000, requestBytes: 1000});
	const memory = createResponseMemory(ledger, 0);
	const responses = Array.from({length: count}, (): Response => {
		const events: string[] = [];
		const account = memory.open(() => {
			events.push('exceeded');
		});
		account.connection = {
			setReading(isReading) {
				events.push(isReading ? 'resume' : 'pause');
			},
		};
		return {account, events};
	});
	return {ledger, memory, responses};
}

// Guards against answers that are broken off although their server would wait: most are not read further while little room is left.
test('while little room is left only the oldest responses are read, and the others are read again as it becomes free', () => {
	const {memory, responses} = createResponses(7);
	for (const {account} of responses) {
		memory.add(account, 110);
	}

	assert.deepEqual(responses.map(({events}) => events), [[], [], [], [], [], [], ['pause']]);
	memory.close(responses[0]!.account);
	assert.deepEqual(responses[6]!.events, ['pause', 'resume']);
});

// Guards against a connection that is used again and not read, since the last part of a response had paused it.
test('a response that ends while it is not read is read again', () => {
	const {memory, responses} = createResponses(6);
	for (const {account} of responses) {
		memory.add(account, 150);
	}

	assert.deepEqual(responses[5]!.events, ['pause']);
	memory.close(responses[5]!.account);
	assert.deepEqual(responses[5]!.events, ['pause', 'resume']);
	memory.close(responses[5]!.account);
	assert.deepEqual(responses[5]!.events, ['pause', 'resume']);
});

// Guards against responses without an end at the expense of small ones.
test('a response that exceeds the bound alone is given up, and what the others hold stays', () => {
	const {ledger, memory, responses} = createResponses(3);
	memory.add(responses[1]!.account, 50);
	for (let bytes = 0; bytes < 2000; bytes += 100) {
		memory.add(responses[0]!.account, 100);
	}

	assert.deepEqual(responses.map(({events}) => events), [['exceeded'], [], []]);
	assert.equal(ledger.count('buffers'), 50);
});

/** Longer than a client may be without progress, in milliseconds. */
const silentMs = 1100;

// Guards against a request that ends while its server works, since the gate, or the server, has paused its response for a second and others need room.
test('a response that no byte was read of for a time is not given up for what others need', async () => {
	const {ledger, memory, responses} = createResponses(6);
	for (const {account} of responses) {
		memory.add(account, 150);
	}

	await sleep(silentMs);
	assert.ok(!ledger.clearRoom('buffers', 200));
	assert.deepEqual(responses.map(({events}) => events.includes('exceeded')), responses.map(() => false));
});
