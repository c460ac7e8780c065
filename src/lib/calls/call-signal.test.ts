import assert from 'node:assert/strict';
import {type ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'node:test';
import {blockEventLoop, openSocketPair} from '../../../stand-ins/event-loop.js';
import {createCallSignals} from './call-signal.js';

/** Creates a response of which only the events of a stream are used. */
const createResponse = (): ServerResponse => new PassThrough() as unknown as ServerResponse;

// Guards against a response that is dropped although it arrived before the deadline, since the timer of the deadline runs first after a pause of the process.
test('a signal does not abort before a response is read that arrived during a pause', async context => {
	const {near, far} = await openSocketPair(context);
	const response = createResponse();
	const signal = createCallSignals().create(response, 30);
	near.once('data', () => {
		response.emit('close');
	});
	let isAborted = false;
	signal.addEventListener('abort', () => {
		isAborted ||= (signal.reason as Error).name === 'TimeoutError';
	});
	far.write('response');
	blockEventLoop(100);
	await sleep(20);
	assert.equal(isAborted, false);

	const late = createCallSignals().create(createResponse(), 30);
	blockEventLoop(100);
	await sleep(20);
	assert.equal(late.aborted, true);
});
