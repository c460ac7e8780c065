/**
 * Takes requests of other nodes for the backend server beside this one, and
 * hands the configuration in force to nodes that lack it.
 *
 * @module
 */
import {createServer, type Server, type Socket} from 'node:net';
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type LoopLag} from '../common/loop-lag.js';
import {FieldError} from '../common/field-error.js';
import {type MeshLog, type RefusalCause} from '../timeline/mesh-log.js';
import {type Refusals} from '../timeline/refusals.js';
import {createCallScope, type CallScope} from './call-scope.js';
import {countUnsent} from './connection-scopes.js';
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
	/** What a node is sent that has a version of the configuration. */
	readonly getConfig: (version: number) => EncodedConfigAnswer;
	/** Lets whatever has arrived meanwhile be heard, if this process lags behind. */
	readonly catchUp: LoopLag['catchUp'];
	readonly log: MeshLog;
	readonly refusals: Refusals;
	/** Writes to the link of this VM. */
	readonly link: LinkWriter;
};

/** @internal */
export type GateServer = {
	readonly server: Server;
	/** Answers, or connections with answers, that have not left yet. */
	readonly countUnsent: () => number;
	/** Closes every connection once what was written to it has been read; settles when that is done, or does not come about soon. */
	readonly dispose: () => Promise<void>;
};

/** One request under way on a connection. */
type Incoming = {
	readonly scope: CallScope;
	/** Takes the body of an offer; `undefined` if none is waited for. */
	takeBody: ((body: Uint8Array) => void) | undefined;
};

type Connection = {
	readonly socket: Socket;
	/** Where it comes from, for people: a socket that has closed does not tell any more. */
	readonly place: string;
	readonly incoming: Map<number, Incoming>;
	/** Bytes of a frame that is not whole yet. */
	heldBytes: number;
};

/** More than any node sends, of something that this one holds for it. */
class FloodError extends Error {}

/** Requests under way on one connection at the most: many times what nodes of the users have. */
const mostIncoming = 4096;

/** What connections may hold of frames that are not whole yet. Bytes: a third of what the smallest VMs of the users give a process, as much as the entry holds of bodies. */
const mostHeldBytes = 83_886_080;

/** Answers that a node may leave unread. Bytes: several times the largest configuration, and more than all the answers that are read in a second over the fastest links of the users. */
const mostUnreadBytes = 33_554_432;

/**
 * What other nodes may take to read the last answers once a node has nothing else to do. Milliseconds: they read at once unless they stand still, and a
 * megabyte in the system's buffers takes 0.8 s over the slowest links of the users, most of which has passed by then.
 */
const lastBytesMs = 300;

function endAll({incoming}: Connection): void {
	for (const {scope} of incoming.values()) {
		scope.end('cancelled');
	}
}

/**
 * @param context - The gate and what it works with.
 * @returns The server, not listening yet.
 * @internal
 */
