import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import test, {type TestContext} from 'node:test';
import {expectSoon} from '../../../stand-ins/wait-until.js';
import {createFrameReader, type Frame} from './frame.js';
import {createLargeAnswers} from './large-answers.js';

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
const film = Buffer.alloc(24_000_000);

/** Megabits a second of a link that takes a minute for it, which no test waits for, and carries two answers at once. */
const slowMbps = 7;

test('over a slow link large answers leave two at a time, and small ones do not wait for them', async context => {
	const pairs = await openPairs(context, 4);
	const answers = createLargeAnswers(slowMbps);
	for (const [id, {near}] of pairs.entries()) {
		answers.write(near, {type: 'answer', id, body: film});
	}

	answers.write(pairs[3]!.near, {type: 'answer', id: 9, body: Buffer.alloc(100)});
	for (const {far} of pairs.slice(2)) {
		far.resume();
	}

	await expectSoon('the small answer is there', () => pairs[3]!.frames.some(({id}) => id === 9));
	assert.equal(pairs[2]!.frames.length, 0);
	pairs[0]!.far.resume();
	await expectSoon('the third one leaves', () => pairs[2]!.frames.length === 1);
	await expectSoon('the fourth one leaves', () => pairs[3]!.frames.length === 2);
});

test('a connection that closes gives its place back', async context => {
	const pairs = await openPairs(context, 3);
	const answers = createLargeAnswers(slowMbps);
	for (const [id, {near}] of pairs.entries()) {
		near.on('error', () => undefined);
		answers.write(near, {type: 'answer', id, body: film});
	}

	pairs[2]!.far.resume();
	pairs[0]!.near.destroy();
	await expectSoon('the third one leaves', () => pairs[2]!.frames.length === 1);
});

test('nodes that do not read what they are sent do not keep the answers of others back', async context => {
	const pairs = await openPairs(context, 3);
	context.mock.timers.enable({apis: ['setTimeout']});
	const answers = createLargeAnswers(slowMbps);
	for (const [id, {near}] of pairs.entries()) {
		answers.write(near, {type: 'answer', id, body: film});
	}

	context.mock.timers.tick(film.length * 8 / 1000 / slowMbps);
	assert.equal(pairs[2]!.near.writableLength, 0);
	context.mock.timers.tick(4 * film.length * 8 / 1000 / slowMbps);
	assert.ok(pairs[2]!.near.writableLength > 0);
});

test('answers that wait for room on the link are counted until they leave', async context => {
	const pairs = await openPairs(context, 4);
	const answers = createLargeAnswers(slowMbps);
	for (const [id, {near}] of pairs.entries()) {
		answers.write(near, {type: 'answer', id, body: film});
	}

	assert.equal(answers.countWaiting(), 2);
	for (const {far} of pairs) {
		far.resume();
	}

	await expectSoon('all have left', () => answers.countWaiting() === 0 && pairs.every(({near}) => near.writableLength === 0));
});
