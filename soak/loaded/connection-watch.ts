/**
 * Records, for each request of a loaded soak, whether its connection was open at the node and what passed over it. A
 * connection counts as open once the operating system has accepted it for a listening process, which may not have read it.
 *
 * @module
 */
import {type Socket} from 'node:net';
import {type LoadedCall} from './loaded-callers.js';
import {sumDelays, type LoopDelay} from './loop-delays.js';

/** A connection to a node. Times are Unix milliseconds. */
type ConnectionTimes = {
	/** When the soak began to connect; behind a link, when the link had accepted the caller's connection. */
	readonly startedAt: number;
	/** When the connection was open at the node; `undefined` if it never was. */
	openAt: number | undefined;
	/** Code of the error that ended it, if one did. */
	failure: string | undefined;
	/** When the node ended or reset it, or the soak closed it. */
	endedAt: number | undefined;
};

/** The connection that carried a request. */
export type CallConnection = ConnectionTimes & {
	/** Whether the request is the first on it. */
	readonly isNew: boolean;
	/** Bytes of this request that were passed on to the node, and bytes that came back. */
	readonly passedBytes: number;
	readonly returnedBytes: number;
};

type WatchedConnection = {readonly times: ConnectionTimes; readonly socket: Socket};

/** Finds the connection to the node behind a caller's socket with this local port. */
export type FindConnection = (socket: Socket, localPort: number | undefined) => WatchedConnection | undefined;

function watchConnection(socket: Socket): WatchedConnection {
	const startedAt = Date.now();
	const times: ConnectionTimes = {
		startedAt, openAt: socket.connecting ? undefined : startedAt, failure: undefined, endedAt: undefined,
	};
	const handleEnd = (): void => {
		times.endedAt ??= Date.now();
	};

	socket.once('connect', () => {
		times.openAt = Date.now();
	});
	socket.once('error', (error: NodeJS.ErrnoException) => {
		times.failure = error.code ?? error.message;
		handleEnd();
	});
	socket.once('end', handleEnd);
	socket.once('close', handleEnd);
	return {times, socket};
}

/** Creates a watch of callers that connect to a node directly. */
export function createSocketWatch(): FindConnection {
	const connections = new WeakMap<Socket, WatchedConnection>();
	return socket => {
		const found = connections.get(socket) ?? watchConnection(socket);
		connections.set(socket, found);
		return found;
	};
}

/** Creates a watch of callers that connect through a link. The port of the caller tells which connection of the link is its own. */
export function createLinkWatch(): {readonly findConnection: FindConnection; readonly handleConnection: (client: Socket, upstream: Socket) => void} {
	const connections = new Map<number, WatchedConnection>();
	return {
		findConnection: (_, localPort) => connections.get(localPort ?? 0),
		handleConnection(client, upstream) {
			connections.set(client.remotePort ?? 0, watchConnection(upstream));
		},
	};
}

/**
 * Watches the connection of one request, which must be the only one in flight on it.
 *
 * @param findConnection - Finds the connection to the node.
 * @returns `handleSocket`, for the socket that the request is given, and `finish`, which returns what was recorded once the request has ended; `undefined` if no connection was begun.
 */
export function watchCall(findConnection: FindConnection): {readonly handleSocket: (socket: Socket) => void; readonly finish: () => CallConnection | undefined} {
	let getConnection = (): WatchedConnection | undefined => undefined;
	let isNew = true;
	let passedBefore = 0;
	let returnedBefore = 0;
	return {
		handleSocket(socket) {
			isNew = socket.connecting;
			// A socket that has closed no longer knows its port.
			let port = socket.localPort;
			if (isNew) {
				socket.once('connect', () => {
					port = socket.localPort;
				});
			}

			getConnection = () => findConnection(socket, port);
			const connection = getConnection();
			passedBefore = isNew ? 0 : connection?.socket.bytesWritten ?? 0;
			returnedBefore = isNew ? 0 : connection?.socket.bytesRead ?? 0;
		},
		finish() {
			const connection = getConnection();
			if (connection === undefined) {
				return undefined;
			}

			const {times, socket} = connection;
			const isOpen = times.openAt !== undefined;
			const [passedBytes, returnedBytes] = isOpen ? [socket.bytesWritten - passedBefore, socket.bytesRead - returnedBefore] : [0, 0];
			return {
				...times, isNew, passedBytes, returnedBytes,
			};
		},
	};
}

/**
 * Explains what happened to the connection of a request, and how late the soak was while the request was in flight. It excuses nothing.
 *
 * @param call - The request.
 * @param delays - Delays of the soak.
 * @returns A sentence. Its times count from when the request was sent.
 */
export function explainConnection({connection, sentAt, endedAt}: LoadedCall, delays: readonly LoopDelay[]): string {
	const {longestMs, totalMs} = sumDelays(delays, sentAt, endedAt);
	const late = `meanwhile the soak's loop stood still for ${totalMs} ms in all, ${longestMs} ms at once`;
	if (connection === undefined) {
		return `No connection to the node was begun; ${late}`;
	}

	const {isNew, startedAt, openAt, failure, endedAt: connectionEndedAt, passedBytes, returnedBytes} = connection;
	const begun = isNew ? `begun after ${startedAt - sentAt} ms, ` : '';
	const opened = openAt === undefined ? 'never open at the node' : `open at the node ${openAt < sentAt ? 'before' : `after ${openAt - sentAt} ms`}`;
	const ended = connectionEndedAt === undefined ? 'not ended' : `ended after ${connectionEndedAt - sentAt} ms`;
	const bytes = `${passedBytes} bytes of the request passed on, ${returnedBytes} came back`;
	return `Its ${isNew ? 'new' : 'kept'} connection: ${begun}${opened}, ${bytes}, ${ended}${failure === undefined ? '' : ` (${failure})`}; ${late}`;
}
