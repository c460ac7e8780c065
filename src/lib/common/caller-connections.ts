/**
 * Tracks the connections of callers to an HTTP server, and ends each without losing
 * the responses to requests that were read from it. Node.js alone drops them if an
 * earlier response closes the connection, or if bytes that are no request follow.
 *
 * @module
 */
import {
	type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {setImmediate as waitForImmediate} from 'node:timers/promises';
import {readSteadyMs, waitFor} from './clock.js';
import {readPendingInput} from './pending-input.js';
import {createRequestOrder, type RequestOrder} from './request-order.js';

/** @internal */
export type CallerConnections = {
	/** Admits a request that was read. Returns false if it must not be handled: a response before it closes the connection, and the caller sends it again. */
	readonly admit: (request: IncomingMessage, response: ServerResponse) => boolean;
	/** Returns whether the response to a request may close its connection. If so, no further request is admitted there. */
	readonly tryClose: (request: IncomingMessage) => boolean;
	/** Returns the number of connections with responses that were handed over and are not sent yet, that ended a moment ago and whose caller may not have read the last response, or on which a request is expected although the server has stopped. */
	readonly countUnsent: () => number;
	/** Reads what has arrived, then stops listening, closes idle connections, and admits no further requests on the others, which close after their last response. A request that arrives before its connection is closed is admitted; a connection that was just opened, or on which a part of a head has arrived, is closed a moment later if none does. */
	readonly stop: () => Promise<void>;
};

/** A request whose response is not sent yet. */
type OpenExchange = {readonly request: IncomingMessage; readonly response: ServerResponse; readonly position: number};

type Connection = {
	readonly order: RequestOrder;
	/** In the order of the requests. */
	readonly open: OpenExchange[];
	/** Status line for bytes that are no request, sent after the responses to the requests before them. */
	errorStatus: string | undefined;
	/** When the last response ended the connection, in milliseconds of the steady clock. */
	endedAt: number | undefined;
	/** When it was accepted, on the same clock. */
	readonly openedAt: number;
	/** Whether a request was read from it. */
	hasRequest: boolean;
	/** Bytes that had arrived when its last response was sent. */
	readBytes: number;
};

/** The statuses that Node.js sends by default. */
const errorStatuses: ReadonlyMap<string, string> = new Map([
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

const defaultErrorStatus = '400 Bad Request';

/** How long a connection may stay half closed until its caller has read the last response and closes it too. It is longer than a round trip between any two VMs, and than a busy caller takes to read. */
const lingerMs = 2000;

/** Iterations of the event loop over which idle connections are closed: one for each of a few callers, and no more than a fraction of a second for thousands of them. */
const closingIterations = 200;

/** How long a request is waited for that is expected on an idle connection: longer than a round trip between any two VMs, and than a busy caller takes to send. */
const expectedRequestMs = 500;

const expectedPollMs = 20;

/** How long a node that exits waits for a caller to close a connection that its last response has ended. */
const confirmMs = 300;

/**
 * Closes a connection without a reset: ends it, and reads and drops what still arrives until the caller closes it. A connection
 * that is closed with unread bytes, or that gets more of them, is reset, and a response that the caller has not read yet is lost.
 */
function closeGracefully(socket: Socket): void {
	if (socket.writableEnded || socket.destroyed) {
		return;
	}

	socket.end();
	socket.once('finish', () => {
		// Reading may be paused, since Node.js reads no requests while responses are queued.
		socket.resume();
		const timer = setTimeout(() => {
			socket.destroy();
		}, lingerMs);
		socket.once('close', () => {
			clearTimeout(timer);
		});
	});
}

/** Answers bytes that are no request, unless a response is under way already, and closes the connection. */
function sendError(socket: Socket, {open: [exchange]}: Connection, status: string): void {
	if (socket.writable && !exchange?.response.headersSent) {
		socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
	}

	socket.destroySoon();
}

/**
 * Tracks the connections that a server accepts from now on.
 *
 * @param server - The server.
 * @param handleUnsent - Called with each response that was handed to a connection which closed before the response was sent, unless the caller had ended it.
 * @returns Its connections.
 * @internal
 */
export function watchCallerConnections(server: Server, handleUnsent: (request: IncomingMessage, response: ServerResponse) => void = () => undefined): CallerConnections {
	const connections = new Map<Socket, Connection>();
	let isStopped = false;
	/** When the server stopped listening, in milliseconds of the steady clock. */
	let stoppedAt = Number.NEGATIVE_INFINITY;
	/** Connections accepted and requests read so far. */
	let inputs = 0;

	const readPending = async (): Promise<void> => readPendingInput(() => inputs);

	const reportUnsent = (socket: Socket, {request, response}: OpenExchange): void => {
		if (response.headersSent && !socket.readableEnded) {
			handleUnsent(request, response);
		}
	};

	server.on('connection', (socket: Socket) => {
		inputs++;
		const connection: Connection = {
			order: createRequestOrder(), open: [], errorStatus: undefined, endedAt: undefined, openedAt: readSteadyMs(), hasRequest: false, readBytes: 0,
		};
		// The HTTP server ends connections by this method.
		socket.destroySoon = () => {
			connection.endedAt ??= readSteadyMs();
			closeGracefully(socket);
		};

		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
			// Node.js tells only the response that is being sent of the close.
			for (const exchange of connection.open.splice(0)) {
				reportUnsent(socket, exchange);
			}
		});
	});

	/** Returns until when a request is expected on an idle connection, in milliseconds of the steady clock: callers open a connection to send one, and send the rest of a head. */
	const expectUntil = (socket: Socket, {openedAt, hasRequest, readBytes}: Connection): number => {
		if (socket.bytesRead > readBytes) {
			return stoppedAt + expectedRequestMs;
		}

		return hasRequest ? Number.NEGATIVE_INFINITY : openedAt + expectedRequestMs;
	};

	const closeIfIdle = (socket: Socket, {order, open}: Connection): void => {
		if (open.length === 0) {
			order.stop();
			closeGracefully(socket);
		}
	};

	/**
	 * Closes connections on which no request has arrived. What arrives between the last read and the end of a connection gets no response, and
	 * that takes long if the process stands still meanwhile. So few connections are ended after each read.
	 */
	const closeIdle = async (idle: ReadonlyArray<readonly [Socket, Connection]>): Promise<void> => {
		const batchSize = Math.ceil(idle.length / closingIterations);
		for (let start = 0; start < idle.length; start += batchSize) {
			// The next iteration of the event loop reads what has arrived.
			await waitForImmediate();
			for (const [socket, connection] of idle.slice(start, start + batchSize)) {
				closeIfIdle(socket, connection);
			}
		}
	};

	/** Closes connections that have got no request although one was expected. */
	const closeUnused = async (): Promise<void> => {
		let waiting: ReadonlyArray<readonly [Socket, Connection]>;
		do {
			await waitFor(expectedPollMs);
			await readPending();
			waiting = [...connections].filter(([socket, {open}]) => open.length === 0 && socket.writable);
			const now = readSteadyMs();
			await closeIdle(waiting.filter(([socket, connection]) => expectUntil(socket, connection) <= now));
		} while (waiting.length > 0);
	};

	/** Whether a response is still to come that the caller can read before an error. A request whose own body is in error gets no response. */
	const isAnswering = ({open}: Connection): boolean => open.some(({request}) => request.complete);

	const finish = (socket: Socket, connection: Connection, exchange: OpenExchange): void => {
		const index = connection.open.indexOf(exchange);
		if (index === -1) {
			return;
		}

		connection.open.splice(index, 1);
		connection.readBytes = socket.bytesRead;
		if (socket.destroyed) {
			reportUnsent(socket, exchange);
			return;
		}

		if (connection.errorStatus !== undefined && !isAnswering(connection)) {
			sendError(socket, connection, connection.errorStatus);
		} else if (isStopped && connection.open.length === 0) {
			socket.destroySoon();
		}
	};

	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		const connection = connections.get(socket);
		if (connection === undefined || error.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		// Bytes behind the last response are dropped until the connection closes.
		if (connection.errorStatus !== undefined || !socket.writable) {
			return;
		}

		connection.order.stop();
		connection.errorStatus = errorStatuses.get(error.code ?? '') ?? defaultErrorStatus;
		if (!isAnswering(connection)) {
			sendError(socket, connection, connection.errorStatus);
		}
	});

	return {
		admit(request, response) {
			inputs++;
			const {socket} = request;
			const connection = connections.get(socket);
			const position = connection?.order.admit();
			if (connection === undefined || position === undefined) {
				// Reads and drops the body, so that the responses before it are sent.
				request.resume();
				return false;
			}

			const exchange: OpenExchange = {request, response, position};
			connection.open.push(exchange);
			connection.hasRequest = true;
			response.on('close', () => {
				finish(socket, connection, exchange);
			});
			return true;
		},
		tryClose(request) {
			const connection = connections.get(request.socket);
			const exchange = connection?.open.find(open => open.request === request);
			return connection === undefined || exchange === undefined || connection.order.tryClose(exchange.position);
		},
		countUnsent() {
			const now = readSteadyMs();
			let count = 0;
			for (const [socket, connection] of connections) {
				const {open, endedAt} = connection;
				const isUnconfirmed = endedAt !== undefined && now - endedAt < confirmMs;
				const isExpected = isStopped && open.length === 0 && socket.writable && expectUntil(socket, connection) > now;
				count += isUnconfirmed || isExpected || open.some(({response}) => response.headersSent) ? 1 : 0;
			}

			return count;
		},
		async stop() {
			await readPending();
			isStopped = true;
			stoppedAt = readSteadyMs();
			// The HTTP server's own `close` treats a connection as idle once its response was handed to the socket, and would cut off bytes that were not sent yet.
			NetServer.prototype.close.call(server);
			const idle: Array<readonly [Socket, Connection]> = [];
			for (const entry of connections) {
				const [socket, connection] = entry;
				if (connection.open.length > 0) {
					connection.order.stop();
				} else if (expectUntil(socket, connection) <= stoppedAt) {
					idle.push(entry);
				}
			}

			await closeIdle(idle);
			void closeUnused();
		},
	};
}
