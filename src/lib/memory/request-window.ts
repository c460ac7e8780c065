/**
 * Bounds what an HTTP server holds for each of its clients: the requests in work on a
 * connection, those that were read behind them, and what waits to be read by the client.
 * A connection with enough of them is not read further.
 *
 * @module
 */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {readSteadyMs} from '../common/clock.js';
import {type ClosedConnection, type ClosingCause} from './closed-connection.js';
import {countUnfinishedHead, measureUnreadMs} from './connection-checks.js';
import {createConnectionLimit} from './connection-limit.js';
import {type MemoryLedger} from './memory-ledger.js';
import {createReadTurns} from './read-turns.js';
import {createStartTurns} from './start-turns.js';
import {
	createWindowConnection, createWindowTurn, removeTurn, type RequestTurn, type WindowConnection, type WindowTurn,
} from './window-connection.js';

/** @internal */
export type RequestWindowOptions = {
	readonly ledger: MemoryLedger;
	readonly maxConnections: number;
	/** Requests of one connection that are in work at the same time, once some have been answered there. */
	readonly maxInWork: number;
	/** Requests of one connection that start in one iteration of the event loop; no limit if omitted. Needed where requests may end at once, so that nothing else bounds the time that a connection takes. */
	readonly maxStartsPerIteration?: number;
	/** Called with each connection that is closed to keep a bound. */
	readonly handleClosed: (closed: ClosedConnection) => void;
	/** How long a client may read nothing of what waits for it, in milliseconds; no limit if omitted. Needed where the response of a server is read no faster than the client reads, and so keeps a slot. */
	readonly maxUnreadMs?: number;
};

/** @internal */
export type RequestWindow = {
	/** Counts a request that was read. */
	readonly take: (request: IncomingMessage, response: ServerResponse) => RequestTurn;
	/** Counts bytes for the client until the response is sent or its connection closes. */
	readonly addBytes: (turn: RequestTurn, bytes: number) => void;
	/** Records that the request was read whole and a server is to work on it: its client can do nothing but wait. */
	readonly startServing: (turn: RequestTurn) => void;
	/** Records that the server has answered or failed. From now on the client is expected to read the response. */
	readonly endServing: (turn: RequestTurn) => void;
	/** Calls the handler once the response is sent or its connection closes. The response itself is not told of the close while another one before it is being sent. */
	readonly listenForEnd: (turn: RequestTurn, handleEnd: () => void) => void;
	/** Counts a request that was read behind a response which closes the connection. A client that goes on sending is cut off. */
	readonly drop: (socket: Socket) => void;
	readonly countConnections: () => number;
	/** Counts the bytes of heads that have not ended, and closes the connections of clients that have not read for too long. Must be called periodically, a few times a second. */
	readonly check: () => void;
};

/** Memory of a request and its response on the heap once it is in work, in bytes. */
const workBytes = 16_384;

/** Requests in work on a connection before any has been answered. */
const maxUnansweredInWork = 8;

/** Share of the bound on bodies and answers that one client may leave unread before its connection is not read further. */
const unreadShare = 0.1;

/** Share of the bound on requests above which few connections are read at a time. */
const crowdedShare = 0.5;

/** Requests that may follow a response which closes the connection: as many as a client may have sent before it reads that response. */
const maxDropped = 1000;

/** Whether the HTTP server itself has stopped reading, which it does while much is unsent. It continues by itself, and takes bytes that arrive before that for an error. */
const isPausedByServer = (socket: Socket): boolean => (socket as Socket & {readonly _paused?: boolean})._paused === true;

/**
 * Bounds what a server holds for the connections that it accepts from now on.
 *
 * @param server - The server.
 * @param options - The bounds, and the ledger of the process.
 * @returns The window.
 * @internal
 */
