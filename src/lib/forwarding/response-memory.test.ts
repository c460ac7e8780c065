import assert from 'node:assert/strict';
import test from 'node:test';
import {createResponseMemory, type ResponseAccount, type ResponseMemory} from './response-memory.js';

function openNamed(memory: ResponseMemory, ended: string[], name: string): ResponseAccount {
	return memory.open(() => {
		ended.push(name);
	});
}

// An endless response must not take the memory that responses of honest size need.
test('the largest response is ended when all together exceed the limit', () => {
	const ended: string[] = [];
	const memory = createResponseMemory(100);
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
	const memory = createResponseMemory(100);
	const first = openNamed(memory, ended, 'first');
	memory.add(first, 100);
	memory.close(first);
	memory.close(first);
	memory.add(openNamed(memory, ended, 'second'), 100);
	assert.deepEqual(ended, []);
});
