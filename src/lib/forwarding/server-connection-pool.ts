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
export type ConnectionListener = {
	readonly handleBytes: (bytes: Uint8Array) => void;
	/** The other side will send nothing more. */
	readonly handleEnd: () => void;
	/** The connection is gone. */
	readonly handleClosed: (reason: string) => void;
};

/** A request that a connection carried. @internal */
export type AssignedCall = {readonly id: string; readonly method: string};

/** A connection that one request has for itself. @internal */
export type ServerConnection = {
	readonly isConnected: () => boolean;
	/** Notes which request it carries now; yields the one before, which a server may answer a second time. */
	readonly startCall: (call: AssignedCall) => AssignedCall | undefined;
	/** Writes the head of a request, and its body. */
	readonly write: (head: string, body: Uint8Array | undefined) => void;
	/** Writes an empty connection, which no server takes for a request; yields whether the other side has closed in order. */
	readonly checkOrderlyEnd: (handleResult: (isOrderly: boolean) => void) => void;
	/** Gives it back for the next request, which must come within so many milliseconds. */
	readonly release: (idleMs: number) => void;
	readonly destroy: () => void;
};

/** @internal */
export type ServerConnectionPool = {
	/** Takes an idle connection, or opens one; waits while as many are open as may be. */
	readonly acquire: (listener: ConnectionListener) => Promise<ServerConnection>;
	/** From here on requests get new connections. What is under way on the old ones may still be answered. */
	readonly renew: () => void;
	/** Closes all of them; no other one is opened. */
	readonly dispose: () => void;
};

/** @internal */
export type ServerConnectionPoolOptions = {
	readonly address: Address;
	readonly maxConnections: number;
	/** Idle connections older than this are not used any more, in milliseconds. */
	readonly idleMs: number;
	/** Milliseconds until a new connection must be up. */
	readonly connectTimeoutMs: number;
};

/** An open connection. */
type PooledConnection = {
	readonly socket: Socket;
	listener: ConnectionListener | undefined;
	isConnected: boolean;
	/** It is closed after the request that it carries. */
	isRetired: boolean;
	/** Until when it may be used again, in steady milliseconds. */
	reusableUntil: number;
	closeReason: string;
	call: AssignedCall | undefined;
};

/**
 * @param options - Where the server listens, and limits.
 * @returns Connections, none open yet.
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
		// A half that the server has closed stays open here, so that an orderly end can be told from a reset.
		const socket = connect({
			host, port, noDelay: true, allowHalfOpen: true,
		});
		const connection: PooledConnection = {
			socket, listener, isConnected: false, isRetired: false, reusableUntil: 0, closeReason: 'the server closed the connection', call: undefined,
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
				// Nobody has asked for anything: it belongs to no request.
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

	const createHandle = (connection: PooledConnection): ServerConnection => ({
		isConnected: () => connection.isConnected,
		startCall(call) {
			const previous = connection.call;
			connection.call = call;
			return previous;
		},
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
		release(idleMs) {
			connection.listener = undefined;
			const {socket} = connection;
			const keepMs = Math.min(options.idleMs, idleMs);
			// What is left to write belongs to a request that has its answer: the next one would come behind it.
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

	/** The one that was used last goes first, so that those that are not needed grow old. */
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
					return createHandle(connection);
				}

				if (connections.size < options.maxConnections) {
					return createHandle(open(listener));
				}

				await new Promise<void>(resolve => {
					waiting.push(resolve);
				});
			}

			throw new Error('the server is there no more');
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