export function createRequestWindow(server: Server, options: RequestWindowOptions): RequestWindow {
	const {
		ledger, maxConnections, maxInWork, handleClosed, maxStartsPerIteration = Number.POSITIVE_INFINITY, maxUnreadMs = Number.POSITIVE_INFINITY,
	} = options;
	const connections = new Map<Socket, WindowConnection>();
	const maxUnreadBytes = ledger.getLimit('buffers') * unreadShare;
	const crowdedRequestBytes = ledger.getLimit('requests') * crowdedShare;

	const report = (cause: ClosingCause, {socket, account, open}: WindowConnection): void => {
		handleClosed({
			cause, client: socket.remoteAddress ?? '', bytes: account.count('buffers'), requests: open.length,
		});
	};

	const limit = createConnectionLimit(server, {
		maxOpen: maxConnections,
		getIdleSince(socket) {
			const connection = connections.get(socket);
			return connection === undefined || connection.open.length > 0 ? undefined : connection.idleSince;
		},
		handleClosed(socket) {
			const connection = connections.get(socket);
			if (connection !== undefined) {
				report('connections', connection);
			}
		},
	});

	const isHeldBack = ({waiting, answerBytes}: WindowConnection): boolean => waiting.length > 0 || answerBytes > maxUnreadBytes;

	const mayRead = (connection: WindowConnection): boolean => !isHeldBack(connection) && !isPausedByServer(connection.socket);

	const readTurns = createReadTurns(socket => {
		const connection = connections.get(socket);
		return connection !== undefined && mayRead(connection);
	});

	/** Whether so much is held for requests that what many connections send at once could exceed the bound. */
	const isCrowded = (): boolean => ledger.count('requests') > crowdedRequestBytes;

	/** A connection that has nothing in work gets one request through, whatever others hold. */
	const mayStart = ({inWork, answered}: WindowConnection): boolean => inWork === 0 || (inWork < Math.min(maxInWork, maxUnansweredInWork + answered) && ledger.hasRoom('requests', workBytes));

	const start = (turn: WindowTurn): void => {
		turn.isInWork = true;
		turn.connection.inWork++;
		turn.connection.startsLeft--;
		turn.connection.account.add('requests', workBytes);
	};

	/** Reads on from a connection without requests that wait: at once, or in turn if it has delivered too many at a time. */
	const readOn = (connection: WindowConnection): void => {
		const {socket, isAhead} = connection;
		if (!socket.isPaused() || !mayRead(connection) || readTurns.isDelayed(socket)) {
			return;
		}

		connection.isAhead = false;
		if (isAhead) {
			readTurns.delay([socket]);
		} else {
			socket.resume();
		}
	};

	const startWaiting = (connection: WindowConnection): void => {
		while (connection.waiting.length > 0 && connection.startsLeft > 0 && mayStart(connection)) {
			const next = connection.waiting.shift();
			if (next !== undefined) {
				start(next.turn);
				next.resolve(true);
			}
		}

		if (connection.waiting.length > 0 && connection.startsLeft <= 0) {
			startTurns.queue(connection);
		}

		readOn(connection);
	};

	const startTurns = createStartTurns<WindowConnection>(connection => {
		connection.startsLeft = maxStartsPerIteration;
		startWaiting(connection);
	});

	/** Counts the starts anew if something was read since. What is read at once is delivered at once. */
	const renewStarts = (connection: WindowConnection): void => {
		const {bytesRead} = connection.socket;
		if (connection.startedBytes !== bytesRead && connection.waiting.length === 0) {
			connection.startedBytes = bytesRead;
			connection.startsLeft = maxStartsPerIteration;
		}
	};

	/** Starts a request, or lets it wait for its turn. */
	const takeTurn = (turn: WindowTurn): void => {
		const {connection} = turn;
		renewStarts(connection);
		if (connection.waiting.length === 0 && connection.startsLeft > 0 && mayStart(connection)) {
			start(turn);
			return;
		}

		if (connection.startsLeft <= 0) {
			connection.isAhead = true;
			startTurns.queue(connection);
		}

		connection.socket.pause();
		turn.wait = new Promise(resolve => {
			connection.waiting.push({turn, resolve});
		});
	};

	const endServing = (turn: WindowTurn): void => {
		if (turn.isServed) {
			turn.isServed = false;
			turn.connection.served--;
			turn.connection.account.recordProgress();
		}
	};

	/** Ends a request whose response was sent, or whose connection has closed. May be called several times. */
	const end = (turn: WindowTurn): void => {
		const {connection, requestBytes, isInWork, heldBytes} = turn;
		const {socket, account} = connection;
		if (!turn.isOpen) {
			return;
		}

		turn.isOpen = false;
		endServing(turn);
		removeTurn(turn);
		account.release('requests', requestBytes + (isInWork ? workBytes : 0));
		account.release('buffers', heldBytes);
		account.recordProgress();
		connection.inWork -= isInWork ? 1 : 0;
		connection.answered++;
		connection.answerBytes -= heldBytes;
		connection.readBytes = socket.bytesRead;
		connection.idleSince = readSteadyMs();
		if (!socket.destroyed) {
			startWaiting(connection);
		}

		for (const handleEnd of turn.handlers ?? []) {
			handleEnd();
		}
	};

	const openConnection = (socket: Socket): WindowConnection => {
		const account = ledger.open(() => {
			report('memory', connection);
			socket.destroy();
		}, () => connection.served > 0 && socket.writableLength === 0);
		const connection = createWindowConnection(socket, account, maxStartsPerIteration, readSteadyMs());
		return connection;
	};

	/** Returns the connection of a request. One that has closed holds nothing. */
	const getConnection = (socket: Socket): WindowConnection => {
		const known = connections.get(socket);
		if (known !== undefined) {
			return known;
		}

		const closed = openConnection(socket);
		closed.account.close();
		return closed;
	};

	server.on('connection', (socket: Socket) => {
		if (socket.destroyed) {
			return;
		}

		const connection = openConnection(socket);
		connections.set(socket, connection);
		// Node.js reads on by itself after each response.
		socket.on('resume', () => {
			if (isHeldBack(connection) || readTurns.isDelayed(socket)) {
				socket.pause();
			}
		});
		if (isCrowded()) {
			readTurns.delay([socket]);
		}

		socket.once('close', () => {
			connections.delete(socket);
			readTurns.forget(socket);
			startTurns.forget(connection);
			connection.account.close();
			for (const {resolve} of connection.waiting.splice(0)) {
				resolve(false);
			}

			for (let turn = connection.open.at(-1); turn !== undefined; turn = connection.open.at(-1)) {
				end(turn);
			}
		});
	});

	return {
		take(request, response) {
			const {socket} = request;
			const connection = getConnection(socket);
			const {account} = connection;
			const turn = createWindowTurn(connection, request);
			connection.readBytes = socket.bytesRead;
			connection.open.push(turn);
			response.on('close', () => {
				end(turn);
			});
			account.recordProgress();
			account.add('requests', turn.requestBytes);
			if (isCrowded() && !readTurns.isInRound()) {
				readTurns.startRound(connections.keys());
			}

			takeTurn(turn);
			return turn;
		},
		addBytes(turn, bytes) {
			const open = turn as WindowTurn;
			if (!open.isOpen) {
				return;
			}

			open.heldBytes += bytes;
			open.connection.answerBytes += bytes;
			open.account.add('buffers', bytes);
			if (isHeldBack(open.connection)) {
				open.connection.socket.pause();
			}
		},
		startServing(turn) {
			const open = turn as WindowTurn;
			if (open.isOpen && !open.isServed) {
				open.isServed = true;
				open.connection.served++;
			}
		},
		endServing(turn) {
			endServing(turn as WindowTurn);
		},
		listenForEnd(turn, handleEnd) {
			const open = turn as WindowTurn;
			if (!open.isOpen) {
				handleEnd();
				return;
			}

			open.handlers ??= [];
			open.handlers.push(handleEnd);
		},
		drop(socket) {
			const connection = connections.get(socket);
			if (connection === undefined) {
				return;
			}

			connection.dropped++;
			if (connection.dropped > maxDropped) {
				report('memory', connection);
				socket.destroy();
			}
		},
		countConnections: limit.countOpen,
		check() {
			const now = readSteadyMs();
			for (const connection of connections.values()) {
				countUnfinishedHead(connection);
				if (measureUnreadMs(connection, now) >= maxUnreadMs) {
					report('unread', connection);
					connection.socket.destroy();
				}
			}
		},
	};
}
