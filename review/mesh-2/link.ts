/**
 * A proxy before the store that carries bytes to one machine no faster than the link of that
 * machine, over all of its connections together.
 *
 * @module
 */
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

export type StoreLink = {
	/** `IP:PORT` at which the machine reaches the store. */
	readonly address: string;
	/** Returns the bytes carried so far. */
	readonly countBytes: () => number;
	readonly close: () => Promise<void>;
};

/** Bytes are carried in pieces of at most this size, so that connections share the link. */
const pieceBytes = 8192;

/** A link that was not used because a timer fired late carries the bytes of this time at once, in milliseconds. */
const catchUpMs = 20;

/**
 * Starts the proxy on a free port of a loopback address.
 *
 * @param host - The loopback address.
 * @param storeAddress - `IP:PORT` of the store.
 * @param linkMbps - Bandwidth in megabits per second.
 * @returns The proxy, once it listens.
 */
export async function startStoreLink(host: string, storeAddress: string, linkMbps: number): Promise<StoreLink> {
	const [storeHost, storePort] = storeAddress.split(':');
	const bytesPerMs = linkMbps * 125;
	const sockets = new Set<Socket>();
	let drainedAt = 0;
	let carried = 0;

	/** Writes a piece once the link has carried everything before it. */
	const carry = (target: Socket, piece: Uint8Array, handleCarried: () => void): void => {
		const now = performance.now();
		drainedAt = Math.max(drainedAt, now - catchUpMs) + (piece.length / bytesPerMs);
		setTimeout(() => {
			carried += piece.length;
			if (!target.destroyed) {
				target.write(piece);
			}

			handleCarried();
		}, Math.max(0, drainedAt - now));
	};

	const forwardSlowly = (source: Socket, target: Socket): void => {
		const queue: Uint8Array[] = [];
		let isCarrying = false;
		let hasEnded = false;
		const step = (): void => {
			const piece = queue.shift();
			if (piece === undefined) {
				isCarrying = false;
				if (hasEnded) {
					target.end();
				} else {
					source.resume();
				}

				return;
			}

			isCarrying = true;
			carry(target, piece, step);
		};

		source.on('data', (bytes: Uint8Array) => {
			source.pause();
			for (let start = 0; start < bytes.length; start += pieceBytes) {
				queue.push(bytes.subarray(start, start + pieceBytes));
			}

			if (!isCarrying) {
				step();
			}
		});
		source.once('end', () => {
			hasEnded = true;
			if (!isCarrying) {
				target.end();
			}
		});
	};

	const track = (socket: Socket, other: Socket): void => {
		sockets.add(socket);
		socket.on('error', () => {
			other.destroy();
		});
		socket.once('close', () => {
			sockets.delete(socket);
			other.destroy();
		});
	};

	const server = createServer({allowHalfOpen: true, noDelay: true}, socket => {
		const upstream = connect({
			host: storeHost, port: Number(storePort), allowHalfOpen: true, noDelay: true,
		});
		track(socket, upstream);
		track(upstream, socket);
		socket.pipe(upstream);
		forwardSlowly(upstream, socket);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${(server.address() as AddressInfo).port}`,
		countBytes: () => carried,
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
