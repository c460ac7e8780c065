import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import test, {type TestContext} from 'node:test';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {createFrameReader, type Frame} from './frame.js';
import {createLinkWriter} from './link-writer.js';

/** Connections whose other ends read nothing until they are told to. */
async function openPairs(context: TestContext, count: number): Promise<ReadonlyArray<{readonly near: Socket; readonly far: Socket; readonly frames: Frame[]}>> {
	const ends: Socket[] = [];
	const server = createServer({pauseOnConnect: true}, socket => {
		ends.push(socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const pairs = [];
	for (let index = 0; index < count; index++) {
		const near = connect((server.address() as AddressInfo).port, '127.0.0.1');
		await expectSoon('connected', () => ends.length > index);
		const far = ends[index]!;
		const reader = createFrameReader();
		const frames: Frame[] = [];
		far.on('data', bytes => {
			frames.push(...reader.read(bytes));
		});
		far.pause();
		context.after(() => {
			near.destroy();
			far.destroy();
		});
		pairs.push({near, far, frames});
	}

	context.after(() => {
		server.close();
	});
	return pairs;
}

/** More than the buffers of a connection on this machine take. */
const hugeBody = Buffer.alloc(24_000_000);

/** Megabits a second of a link that carries it in a fifth of a second. */
const fastMbps = 1000;

/** Takes a third of a second over the slow link. */
const largeBody = Buffer.alloc(300_000);
const slowMbps = 7;

test('over a slow link large answers leave one after the other, and small ones do not wait for them', async context => {
	const pairs = await openPairs(context, 4);
	const answers = createLinkWriter(slowMbps);
	for (const {far} of pairs) {
		far.resume();
	}

	for (const [id, {near}] of pairs.entries()) {
		answers.write(near, {type: 'answer', id, body: largeBody});
	}

	answers.write(pairs[3]!.near, {type: 'answer', id: 9, body: Buffer.alloc(100)});
	await expectSoon('the small answer is there', () => pairs[3]!.frames.some(({id}) => id === 9));
	assert.deepEqual(pairs.map(({frames}) => frames.length), [0, 0, 0, 1]);
	await expectSoon('the first one is there', () => pairs[0]!.frames.length === 1);
	assert.deepEqual(pairs.map(({frames}) => frames.length), [1, 0, 0, 1]);
	await expectSoon('the third one is there', () => pairs[2]!.frames.length === 1);
	assert.deepEqual(pairs.map(({frames}) => frames.length), [1, 1, 1, 1]);
	await expectSoon('the fourth one is there', () => pairs[3]!.frames.length === 2);
});

test('a connection that closes gives its place back', async context => {
	const pairs = await openPairs(context, 3);
	const answers = createLinkWriter(fastMbps);
	for (const [id, {near}] of pairs.entries()) {
		near.on('error', () => undefined);
		answers.write(near, {type: 'answer', id, body: hugeBody});
	}

	pairs[0]!.near.destroy();
	pairs[2]!.far.resume();
	await expectSoon('the third one leaves', () => pairs[2]!.frames.length === 1);
	assert.equal(answers.countQueued(), 1);
});

test('nodes that do not read what they are sent do not keep the answers of others back', async context => {
	const pairs = await openPairs(context, 3);
	const answers = createLinkWriter(fastMbps);
	for (const [id, {near}] of pairs.entries()) {
		answers.write(near, {type: 'answer', id, body: hugeBody});
	}

	pairs[2]!.far.resume();
	await expectSoon('the third one leaves', () => pairs[2]!.frames.length === 1);
	assert.deepEqual(pairs.map(({frames}) => frames.length), [0, 0, 1]);
	assert.equal(answers.countQueued(), 2);
});

test('answers that wait for room on the link are counted until they leave', async context => {
	const pairs = await openPairs(context, 4);
	const answers = createLinkWriter(fastMbps);
	for (const [id, {near}] of pairs.entries()) {
		answers.write(near, {type: 'answer', id, body: hugeBody});
	}

	assert.equal(answers.countQueued(), 4);
	assert.equal(answers.countQueuedBytes(pairs[3]!.near), hugeBody.length);
	for (const {far} of pairs) {
		far.resume();
	}

	await expectSoon('all have left', () => answers.countQueued() === 0 && pairs.every(({near}) => near.writableLength === 0));
	await expectSoon('all have arrived', () => pairs.every(({frames}) => frames.length === 1));
});

test('an answer that nobody waits for any more does not leave, unless it has begun to', async context => {
	const [pair] = await openPairs(context, 1);
	const answers = createLinkWriter(slowMbps);
	pair!.far.resume();
	for (const id of [1, 2, 3]) {
		answers.write(pair!.near, {type: 'answer', id, body: largeBody});
	}

	answers.cancel(pair!.near, 1);
	answers.cancel(pair!.near, 2);
	await expectSoon('what is left has arrived', () => pair!.frames.length === 2);
	assert.deepEqual(pair!.frames.map(({id, body}) => [id, body.length]), [[1, largeBody.length], [3, largeBody.length]]);
	assert.equal(answers.countQueued(), 0);
});

test('what comes while a large answer leaves on the same connection follows it whole, and what goes first does not wait for others', async context => {
	const pairs = await openPairs(context, 2);
	const answers = createLinkWriter(slowMbps);
	for (const {far} of pairs) {
		far.resume();
	}

	answers.write(pairs[0]!.near, {type: 'answer', id: 1, body: largeBody});
	answers.write(pairs[1]!.near, {type: 'answer', id: 2, body: largeBody});
	answers.write(pairs[0]!.near, {type: 'pong', id: 0});
	answers.writeUrgent(pairs[1]!.near, {type: 'answer', id: 3, body: Buffer.alloc(40_000)});
	await expectSoon('all have arrived', () => pairs.every(({frames}) => frames.length === 2));
	assert.deepEqual(pairs.map(({frames}) => frames.map(({id, body}) => [id, body.length])), [[[1, largeBody.length], [0, 0]], [[3, 40_000], [2, largeBody.length]]]);
});
