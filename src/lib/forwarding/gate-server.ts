/**
 * Accepts requests from other nodes for the backend server beside this node, and
 * sends the active configuration to nodes that request it.
 *
 * @module
 */
import {createServer, type Server, type Socket} from 'node:net';
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type LoopLag} from '../common/loop-lag.js';
import {FieldError} from '../common/field-error.js';
import {type MeshLog, type RefusalCause} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {createConnectionLimit} from '../memory/connection-limit.js';
import {createDefaultLedger, type MemoryAccount, type MemoryLedger} from '../memory/memory-ledger.js';
import {
	BodyNotReceivedError, createIncomingBody, encodeContinue, type IncomingBody,
} from './body-pieces.js';
import {
	createCallScope, stopScopesAt, type CallScope, type ScopeEndReason,
} from './call-scope.js';
import {
	createFrameReader, type Frame, type FrameReader,
} from './frame.js';
import {decodeConfigRequest, type EncodedConfigAnswer} from './config-messages.js';
import {createMayHaveRun, type GateResult} from './forward-result.js';
import {type LinkWriter} from './link-writer.js';
import {type LocalGate} from './local-gate.js';
import {decodePeerRequest, encodePeerAnswer, type PeerRequest} from './peer-messages.js';

/** @internal */
export type GateServerContext = {
	readonly gate: LocalGate;
	/** Returns the response to a node that has the given version of the configuration. */
	readonly getConfig: (version: number) => EncodedConfigAnswer;
	/** Answers an ask for tokens of quotas; throws if it is malformed. */
	readonly answerQuotaAsk?: (head: unknown) => unknown;
	/** Waits until pending input has been handled if the event loop of this process lags. */
	readonly waitForPendingInput: LoopLag['waitForPendingInput'];
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	/** Writes frames at the rate of this VM's link. */
	readonly link: LinkWriter;
	/** What this process holds for its clients; that of the smallest machines if omitted. */
	readonly ledger?: MemoryLedger;
	/** Maximum number of connections of other nodes; a number that no machine reaches if omitted. */
	readonly maxConnections?: number;
};

/** @internal */
export type GateServer = {
	readonly server: Server;
	/** Returns the number of queued large responses plus the number of connections with unsent bytes. */
	readonly countUnsentResponses: () => number;
	/** Answers all requests by a time, those that arrive later included. Ends a request at once if its body cannot have arrived by then. In milliseconds of the steady clock. */
	readonly stopAt: (time: number) => void;
	/** Closes each connection once the other node has read what was written to it. Resolves when all are closed, or after a timeout. */
	readonly dispose: () => Promise<void>;
};

/** A request in flight on a connection. */
type IncomingRequest = {
	readonly scope: CallScope;
	/** The body of an offered request; `undefined` unless the gate waits for it. */
	body: IncomingBody | undefined;
};

type Connection = {
	readonly socket: Socket;
	/** Remote address for log records, stored because a closed socket no longer has it. */
	readonly peerAddress: string;
	readonly requests: Map<number, IncomingRequest>;
	readonly reader: FrameReader;
	/** Bytes buffered for an incomplete frame and for incomplete bodies. */
	bufferedBytes: number;
	/** Bytes of memory buffered for incomplete bodies that arrive in pieces. */
	pieceBytes: number;
	/** What is held for the other node. */
	readonly account: MemoryAccount;
	/** Bytes of the long answers that the other node has not read, by the id of their request. */
	readonly unread: Map<number, number>;
	/** When the other node sent something, in milliseconds of the steady clock. */
	heardAt: number;
	/** Bytes of short answers that the other node has not read, as of the last check. */
	shortUnreadBytes: number;
};

/** Another node exceeds a limit on what this node buffers or keeps for it. */
class FloodError extends Error {}

/** Maximum number of requests in flight on one connection, many times the number that the users' nodes have. */
const maxIncomingRequestCount = 4096;

/** Maximum bytes buffered for incomplete frames and bodies over all connections: a third of the memory of a process on the users' smallest VMs, and as much as the entry buffers for request bodies. */
const maxBufferedBytes = 83_886_080;

/** Longer answers are written in pieces, and counted until the other node has read them. */
const shortAnswerBytes = 16_384;

