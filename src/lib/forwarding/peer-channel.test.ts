import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type TestContext} from 'node:test';
import {toAddress} from '../common/ids.js';
import {encodeContinue} from './body-pieces.js';
import {createCallScope} from './call-scope.js';
import {createFrameReader, writeFrame, type Frame} from './frame.js';
import {createLinkWriter} from './link-writer.js';
import {
	openPeerChannel, type ChannelOptions, type ChannelResult, type PeerChannel,
} from './peer-channel.js';

/** Starts a gate that passes each frame to the handler, and opens a channel to it. */
async function openChannelTo(context: TestContext, handleFrame: (frame: Frame, socket: Socket) => void, options: ChannelOptions = {}): Promise<PeerChannel> {
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
	const channel = openPeerChannel(toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), 5000, () => undefined, options);
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

/** Bandwidth at which `uploadBody` takes 0.3 s, in megabits per second. */
const slowMbps = 10;
const uploadBody = new Uint8Array(300_000);

type UploadFixture = {
	readonly channel: PeerChannel;
	readonly frames: readonly Frame[];
	/** Sends an upload that ends after a time. */
	readonly upload: (endsAfterMs: number) => Promise<ChannelResult>;
};

/** Starts a gate that asks for the body of each offer with the given head. */
async function startUploads(context: TestContext, continueHead: unknown): Promise<UploadFixture> {
	const frames: Frame[] = [];
	const channel = await openChannelTo(context, (frame, socket) => {
		frames.push(frame);
		if (frame.type === 'offer') {
			writeFrame(socket, {type: 'continue', id: frame.id, head: continueHead});
		}
	}, {link: createLinkWriter(slowMbps)});
	return {
		channel,
		frames,
		async upload(endsAfterMs) {
			const scope = createCallScope(performance.now() + endsAfterMs);
			context.after(scope.dispose);
			return channel.send({
				type: 'offer', head: [], body: uploadBody, scope,
			});
		},
	};
}

const hasBody = (frames: readonly Frame[]): boolean => frames.some(({type, body}) => type === 'body' && body.length > 0);

// Guards against an unknown verdict on an upload of which the gate never had the whole body, and against one that the gate runs although its caller has left.
test('an upload whose body ends on its way was not sent, and its gate is told at once', async context => {
	const {frames, upload} = await startUploads(context, encodeContinue());
	const result = await upload(150);
	assert.ok(result.type === 'failed');
	assert.equal(result.isSent, false);
	await settle();
	assert.equal(frames.at(-1)?.type, 'cancel');
	await settle();
	assert.equal(hasBody(frames), false);
});

// Guards against a gate of an earlier release that gets frames which it does not know.
test('the body of an upload is sent whole to a gate that does not accept pieces', async context => {
	const {frames, upload} = await startUploads(context, undefined);
	const result = await upload(600);
	assert.ok(result.type === 'failed');
	assert.equal(result.isSent, true);
	assert.deepEqual(frames.map(({type}) => type).filter(type => type !== 'cancel'), ['offer', 'body']);
	assert.equal(frames[1]!.body.length, uploadBody.length);
});

test('only uploads that cannot be sent by the time at which the node stops are ended early', async context => {
	const {channel, upload} = await startUploads(context, encodeContinue());
	const startedAt = performance.now();
	const inTime = upload(2000);
	const late = upload(2000);
	await settle();
	// The link is done with the first after 0.3 s, and with the second after 0.6 s.
	channel.endLateUploads(startedAt + 450);
	const result = await late;
	assert.ok(result.type === 'failed');
	assert.equal(result.isSent, false);
	assert.ok(performance.now() - startedAt < 200);
	assert.equal(await Promise.race([inTime, settle()]), undefined);
});
