/**
 * Connections to the backend server, one request on each at a time. A connection
 * on which anything arrives while no request is under way is never used again.
 *
 * @module
 */
import {connect, type Socket} from 'node:net';
import {parseAddress} from '../common/address.js';
import {readSteadyMs} from '../common/clock.js';
import {type Address} from '../common/ids.js';

/** Told of what happens on a connection while a request is under way there. @internal */
export type ConnectionUser = {
	readonly handleBytes: (bytes: Uint8Array) => void;
	/** The other side will send nothing more. */
	readonly handleEnd: () => void;
	/** The connection is gone. */
	readonly handleClosed: (reason: string) => void;
};

/** A connection that one request has for itself. @internal */
export type ServerConnection = {
	readonly isConnected: () => boolean;
	/** Writes the head of a request, and its body. */
	readonly write: (head: string, body: Uint8Array | undefined) => void;
	/** Writes an empty line, which no server takes for a request; yields whether the other side has closed in order. */
	readonly probeEnd: (handleProbed: (isOrderly: boolean) => void) => void;
	/** Gives it back for the next request, which must come within so many milliseconds. */
	readonly release: (idleMs: number) => void;
	readonly destroy: () => void;
};

/** @internal */
export type ServerConnections = {
	/** Takes an idle connection, or opens one; waits while as many are open as may be. */
	readonly take: (user: ConnectionUser) => Promise<ServerConnection>;
	/** From here on requests get new connections. What is under way on the old ones may still be answered. */
	readonly renew: () => void;
	/** Closes all of them; no other one is opened. */
	readonly dispose: () => void;
};

/** @internal */
export type ServerConnectionsOptions = {
	readonly address: Address;
	readonly maxConnections: number;
	/** Idle connections older than this are not used any more, in milliseconds. */
	readonly idleMs: number;
	/** Milliseconds until a new connection must be up. */
	readonly connectMs: number;
};

/** An open connection. */
type Line = {
	readonly socket: Socket;
	user: ConnectionUser | undefined;
	isConnected: boolean;
	/** It is closed after the request that it carries. */
	isRetired: boolean;
	/** Until when it may be used again, in steady milliseconds. */
	idleUntil: number;
	failure: string;
};

/**
 * @param options - Where the server listens, and limits.
 * @returns Connections, none open yet.
 * @internal
 */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
	const {host, port} = parseAddress(options.address);
	const lines = new Set<Line>();
	const idle: Line[] = [];
	const waiting: Array<() => void> = [];
	let isDisposed = false;

	const handleClosed = (line: Line): void => {
		lines.delete(line);
		const place = idle.indexOf(line);
		if (place !== -1) {
			idle.splice(place, 1);
		}

		const {user} = line;
		line.user = undefined;
		user?.handleClosed(line.failure);
		waiting.shift()?.();
	};

	const open = (user: ConnectionUser): Line => {
		// A half that the server has closed stays open here, so that an orderly end can be told from a reset.
		const socket = connect({
			host, port, noDelay: true, allowHalfOpen: true,
		});
		const line: Line = {
			socket, user, isConnected: false, isRetired: false, idleUntil: 0, failure: 'the server closed the connection',
		};
		lines.add(line);
		const timer = setTimeout(() => {
			line.failure = `no connection within ${options.connectMs} ms`;
			socket.destroy();
		}, options.connectMs);
		socket.once('connect', () => {
			clearTimeout(timer);
			line.isConnected = true;
		});
		socket.on('data', (bytes: Uint8Array) => {
			if (line.user === undefined) {
				// Nobody has asked for anything: it belongs to no request.
				socket.destroy();
				return;
			}

			line.user.handleBytes(bytes);
		});
		socket.once('end', () => {
			if (line.user === undefined) {
				socket.destroy();
				return;
			}

			line.user.handleEnd();
		});
		socket.on('error', error => {
			line.failure = error.message;
		});
		socket.once('close', () => {
			clearTimeout(timer);
			handleClosed(line);
		});
		return line;
	};

	const giveOut = (line: Line): ServerConnection => ({
		isConnected: () => line.isConnected,
		write(head, body) {
			const {socket} = line;
			if (body === undefined || body.length === 0) {
				socket.write(head, 'latin1');
				return;
			}

			socket.cork();
			socket.write(head, 'latin1');
			socket.write(body);
			socket.uncork();
		},
		probeEnd(handleProbed) {
			line.socket.write('\r\n', error => {
				handleProbed(error === null || error === undefined);
			});
		},
		release(idleMs) {
			line.user = undefined;
			const {socket} = line;
			const keepMs = Math.min(options.idleMs, idleMs);
			// What is left to write belongs to a request that has its answer: the next one would come behind it.
			if (line.isRetired || keepMs <= 0 || socket.writableLength > 0 || socket.destroyed) {
				socket.destroy();
				return;
			}

			line.idleUntil = readSteadyMs() + keepMs;
			idle.push(line);
			waiting.shift()?.();
		},
		destroy() {
			line.user = undefined;
			line.socket.destroy();
		},
	});

	/** The one that was used last goes first, so that those that are not needed grow old. */
	const takeIdle = (user: ConnectionUser): Line | undefined => {
		const now = readSteadyMs();
		for (let line = idle.pop(); line !== undefined; line = idle.pop()) {
			if (!line.socket.destroyed && now <= line.idleUntil) {
				line.user = user;
				return line;
			}

			line.socket.destroy();
		}

		return undefined;
	};

	return {
		async take(user) {
			while (!isDisposed) {
				const line = takeIdle(user);
				if (line !== undefined) {
					return giveOut(line);
				}

				if (lines.size < options.maxConnections) {
					return giveOut(open(user));
				}

				await new Promise<void>(resolve => {
					waiting.push(resolve);
				});
			}

			throw new Error('the server is there no more');
		},
		renew() {
			for (const line of idle.splice(0)) {
				line.socket.destroy();
			}

			for (const line of lines) {
				line.isRetired = true;
			}
		},
		dispose() {
			isDisposed = true;
			for (const {socket} of lines) {
				socket.destroy();
			}

			for (const tell of waiting.splice(0)) {
				tell();
			}
		},
	};
}