/** Maximum unsent response bytes on a connection that requests the configuration: several times the largest configuration, and more than the users' fastest links carry in a second. */
const maxUnreadBytes = 33_554_432;

/**
 * How long shutdown waits for other nodes to read the last responses. Other nodes read immediately unless they hang. A megabyte
 * in the system's send buffers takes 0.8 s over the users' slowest links, but most of that time has passed before shutdown.
 */
const closeTimeoutMs = 300;

const endDetails: Readonly<Record<ScopeEndReason, string>> = {
	timeout: 'it was not complete before the deadline',
	cancelled: 'call was cancelled',
	superseded: 'call was cancelled',
	stopping: 'it is not complete before the node of the backend server has to stop',
};

/** Whether the other node waits for something on a connection. */
const isInUse = ({requests, unread, socket}: Connection): boolean => requests.size > 0 || unread.size > 0 || socket.writableLength > 0;

/** Whether the other node has read all answers and waits for servers, so that its silence does not show that it has stopped. */
const isWaiting = ({requests, unread, socket}: Connection): boolean =>
	unread.size === 0 && socket.writableLength === 0 && [...requests.values()].some(({body}) => body === undefined);

function cancelRequests({requests}: Connection): void {
	for (const {scope} of requests.values()) {
		scope.end('cancelled');
	}
}

/**
 * Creates the server that accepts requests from other nodes.
 *
 * @param context - The gate and its dependencies.
 * @returns The server, not listening yet.
 * @internal
 */
