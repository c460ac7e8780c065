/**
 * Pool of connections to the backend server, each with one request at a time. A
 * connection that receives bytes while no request is in flight is closed, because
 * they would be read as the response to the next request.
 *
 * @module
 */
import {connect, type Socket} from 'node:net';
import {parseAddress} from '../common/address.js';
import {readSteadyMs} from '../common/clock.js';
import {type Address} from '../common/ids.js';

/** Handles the events of a connection while a request is in flight on it. @internal */
export type ConnectionListener = {
	readonly handleBytes: (bytes: Uint8Array) => void;
	/** Called when the server has closed its side of the connection. */
	readonly handleEnd: () => void;
	/** Called when the connection is closed. */
	readonly handleClosed: (reason: string) => void;
};

/** A connection used exclusively by one request. @internal */
export type ServerConnection = {
	readonly isConnected: () => boolean;
	/** Whether the connection has carried no other request, so that nothing else can be responded to on it. */
	readonly isFirstRequest: boolean;
	/** Writes the head and the body of a request. */
	readonly write: (head: string, body: Uint8Array | undefined) => void;
	/** Writes an empty line, which servers ignore before a request. Calls the handler with true if the write succeeded, which shows that the server closed the connection in order instead of resetting it. */
	readonly checkOrderlyEnd: (handleResult: (isOrderly: boolean) => void) => void;
	/** Stops reading, so that the server waits, or goes on. */
	readonly setReading: (isReading: boolean) => void;
	/** Returns the connection to the pool; it is reused only within `idleMs` milliseconds. */
	readonly release: (idleMs: number) => void;
	readonly destroy: () => void;
};

/** @internal */
export type ServerConnectionPool = {
	/** Returns an idle connection or opens one. Waits while the maximum number of connections is in use. */
	readonly acquire: (listener: ConnectionListener) => Promise<ServerConnection>;
	/** Makes later requests use new connections. Requests in flight on the old ones can still finish. */
	readonly renew: () => void;
	/** Closes all connections; no new one is opened afterwards. */
	readonly dispose: () => void;
};

/** @internal */
export type ServerConnectionPoolOptions = {
	readonly address: Address;
	readonly maxConnections: number;
	/** Maximum idle time of a reusable connection, in milliseconds. */
	readonly idleMs: number;
	/** Connect timeout, in milliseconds. */
	readonly connectTimeoutMs: number;
};

/** A connection that is opening or open. */
type PooledConnection = {
	readonly socket: Socket;
	listener: ConnectionListener | undefined;
	isConnected: boolean;
	/** Whether the connection is closed after its current request. */
	isRetired: boolean;
	/** Time until which the idle connection may be reused, in steady milliseconds. */
	reusableUntil: number;
	closeReason: string;
};

/**
 * Creates a pool without open connections.
 *
 * @param options - Address of the server, and limits.
 * @returns The pool.
 * @internal
 */
export function createServerConnectionPool(options: ServerConnectionPoolOptions): ServerConnectionPool {
	const {host, port} = parseAddress(options.address);
	const connections = new Set<PooledConnection>();
	const idle: PooledConnection[] = [];
	const waiting: Array<() => void> = [];
	let isDisposed = false;

	const handleClosed = (connection: PooledConnection): void => {
		connections.delete(connection);
		const index = idle.indexOf(connection);
		if (index !== -1) {
			idle.splice(index, 1);
		}

		const {listener} = connection;
		connection.listener = undefined;
		listener?.handleClosed(connection.closeReason);
		waiting.shift()?.();
	};

	const open = (listener: ConnectionListener): PooledConnection => {
		// With allowHalfOpen the writable side stays open after the server closes its side, so that a write can tell an orderly close from a reset.
		const socket = connect({
			host, port, noDelay: true, allowHalfOpen: true,
		});
		const connection: PooledConnection = {
			socket, listener, isConnected: false, isRetired: false, reusableUntil: 0, closeReason: 'the server closed the connection',
		};
		connections.add(connection);
		const timer = setTimeout(() => {
			connection.closeReason = `no connection within ${options.connectTimeoutMs} ms`;
			socket.destroy();
		}, options.connectTimeoutMs);
		socket.once('connect', () => {
			clearTimeout(timer);
			connection.isConnected = true;
		});
		socket.on('data', (bytes: Uint8Array) => {
			if (connection.listener === undefined) {
				// The bytes belong to no request.
				socket.destroy();
				return;
			}

			connection.listener.handleBytes(bytes);
		});
		socket.once('end', () => {
			if (connection.listener === undefined) {
				socket.destroy();
				return;
			}

			connection.listener.handleEnd();
		});
		socket.on('error', error => {
			connection.closeReason = error.message;
		});
		socket.once('close', () => {
			clearTimeout(timer);
			handleClosed(connection);
		});
		return connection;
	};

	const createHandle = (connection: PooledConnection, isFirstRequest: boolean): ServerConnection => ({
		isConnected: () => connection.isConnected,
		isFirstRequest,
		write(head, body) {
			const {socket} = connection;
			if (body === undefined || body.length === 0) {
				socket.write(head, 'latin1');
				return;
			}

			socket.cork();
			socket.write(head, 'latin1');
			socket.write(body);
			socket.uncork();
		},
		checkOrderlyEnd(handleResult) {
			connection.socket.write('\r\n', error => {
				handleResult(error === null || error === undefined);
			});
		},
		setReading(isReading) {
			if (isReading) {
				connection.socket.resume();
			} else {
				connection.socket.pause();
			}
		},
		release(idleMs) {
			connection.listener = undefined;
			const {socket} = connection;
			const keepMs = Math.min(options.idleMs, idleMs);
			// Unsent bytes belong to a request that already has its response, and would delay the next request on this connection.
			if (connection.isRetired || keepMs <= 0 || socket.writableLength > 0 || socket.destroyed) {
				socket.destroy();
				return;
			}

			connection.reusableUntil = readSteadyMs() + keepMs;
			idle.push(connection);
			waiting.shift()?.();
		},
		destroy() {
			connection.listener = undefined;
			connection.socket.destroy();
		},
	});

	/** Returns the most recently used idle connection, so that surplus connections expire. */
	const acquireIdle = (listener: ConnectionListener): PooledConnection | undefined => {
		const now = readSteadyMs();
		for (let connection = idle.pop(); connection !== undefined; connection = idle.pop()) {
			if (!connection.socket.destroyed && now <= connection.reusableUntil) {
				connection.listener = listener;
				return connection;
			}

			connection.socket.destroy();
		}

		return undefined;
	};

	return {
		async acquire(listener) {
			while (!isDisposed) {
				const connection = acquireIdle(listener);
				if (connection !== undefined) {
					return createHandle(connection, false);
				}

				if (connections.size < options.maxConnections) {
					return createHandle(open(listener), true);
				}

				await new Promise<void>(resolve => {
					waiting.push(resolve);
				});
			}

			throw new Error('connection pool of the backend server is closed');
		},
		renew() {
			for (const connection of idle.splice(0)) {
				connection.socket.destroy();
			}

			for (const connection of connections) {
				connection.isRetired = true;
			}
		},
		dispose() {
			isDisposed = true;
			for (const {socket} of connections) {
				socket.destroy();
			}

			for (const wake of waiting.splice(0)) {
				wake();
			}
		},
	};
}
