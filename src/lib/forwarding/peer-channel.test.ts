import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {toAddress} from '../common/ids.js';
import {createCallScope} from './call-scope.js';
import {createFrameReader, writeFrame, type Frame} from './frame.js';
import {openPeerChannel, type ChannelResult, type PeerChannel} from './peer-channel.js';

/** A gate that treats frames as it is told. */
async function openTo(context: TestContext, handleFrame: (frame: Frame, socket: Socket) => void): Promise<PeerChannel> {
	const server = createServer(socket => {
		const reader = createFrameReader();
		socket.on('data', (bytes: Uint8Array) => {
			for (const frame of reader.read(bytes)) {
				handleFrame(frame, socket);
			}
		});
		socket.on('error', () => undefined);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const channel = openPeerChannel(toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), 5000, () => undefined);
	context.after(() => {
		channel.dispose();
		server.close();
	});
	return channel;
}

/** Sends a request and has the channel checked as a node does, on a clock that runs ahead by so much each time. */
async function sendAndCheck(context: TestContext, channel: PeerChannel, getHeardAt: (now: number) => number | undefined, checks: number): Promise<ChannelResult | 'waiting'> {
	const scope = createCallScope(performance.now() + 60_000);
	context.after(scope.dispose);
	let result: ChannelResult | 'waiting' = 'waiting';
	const send = async (): Promise<void> => {
		result = await channel.send({
			type: 'request', head: [], body: undefined, scope,
		});
	};

	void send();
	for (let check = 1; check <= checks; check++) {
		// Lets what is under way on the loopback arrive.
		await new Promise(resolve => {
			setTimeout(resolve, 40);
		});
		const now = performance.now() + (check * 500);
		channel.checkSilence(now, () => getHeardAt(now));
	}

	await new Promise(resolve => {
		setTimeout(resolve, 40);
	});
	return result;
}

test('a connection on which nothing arrives any more is given up while its node is heard', async context => {
	const channel = await openTo(context, () => undefined);
	const result = await sendAndCheck(context, channel, now => now, 5);
	assert.ok(result !== 'waiting' && result.type === 'failed');
	assert.equal(result.reason, 'connection-lost');
	assert.equal(result.isSent, true);
	assert.equal(channel.isUsable(), false);
});

test('a node that only takes long, or that is not heard at all, keeps its connection', async context => {
	const slow = await openTo(context, (frame, socket) => {
		if (frame.type === 'ping') {
			writeFrame(socket, {type: 'pong', id: frame.id});
		}
	});
	assert.equal(await sendAndCheck(context, slow, now => now, 8), 'waiting');
	assert.equal(slow.isUsable(), true);
	const silent = await openTo(context, () => undefined);
	assert.equal(await sendAndCheck(context, silent, () => undefined, 8), 'waiting');
	assert.equal(silent.isUsable(), true);
});

test('a node that was heard shortly before, and stands still since, keeps its connection', async context => {
	const still = await openTo(context, () => undefined);
	const heardAt = performance.now() + 400;
	assert.equal(await sendAndCheck(context, still, () => heardAt, 8), 'waiting');
	assert.equal(still.isUsable(), true);
});
