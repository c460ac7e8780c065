/**
 * A TCP proxy on the loopback address that harms what passes through it. What
 * a cut holds back arrives when the cut ends, as on a network that loses
 * packets for a while.
 *
 * @module
 */
import {connect, createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseAddress} from '../src/lib/common/address.js';
import {toAddress} from '../src/lib/common/ids.js';

/** What a link does. */
export type LinkMode =
	| 'pass'
	| 'delay'
	/** Resets every connection, new ones too. */
	| 'reset'
	| 'cut-to-server'
	| 'cut-to-client'
	| 'silence'
	/** Answers every request itself with 503. */
	| 'turn-away';

export type LinkProxy = {
	readonly setMode: (mode: LinkMode) => void;
	/** Where it leads; `undefined` if nobody is there. */
	readonly setTarget: (address: string | undefined) => void;
	readonly close: () => Promise<void>;
};

type Direction = 'to-server' | 'to-client';

/** Milliseconds that a slow link holds what passes, each way. */
const delayMs = 150;

/** Between two looks at whether a cut has ended. Milliseconds. */
const cutPollIntervalMs = 10;

const serviceUnavailableResponse = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}';

const isBlocked = (mode: LinkMode, direction: Direction): boolean => mode === 'silence' || mode === `cut-${direction}`;

/** A reset of a socket that is being shut down would leave its handle open for ever: Node.js gives it up without closing it. */
function resetSocket(socket: Socket): void {
	if (socket.writableEnded) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/** An empty line before a request, which servers pass over. */
const probe = '\r\n';

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
 * @param address - Where it listens.
 * @param firstTarget - Where it leads.
 * @returns The proxy.
 */
export async function startLinkProxy(address: string, firstTarget?: string): Promise<LinkProxy> {
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

	/** Passes on one direction, in order. */
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
			// A reset right behind the last bytes reaches this program as an ordinary end; only a write tells the two apart.
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