export function createGateServer(context: GateServerContext): GateServer {
	const {
		gate, getConfig, answerQuotaAsk, waitForPendingInput, log, refusals, link, ledger = createDefaultLedger(), maxConnections = Number.POSITIVE_INFINITY,
	} = context;
	const connections = new Set<Connection>();
	const bySocket = new WeakMap<Socket, Connection>();
	let bufferedBytes = 0;
	let stopTime = Number.POSITIVE_INFINITY;

	const updateBufferedBytes = (connection: Connection, bytes: number): void => {
		bufferedBytes += bytes - connection.bufferedBytes;
		connection.account.release('buffers', connection.bufferedBytes);
		connection.account.add('buffers', bytes);
		connection.bufferedBytes = bytes;
	};

	const countBufferedBytes = ({reader, pieceBytes}: Connection): number => reader.countBufferedBytes() + pieceBytes;

	/** Stops waiting for the body of a request. */
	const closeBody = (connection: Connection, incoming: IncomingRequest): void => {
		if (incoming.body === undefined) {
			return;
		}

		connection.pieceBytes -= incoming.body.countBytes();
		incoming.body = undefined;
		updateBufferedBytes(connection, connection.socket.destroyed ? 0 : countBufferedBytes(connection));
	};

	/** Requests the body of an offered request, once the request holds a slot. */
	const fetchBody = async (connection: Connection, id: number, {bodyMs = 0}: PeerRequest, incoming: IncomingRequest): Promise<Uint8Array> => new Promise((resolve, reject) => {
		const {scope} = incoming;
		const expectedAt = readSteadyMs() + bodyMs;
		if (expectedAt > scope.deadlineAt) {
			reject(new BodyNotReceivedError('timeout', 'the sender cannot send it before the deadline'));
			return;
		}

		incoming.body = createIncomingBody(expectedAt, body => {
			closeBody(connection, incoming);
			resolve(body);
		});
		scope.subscribe(reason => {
			closeBody(connection, incoming);
			reject(new BodyNotReceivedError(reason, endDetails[reason]));
		});
		link.write(connection.socket, {type: 'continue', id, head: encodeContinue()});
	});

	const handlePiece = (connection: Connection, {id, body}: Frame): void => {
		connection.pieceBytes += connection.requests.get(id)?.body?.addPiece(body) ?? 0;
	};

	const runAtGate = async (connection: Connection, frame: Frame, request: PeerRequest, incoming: IncomingRequest): Promise<GateResult> => {
		try {
			await waitForPendingInput();
			return await gate.run({
				...request,
				scope: incoming.scope,
				isLargeUpload: frame.type === 'offer',
				bodyMs: frame.type === 'offer' ? request.bodyMs ?? 0 : undefined,
				readBody: async () => frame.type === 'offer' ? fetchBody(connection, frame.id, request, incoming) : (request.hasBody ? frame.body : undefined),
			});
		} catch (error) {
			log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
			return {result: createMayHaveRun('wrong-answer', 'internal error of the gate'), load: undefined};
		}
	};

	/** Throws if the id is already in flight, because the responses could not be distinguished, or if too many requests are in flight. */
	const checkRequest = ({requests}: Connection, {id}: Frame): void => {
		if (requests.has(id)) {
			throw new FieldError('frame.id', id, 'an id that is not in flight on this connection');
		}

		if (requests.size >= maxIncomingRequestCount) {
			throw new FloodError(`more than ${maxIncomingRequestCount} requests in flight on one connection`);
		}
	};

	const checkUnread = ({socket}: Connection, maxBytes = maxUnreadBytes): void => {
		if (socket.writableLength + link.countQueuedBytes(socket) > maxBytes) {
			throw new FloodError(`more than ${maxBytes} bytes of unread responses on one connection`);
		}
	};

	const releaseUnread = ({account, unread}: Connection, id: number): void => {
		account.release('buffers', unread.get(id) ?? 0);
		unread.delete(id);
	};

	/** Counts the short answers that wait for the other node. A connection that is read has none. */
	const updateShortUnread = (connection: Connection): void => {
		const {socket, account} = connection;
		if (socket.writableLength !== connection.shortUnreadBytes) {
			account.release('buffers', connection.shortUnreadBytes);
			connection.shortUnreadBytes = socket.writableLength;
			account.add('buffers', connection.shortUnreadBytes);
		}
	};

	/** Counts a long answer until the other node has read it. */
	const writeAnswer = (connection: Connection, frame: Parameters<LinkWriter['write']>[1]): void => {
		const bytes = frame.body?.length ?? 0;
		if (bytes <= shortAnswerBytes) {
			link.write(connection.socket, frame);
			return;
		}

		connection.unread.set(frame.id, bytes);
		connection.account.add('buffers', bytes);
		link.write(connection.socket, frame, () => {
			connection.account.recordProgress();
			releaseUnread(connection, frame.id);
		});
	};

	const handleRequest = async (connection: Connection, frame: Frame, request: PeerRequest): Promise<void> => {
		const scope = createCallScope(readSteadyMs() + request.leftMs, stopTime);
		const incoming: IncomingRequest = {scope, body: undefined};
		connection.requests.set(frame.id, incoming);
		const result = await runAtGate(connection, frame, request, incoming);
		connection.requests.delete(frame.id);
		closeBody(connection, incoming);
		scope.dispose();
		try {
			writeAnswer(connection, {type: 'answer', id: frame.id, ...encodePeerAnswer(result)});
		} catch (error) {
			log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
			connection.socket.destroy();
		}
	};

	const handleFrame = (connection: Connection, frame: Frame): void => {
		switch (frame.type) {
			case 'request':
			case 'offer': {
				const request = decodePeerRequest(frame.head);
				checkRequest(connection, frame);
				// The higher limit applies because large responses legitimately queue for a slow link.
				checkUnread(connection, maxBufferedBytes);
				void handleRequest(connection, frame, request);
				break;
			}

			case 'body': {
				connection.requests.get(frame.id)?.body?.finish(frame.body);
				break;
			}

			case 'piece': {
				handlePiece(connection, frame);
				break;
			}

			case 'cancel': {
				connection.requests.get(frame.id)?.scope.end('cancelled');
				if (link.cancel(connection.socket, frame.id)) {
					releaseUnread(connection, frame.id);
				}

				break;
			}

			case 'config': {
				checkUnread(connection);
				// Urgent, because the other node routes by an older version until it has this one.
				link.writeUrgent(connection.socket, {type: 'answer', id: frame.id, ...getConfig(decodeConfigRequest(frame.head))});
				break;
			}

			case 'ping': {
				// The higher limit applies because large responses may legitimately queue on a connection that is probed.
				checkUnread(connection, maxBufferedBytes);
				link.write(connection.socket, {type: 'pong', id: frame.id});
				break;
			}

			case 'quota': {
				checkUnread(connection);
				// Without a head, the other node takes the answer for a missing one.
				link.write(connection.socket, {type: 'answer', id: frame.id, head: answerQuotaAsk?.(frame.head)});
				break;
			}

			case 'continue':
			case 'answer':
			case 'pong': {
				throw new FieldError('frame.type', frame.type, 'request, offer, body, piece, cancel, config, ping or quota');
			}
		}
	};

	const refuse = (connection: Connection, cause: RefusalCause, reason: string): void => {
		refusals.record({
			kind: 'peer-refused', cause, place: connection.peerAddress, reason,
		});
		connection.socket.destroy();
		// Releases the bytes now instead of on close, so that they do not count against the next connection.
		updateBufferedBytes(connection, 0);
	};

	/** Handles the frames in received bytes and accounts for the bytes of an incomplete frame and of incomplete bodies. */
	const readBytes = (connection: Connection, bytes: Uint8Array): void => {
		for (const frame of connection.reader.read(bytes)) {
			handleFrame(connection, frame);
		}

		updateBufferedBytes(connection, countBufferedBytes(connection));
		if (bufferedBytes > maxBufferedBytes) {
			throw new FloodError(`more than ${maxBufferedBytes} bytes of incomplete frames and bodies over all connections`);
		}
	};

	const server = createServer({noDelay: true});
	createConnectionLimit(server, {
		maxOpen: maxConnections,
		getIdleSince(socket) {
			const connection = bySocket.get(socket);
			return connection === undefined || isInUse(connection) ? undefined : connection.heardAt;
		},
		handleClosed(socket) {
			refusals.record({
				kind: 'peer-refused', cause: 'flood', place: socket.remoteAddress ?? '', reason: `more than ${maxConnections} connections of other nodes`,
			});
		},
	});
	server.on('connection', socket => {
		if (socket.destroyed) {
			return;
		}

		const account = ledger.open(() => {
			refuse(connection, 'flood', 'it holds most of the memory for bodies and answers, and does not read');
		}, () => isWaiting(connection));
		const connection: Connection = {
			socket, peerAddress: `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`, requests: new Map(), reader: createFrameReader(), bufferedBytes: 0, pieceBytes: 0, account, unread: new Map(), heardAt: readSteadyMs(), shortUnreadBytes: 0,
		};
		connections.add(connection);
		bySocket.set(socket, connection);
		socket.on('data', (bytes: Uint8Array) => {
			if (socket.destroyed) {
				return;
			}

			connection.heardAt = readSteadyMs();
			connection.account.recordProgress();
			try {
				readBytes(connection, bytes);
				updateShortUnread(connection);
			} catch (error) {
				refuse(connection, error instanceof FloodError ? 'flood' : 'unreadable', (error as Error).message);
			}
		});
		socket.on('drain', () => {
			updateShortUnread(connection);
		});
		socket.on('error', () => {
			// The close event that follows cancels the requests.
		});
		socket.once('close', () => {
			connections.delete(connection);
			cancelRequests(connection);
			updateBufferedBytes(connection, 0);
			account.close();
		});
	});

	return {
		server,
		countUnsentResponses: () => link.countQueued() + [...connections].filter(({socket}) => socket.writableLength > 0).length,
		stopAt(time) {
			stopTime = time;
			const incoming = [...connections].flatMap(({requests}) => [...requests.values()]);
			stopScopesAt(new Set(incoming.map(({scope}) => scope)), time);
			for (const {scope, body} of incoming) {
				if (body !== undefined && body.expectedAt > time) {
					scope.end('stopping');
				}
			}
		},
		async dispose() {
			// Destroying a socket with unread input sends a reset, and the other node then loses bytes that it has not read yet. An orderly end avoids this.
			const closed = Promise.all(Array.from(connections, async ({socket}) => new Promise(resolve => {
				socket.once('close', resolve);
				socket.end();
			})));
			const timeout = new AbortController();
			await Promise.race([closed, waitFor(closeTimeoutMs, timeout.signal)]);
			timeout.abort();
			for (const {socket} of connections) {
				socket.destroy();
			}
		},
	};
}
