/**
 * A TCP proxy before a server that carries what the server sends no faster than a
 * network link, over all connections together.
 *
 * @module
 */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseAddress} from '../src/lib/common/address.js';
import {toAddress} from '../src/lib/common/ids.js';

export type SlowLink = {
	/** `HOST:PORT` at which clients reach the server. */
	readonly address: string;
	/** Returns the bytes carried to clients so far. */
	readonly countBytes: () => number;
	readonly close: () => Promise<void>;
};

/** Connections share the link in pieces of this size. */
const pieceBytes = 8192;

/** Bytes that the link would have carried in this time are carried at once, so that a timer that fires late does not slow it down. */
const maxLateMs = 20;

/**
 * Starts a proxy on a free port of the loopback address.
 *
 * @param target - `HOST:PORT` of the server.
 * @param linkMbps - Bandwidth in megabits per second.
 * @returns The proxy.
 */
export async function startSlowLink(target: string, linkMbps: number): Promise<SlowLink> {
	const {host, port} = parseAddress(toAddress(target));
	const bytesPerMs = linkMbps * 125;
	const sockets = new Set<Socket>();
	let freeAt = 0;
	let carriedBytes = 0;

	const sendPiece = async (piece: Uint8Array): Promise<void> => {
		const now = performance.now();
		freeAt = Math.max(freeAt, now - maxLateMs) + (piece.length / bytesPerMs);
		await sleep(Math.max(0, freeAt - now));
		carriedBytes += piece.length;
	};

	const forwardSlowly = async (from: Socket, to: Socket): Promise<void> => {
		try {
			for await (const bytes of from) {
				const chunk = bytes as Uint8Array;
				for (let start = 0; start < chunk.length && !to.destroyed; start += pieceBytes) {
					const piece = chunk.subarray(start, start + pieceBytes);
					await sendPiece(piece);
					to.write(piece);
				}
			}
		} catch {
			// The connection was reset; the close event of the other one follows.
		}

		to.end();
	};

	const watchClose = (socket: Socket, other: Socket): void => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
			other.destroy();
		});
	};

	const server = createServer({noDelay: true}, socket => {
		const upstream = connect({host, port, noDelay: true});
		watchClose(socket, upstream);
		watchClose(upstream, socket);
		socket.pipe(upstream);
		void forwardSlowly(upstream, socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		countBytes: () => carriedBytes,
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
