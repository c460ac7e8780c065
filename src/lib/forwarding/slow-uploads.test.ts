/** Guards against closing a connection between nodes while a large body is slowly sent over it. */
import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import test from 'node:test';
import {toAddress} from '../common/ids.js';
import {createCallScope} from './call-scope.js';
import {openPeerChannel, type ChannelResult} from './peer-channel.js';

const wait = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

test('a connection over which a large body is sent slowly is not closed while bytes are sent', async context => {
	let receivedBytes = 0;
	let peer: Socket | undefined;
	const server = createServer(socket => {
		peer = socket;
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			receivedBytes += bytes.length;
			socket.pause();
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const channel = openPeerChannel(toAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`), 5000, () => undefined);
	const scope = createCallScope(performance.now() + 60_000);
	context.after(() => {
		scope.dispose();
		channel.dispose();
		peer?.destroy();
		server.close();
	});
	let result: ChannelResult | 'waiting' = 'waiting';
	let unresponsiveReports = 0;
	void (async () => {
		result = await channel.send({
			type: 'request', head: [], body: new Uint8Array(8_000_000), scope,
			handleUnresponsive() {
				unresponsiveReports++;
			},
		});
	})();

	const receivedByCheck: number[] = [];
	for (let checks = 1; checks <= 12; checks++) {
		// One chunk of 64 KB per half second, which is half the capacity of a 2 Mbit/s link.
		peer?.resume();
		await wait(40);
		receivedByCheck.push(receivedBytes);
		const now = performance.now() + (checks * 500);
		channel.checkLiveness(now, () => now);
	}

	await wait(40);
	context.diagnostic(`bytes received by each check: ${receivedByCheck.join(' ')}; reports as unresponsive: ${unresponsiveReports}; result: ${JSON.stringify(result)}`);
	assert.ok(receivedByCheck.at(-1)! > receivedByCheck[1]!);
	assert.equal(result, 'waiting');
});
