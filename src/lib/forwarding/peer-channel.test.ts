import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {toAddress} from '../common/ids.js';
import {createCallScope} from './call-scope.js';
import {createFrameReader, writeFrame, type Frame} from './frame.js';
import {openPeerChannel, type ChannelResult, type PeerChannel} from './peer-channel.js';

/** Starts a gate that passes each frame to the handler, and opens a channel to it. */
async function openChannelTo(context: TestContext, handleFrame: (frame: Frame, socket: Socket) => void): Promise<PeerChannel> {
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

type CheckedRequest = {
	readonly getResult: () => ChannelResult | 'waiting';
	readonly countUnresponsiveReports: () => number;
	/** Checks the channel as a node does periodically, half a second later each time. */
	readonly check: (times: number) => Promise<void>;
};

/** Waits until bytes in flight on the loopback interface have arrived. */
const settle = async (): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, 40);
});

/** Sends a request; the checks of its channel run on a clock that each check advances by half a second. */
function sendChecked(context: TestContext, channel: PeerChannel, getHeardAt: (now: number) => number | undefined): CheckedRequest {
	const scope = createCallScope(performance.now() + 60_000);
	context.after(scope.dispose);
	let result: ChannelResult | 'waiting' = 'waiting';
	let unresponsiveReports = 0;
	let checks = 0;
	const send = async (): Promise<void> => {
		result = await channel.send({
			type: 'request', head: [], body: undefined, scope,
			handleUnresponsive() {
				unresponsiveReports++;
			},
		});
	};

	void send();
	return {
		getResult: () => result,
		countUnresponsiveReports: () => unresponsiveReports,
		async check(times) {
			for (let left = times; left > 0; left--) {
				await settle();
				checks++;
				const now = performance.now() + (checks * 500);
				channel.checkLiveness(now, () => getHeardAt(now));
			}

			await settle();
		},
	};
}

async function sendAndCheck(context: TestContext, channel: PeerChannel, getHeardAt: (now: number) => number | undefined, checks: number): Promise<ChannelResult | 'waiting'> {
	const checked = sendChecked(context, channel, getHeardAt);
	await checked.check(checks);
	return checked.getResult();
}

test('a connection on which nothing arrives although its node is heard accepts no new requests, and is closed later', async context => {
	const channel = await openChannelTo(context, () => undefined);
	const checked = sendChecked(context, channel, now => now);
	await checked.check(5);
	assert.equal(channel.isUsable(), false);
	assert.ok(checked.countUnresponsiveReports() > 0);
	assert.equal(checked.getResult(), 'waiting');
	await checked.check(6);
	const result = checked.getResult();
	assert.ok(result !== 'waiting' && result.type === 'failed');
	assert.equal(result.reason, 'connection-lost');
	assert.equal(result.isSent, true);
});

test('a request on an unresponsive connection is still answered if the answer arrives', async context => {
	let answer = (): void => undefined;
	const channel = await openChannelTo(context, (frame, socket) => {
		if (frame.type === 'request') {
			answer = () => {
				writeFrame(socket, {type: 'answer', id: frame.id, head: 'late'});
			};
		}
	});
	const checked = sendChecked(context, channel, now => now);
	await checked.check(5);
	assert.equal(channel.isUsable(), false);
	answer();
	await settle();
	const result = checked.getResult();
	assert.ok(result !== 'waiting' && result.type === 'answered');
	assert.equal(result.head, 'late');
});

test('the connection to a slow node, or to a node that is not heard at all, stays in use', async context => {
	const slow = await openChannelTo(context, (frame, socket) => {
		if (frame.type === 'ping') {
			writeFrame(socket, {type: 'pong', id: frame.id});
		}
	});
	assert.equal(await sendAndCheck(context, slow, now => now, 8), 'waiting');
	assert.equal(slow.isUsable(), true);
	const silent = await openChannelTo(context, () => undefined);
	assert.equal(await sendAndCheck(context, silent, () => undefined, 8), 'waiting');
	assert.equal(silent.isUsable(), true);
});

test('the connection to a node that was last heard shortly before it paused stays in use', async context => {
	const frozen = await openChannelTo(context, () => undefined);
	const heardAt = performance.now() + 400;
	assert.equal(await sendAndCheck(context, frozen, () => heardAt, 8), 'waiting');
	assert.equal(frozen.isUsable(), true);
});

test('a retired connection sends a ping, so that a process that has restarted resets it', async context => {
	const frames: Frame[] = [];
	const channel = await openChannelTo(context, frame => {
		frames.push(frame);
	});
	const checked = sendChecked(context, channel, now => now);
	await settle();
	channel.retire();
	await settle();
	assert.deepEqual(frames.map(({type}) => type), ['request', 'ping']);
	assert.equal(checked.getResult(), 'waiting');
});
