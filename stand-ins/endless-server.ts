/**
 * A stand-in for a backend server in trouble: it begins each response and sends bytes
 * without end until its connection is closed.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {type TestContext} from 'node:test';

/** Bytes of one write. */
const writeBytes = 65_536;

/** Sends a text again and again, as fast as it is read. */
function sendEndlessly(socket: Socket, text: string): void {
	const chunk = Buffer.from(text.repeat(Math.ceil(writeBytes / text.length)));
	const sendMore = (): void => {
		let mayContinue = true;
		while (mayContinue && !socket.destroyed) {
			mayContinue = socket.write(chunk);
		}
	};

	socket.on('drain', sendMore);
	sendMore();
}

/**
 * Starts the server.
 *
 * @param context - The test, which ends the server.
 * @param createStart - Returns the beginning of the response to a request head.
 * @param text - What follows, again and again.
 * @returns `IP:PORT` at which it listens.
 */
export async function startEndlessServer(context: TestContext, createStart: (requestHead: string) => string, text = 'x'): Promise<string> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('data', (bytes: Uint8Array) => {
			socket.write(createStart(Buffer.from(bytes).toString('latin1')), 'latin1');
			sendEndlessly(socket, text);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}
