/**
 * A TCP proxy on the loopback address that injects network faults. Bytes that are
 * blocked in one direction arrive when the fault ends, as on a network that loses
 * packets for a while and retransmits them.
 *
 * @module
 */
import {connect, createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseAddress} from '../src/lib/common/address.js';
import {toAddress} from '../src/lib/common/ids.js';

/** How the proxy handles connections and forwards bytes. */
export type LinkMode =
	| 'pass'
	/** Delays bytes in both directions. */
	| 'delay'
	/** Resets all connections, also new ones. */
	| 'reset'
	/** Blocks bytes in one direction. */
	| 'cut-to-server'
	| 'cut-to-client'
	/** Blocks bytes in both directions. */
	| 'silence'
	/** Answers every request with 503 and does not forward it. */
	| 'turn-away';

export type LinkProxy = {
	readonly setMode: (mode: LinkMode) => void;
	/** Sets the address that new connections lead to; with `undefined` they are reset. */
	readonly setTarget: (address: string | undefined) => void;
	readonly close: () => Promise<void>;
};

export type HandleConnection = (client: Socket, upstream: Socket) => void;

type Direction = 'to-server' | 'to-client';

/** Latency that `delay` adds in each direction, unless another one is set. */
const defaultDelayMs = 150;

/** Interval of checks whether a direction is still blocked. */
const cutPollIntervalMs = 10;

const serviceUnavailableResponse = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}';

const isBlocked = (mode: LinkMode, direction: Direction): boolean => mode === 'silence' || mode === `cut-${direction}`;

/** Resets a socket, or destroys one that is being shut down: Node.js never closes the handle of such a socket after a reset. */
function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/** An empty line before a request, which HTTP servers ignore. */
const probe = '\r\n';

/** Returns whether the peer has reset a connection, by whether a write fails. */
async function checkForReset(socket: Socket): Promise<boolean> {
	return new Promise(resolve => {
		socket.write(probe, error => {
			resolve(error !== null && error !== undefined);
		});
	});
}

/**
 * Starts a proxy.
 *
 * @param address - The address it listens on.
 * @param firstTarget - The address it forwards to; `undefined` to reset all connections.
 * @param delayMs - Latency that `delay` adds in each direction, in milliseconds.
 * @param handleConnection - Called with both ends of each connection when the link has accepted it and begins to connect to the target.
 * @returns The proxy.
 */
export async function startLinkProxy(address: string, firstTarget?: string, delayMs = defaultDelayMs, handleConnection?: HandleConnection): Promise<LinkProxy> {
	let mode: LinkMode = 'pass';
	let target = firstTarget;
	const sockets = new Set<Socket>();

	const addSocket = (socket: Socket): void => {
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	};

	const resetAllSockets = (): void => {
		for (const socket of sockets) {
			resetSocket(socket);
		}
	};

	/** Forwards the bytes, the end and the close of one direction in their order. */
	const forward = (from: Socket, to: Socket, direction: Direction): void => {
		let lastAction = Promise.resolve();
		const queueAction = (action: () => void | Promise<void>): void => {
			const previous = lastAction;
			const runNext = async (): Promise<void> => {
				await previous;
				if (mode === 'delay') {
					await sleep(delayMs);
				}

				while (isBlocked(mode, direction) && !from.destroyed) {
					await sleep(cutPollIntervalMs);
				}

				await action();
			};

			lastAction = runNext();
		};

		from.on('data', (chunk: Uint8Array) => {
			if (mode === 'turn-away' && direction === 'to-server') {
				from.end(serviceUnavailableResponse);
				return;
			}

			queueAction(() => {
				to.write(chunk);
			});
		});
		from.once('end', () => {
			// A reset directly after the last bytes is reported as an ordinary end. Only a write distinguishes them: it fails after a reset, but not after an end.
			const isReset = direction === 'to-client' && !from.writableEnded && !from.destroyed ? checkForReset(from) : Promise.resolve(false);
			queueAction(async () => {
				if (await isReset) {
					resetSocket(to);
				} else {
					to.end();
				}
			});
		});
		from.once('close', hadError => {
			queueAction(() => {
				if (hadError) {
					resetSocket(to);
				} else {
					to.destroySoon();
				}
			});
		});
	};

	const server = createServer({allowHalfOpen: true}, client => {
		addSocket(client);
		if (mode === 'reset' || target === undefined) {
			resetSocket(client);
			return;
		}

		const {host, port} = parseAddress(toAddress(target));
		const upstream = connect({host, port, allowHalfOpen: true});
		addSocket(upstream);
		handleConnection?.(client, upstream);
		upstream.once('error', () => {
			resetSocket(client);
		});
		forward(client, upstream, 'to-server');
		forward(upstream, client, 'to-client');
	});
	const listenAddress = parseAddress(toAddress(address));
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(listenAddress.port, listenAddress.host, resolve);
	});
	return {
		setMode(next) {
			mode = next;
			if (mode === 'reset') {
				resetAllSockets();
			}
		},
		setTarget(next) {
			target = next;
		},
		async close() {
			resetAllSockets();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
