/**
 * Pauses of the process, and input that arrives during one, for tests of the order in
 * which timers and sockets are handled afterwards.
 *
 * @module
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {type TestContext} from 'node:test';

/**
 * Keeps the event loop busy, as a pause of the process does.
 *
 * @param milliseconds - How long.
 */
export function blockEventLoop(milliseconds: number): void {
	const endsAt = performance.now() + milliseconds;
	while (performance.now() < endsAt) {
		// Neither timers nor sockets are handled meanwhile.
	}
}

/**
 * Opens a connection over the loopback interface, which is closed after the test.
 *
 * @param context - The test.
 * @returns Its two ends.
 */
export async function openSocketPair(context: TestContext): Promise<{readonly near: Socket; readonly far: Socket}> {
	const server = createServer({noDelay: true});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const near = connect((server.address() as AddressInfo).port, '127.0.0.1');
	const [far] = await once(server, 'connection') as [Socket];
	await new Promise<void>(resolve => {
		if (near.connecting) {
			near.once('connect', resolve);
		} else {
			resolve();
		}
	});
	context.after(() => {
		near.destroy();
		far.destroy();
		server.close();
	});
	return {near, far};
}