export function createGateServer(context: GateServerContext): GateServer {
	const {gate, getConfig, catchUp, log, refusals, link} = context;
	const connections = new Set<Connection>();
	let heldBytes = 0;

	/** Asks for the body of an offer once a slot is held. */
	const fetchBody = async (connection: Connection, id: number, one: Incoming): Promise<Uint8Array> => new Promise((resolve, reject) => {
		one.takeBody = resolve;
		one.scope.subscribe(() => {
			reject(new Error('the caller has gone'));
		});
		link.write(connection.socket, {type: 'continue', id});
	});

	const runGate = async (connection: Connection, frame: Frame, request: PeerRequest, one: Incoming): Promise<GateResult> => {
		try {
			await catchUp();
			return await gate.run({
				...request,
				scope: one.scope,
				isTransfer: frame.type === 'offer',
				readBody: async () => frame.type === 'offer' ? fetchBody(connection, frame.id, one) : (request.hasBody ? frame.body : undefined),
			});
		} catch (error) {
			log.record('error', {kind: 'node-failed', reason: (error as Error).stack ?? String(error)});
			return {result: createMayHaveRun('wrong-answer', 'a fault of the gate'), load: undefined};
		}
	};

	/** An id that is under way already would have its answers taken for those of another request. */
	const checkRequest = ({incoming}: Connection, {id}: Frame): void => {
		if (incoming.has(id)) {
			throw new FieldError('frame.id', id, 'one that is not under way on this connection');
		}

		if (incoming.size >= mostIncoming) {
			throw new FloodError(`more than ${mostIncoming} requests under way on one connection`);
		}
	};

	const checkUnread = ({socket}: Connection, mostBytes = mostUnreadBytes): void => {
		if (socket.writableLength + link.countHeldBytes(socket) > mostBytes) {
			throw new FloodError(`more than ${mostBytes} bytes of answers that are not read`);
		}
	};

	const answer = async (connection: Connection, frame: Frame, request: PeerRequest): Promise<void> => {
		const scope = createCallScope(readSteadyMs() + request.leftMs);
		const one: Incoming = {scope, takeBody: undefined};
		connection.incoming.set(frame.id, one);
		const result = await runGate(connection, frame, request, one);
		connection.incoming.delete(frame.id);
		scope.dispose();
		try {
			link.write(connection.socket, {type: 'answer', id: frame.id, ...encodePeerAnswer(result)});
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
				// Large answers of servers wait for a slow link by right.
				checkUnread(connection, mostHeldBytes);
				void answer(connection, frame, request);
				break;
			}

			case 'body': {
				connection.incoming.get(frame.id)?.takeBody?.(frame.body);
				break;
			}

			case 'cancel': {
				connection.incoming.get(frame.id)?.scope.end('cancelled');
				link.cancel(connection.socket, frame.id);
				break;
			}

			case 'config': {
				checkUnread(connection);
				// Whoever asks serves by an older version meanwhile.
				link.writeFirst(connection.socket, {type: 'answer', id: frame.id, ...getConfig(decodeConfigRequest(frame.head))});
				break;
			}

			case 'ping': {
				// Whoever asks whether the connection works may be waiting for large answers on it.
				checkUnread(connection, mostHeldBytes);
				link.write(connection.socket, {type: 'pong', id: frame.id});
				break;
			}

			case 'continue':
			case 'answer':
			case 'pong': {
				throw new FieldError('frame.type', frame.type, 'one of those that a node sends that asks');
			}
		}
	};

	const noteHeld = (connection: Connection, bytes: number): void => {
		heldBytes += bytes - connection.heldBytes;
		connection.heldBytes = bytes;
	};

	const refuse = (connection: Connection, cause: RefusalCause, reason: string): void => {
		refusals.note({
			kind: 'peer-refused', cause, place: connection.place, reason,
		});
		connection.socket.destroy();
		// At once, so that the next connection is not refused for what this one held.
		noteHeld(connection, 0);
	};

	/** Reads what has arrived; counts what is held of frames that are not whole. */
	const readBytes = (connection: Connection, reader: FrameReader, bytes: Uint8Array): void => {
		for (const frame of reader.read(bytes)) {
			handleFrame(connection, frame);
		}

		noteHeld(connection, reader.countBufferedBytes());
		if (heldBytes > mostHeldBytes) {
			throw new FloodError(`more than ${mostHeldBytes} bytes of frames that are not whole`);
		}
	};

	const server = createServer({noDelay: true}, socket => {
		const connection: Connection = {
			socket, place: `${socket.remoteAddress ?? ''}:${socket.remotePort ?? 0}`, incoming: new Map(), heldBytes: 0,
		};
		const reader = createFrameReader();
		connections.add(connection);
		socket.on('data', (bytes: Uint8Array) => {
			if (socket.destroyed) {
				return;
			}

			try {
				readBytes(connection, reader, bytes);
			} catch (error) {
				refuse(connection, error instanceof FloodError ? 'flood' : 'unreadable', (error as Error).message);
			}
		});
		socket.on('error', () => {
			// What it means for the requests is told by the close that follows.
		});
		socket.once('close', () => {
			noteHeld(connection, 0);
			connections.delete(connection);
			endAll(connection);
		});
	});

	return {
		server,
		countUnsent: () => link.countWaiting() + countUnsent(Array.from(connections, ({socket}) => socket)),
		async dispose() {
			// A connection that is destroyed while something unread arrives on it is reset, and the system drops what had not been read there.
			const closed = Promise.all(Array.from(connections, async ({socket}) => new Promise(resolve => {
				socket.once('close', resolve);
				socket.end();
			})));
			const timeOver = new AbortController();
			await Promise.race([closed, waitFor(lastBytesMs, timeOver.signal)]);
			timeOver.abort();
			for (const {socket} of connections) {
				socket.destroy();
			}
		},
	};
}
