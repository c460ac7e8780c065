import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import test, {type TestContext} from 'node:test';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {createFrameReader, type Frame} from './frame.js';
import {createLinkWriter} from './link-writer.js';

/** Opens connections whose far ends are paused. */
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

/** Larger than the socket buffers of a connection on this machine. */
const hugeBody = Buffer.alloc(24_000_000);

/** Bandwidth at which `hugeBody` takes a fifth of a second, in megabits per second. */
const fastMbps = 1000;

/** Takes a third of a second at `slowMbps`. */
const largeBody = Buffer.alloc(300_000);
const slowMbps = 7;

test('large responses are sent one after another over a slow link, and small ones do not wait for them', async context => {
	const pairs = await openPairs(context, 4);
	const answers = createLinkWriter(slowMbps);
	for (const {far} of pairs) {
		far.resume();
	}

	for (const [id, {near}] of pairs.entries()) {
		answers.write(near, {type: 'answer', id, body: largeBody});
	}

	answers.write(pairs[3]!.near, {type: 'answer', id: 9, body: Buffer.alloc(100)});
	await expectSoon('the small response has arrived', () => pairs[3]!.frames.some(({id}) => id === 9));
	assert.deepEqual(pairs.map(({frames}) => frames.length), [0, 0, 0, 1]);
	await expectSoon('the first large response has arrived', () => pairs[0]!.frames.length === 1);
	assert.deepEqual(pairs.map(({frames}) => frames.length), [1, 0, 0, 1]);
	await expectSoon('the third large response has arrived', () => pairs[2]!.frames.length === 1);
	assert.deepEqual(pairs.map(({frames}) => frames.length), [1, 1, 1, 1]);
	await expectSoon('the fourth large response has arrived', () => pairs[3]!.frames.length === 2);
});

test('a closed connection releases its place in the queue', async context => {
	const pairs = await openPairs(context, 3);
	const answers = createLinkWriter(fastMbps);
	for (const [id, {near}] of pairs.entries()) {
		near.on('error', () => undefined);
		answers.write(near, {type: 'answer', id, body: hugeBody});
	}

	pairs[0]!.near.destroy();
	pairs[2]!.far.resume();
	await expectSoon('the third response has arrived', () => pairs[2]!.frames.length === 1);
	assert.equal(answers.countQueued(), 1);
});

test('nodes that do not read do not delay the responses to other nodes', async context => {
	const pairs = await openPairs(context, 3);
	const answers = createLinkWriter(fastMbps);
	for (const [id, {near}] of pairs.entries()) {
		answers.write(near, {type: 'answer', id, body: hugeBody});
	}

	pairs[2]!.far.resume();
	await expectSoon('the third response has arrived', () => pairs[2]!.frames.length === 1);
	assert.deepEqual(pairs.map(({frames}) => frames.length), [0, 0, 1]);
	assert.equal(answers.countQueued(), 2);
});

test('responses queued for the link are counted until they are sent', async context => {
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

	await expectSoon('all responses are sent', () => answers.countQueued() === 0 && pairs.every(({near}) => near.writableLength === 0));
	await expectSoon('all have arrived', () => pairs.every(({frames}) => frames.length === 1));
});

test('a cancelled response is not sent unless it is partly written', async context => {
	const [pair] = await openPairs(context, 1);
	const answers = createLinkWriter(slowMbps);
	pair!.far.resume();
	for (const id of [1, 2, 3]) {
		answers.write(pair!.near, {type: 'answer', id, body: largeBody});
	}

	answers.cancel(pair!.near, 1);
	answers.cancel(pair!.near, 2);
	await expectSoon('the remaining responses have arrived', () => pair!.frames.length === 2);
	assert.deepEqual(pair!.frames.map(({id, body}) => [id, body.length]), [[1, largeBody.length], [3, largeBody.length]]);
	assert.equal(answers.countQueued(), 0);
});

test('frames queued behind a large response on the same connection are sent after it, and urgent frames do not wait for other connections', async context => {
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

// Guards against a body that its sender gives up and a gate gets all the same, and against small frames that wait for it.
test('a body in pieces lets other frames of its connection pass, and what is not written of it is withdrawn', async context => {
	const [pair] = await openPairs(context, 1);
	const answers = createLinkWriter(slowMbps);
	pair!.far.resume();
	answers.writeInPieces(pair!.near, {type: 'body', id: 1, body: largeBody});
	answers.writeInPieces(pair!.near, {type: 'body', id: 2, body: largeBody});
	await expectSoon('a piece has arrived', () => pair!.frames.length > 0);
	const estimateMs = answers.estimateMs(pair!.near, 2) ?? 0;
	assert.ok(estimateMs > 400 && estimateMs < 800, `${estimateMs} ms`);
	answers.write(pair!.near, {type: 'cancel', id: 9});
	await expectSoon('the small frame has arrived', () => pair!.frames.some(({id}) => id === 9));
	assert.equal(answers.cancel(pair!.near, 1), true);
	assert.equal(answers.cancel(pair!.near, 1), false);
	await expectSoon('the second body has arrived', () => pair!.frames.some(({type, id}) => type === 'body' && id === 2));
	assert.equal(pair!.frames.some(({type, id}) => type === 'body' && id === 1), false);
	const second = pair!.frames.filter(({id}) => id === 2);
	assert.equal(second.reduce((sum, {body}) => sum + body.length, 0), largeBody.length);
	assert.deepEqual(second.map(({type}) => type), [...second.slice(1).map(() => 'piece'), 'body']);
	assert.equal(answers.cancel(pair!.near, 2), false);
	assert.equal(answers.countQueued(), 0);
});
