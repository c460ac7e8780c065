/**
 * Takes requests of other nodes for the backend server beside this one, and
 * hands the configuration in force to nodes that lack it.
 *
 * @module
 */
import {createServer, type Server, type Socket} from 'node:net';
import {readSteadyMs} from '../common/clock.js';
import {type LoopLag} from '../common/loop-lag.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {createCallScope, type CallScope} from './call-scope.js';
import {countUnsent} from './connection-scopes.js';
import {createFrameReader, writeFrame, type Frame} from './frame.js';
import {decodeConfigRequest, type EncodedConfigAnswer} from './config-messages.js';
import {createMayHaveRun, type GateResult} from './forward-result.js';
import {createLargeAnswers} from './large-answers.js';
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
	/** Megabits a second of this VM's link. */
	readonly linkMbps: number;
};

/** @internal */
export type GateServer = {
	readonly server: Server;
	/** Answers, or connections with answers, that have not left yet. */
	readonly countUnsent: () => number;
	/** Closes every connection. */
	readonly dispose: () => void;
};

/** One request under way on a connection. */
type Incoming = {
	readonly scope: CallScope;
	/** Takes the body of an offer; `undefined` if none is waited for. */
	takeBody: ((body: Uint8Array) => void) | undefined;
};

type Connection = {
	readonly socket: Socket;
	readonly incoming: Map<number, Incoming>;
};

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
	const {gate, getConfig, catchUp, log} = context;
	const connections = new Set<Connection>();
	const answers = createLargeAnswers(context.linkMbps);

	/** Asks for the body of an offer once a slot is held. */
	const fetchBody = async (connection: Connection, id: number, one: Incoming): Promise<Uint8Array> => new Promise((resolve, reject) => {
		one.takeBody = resolve;
		one.scope.subscribe(() => {
			reject(new Error('the caller has gone'));
		});
		writeFrame(connection.socket, {type: 'continue', id});
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

	const answer = async (connection: Connection, frame: Frame, request: PeerRequest): Promise<void> => {
		const scope = createCallScope(readSteadyMs() + request.leftMs);
		const one: Incoming = {scope, takeBody: undefined};
		connection.incoming.set(frame.id, one);
		const result = await runGate(connection, frame, request, one);
		connection.incoming.delete(frame.id);
		scope.dispose();
		answers.write(connection.socket, {type: 'answer', id: frame.id, ...encodePeerAnswer(result)});
	};

	const handleFrame = (connection: Connection, frame: Frame): void => {
		switch (frame.type) {
			case 'request':
			case 'offer': {
				void answer(connection, frame, decodePeerRequest(frame.head));
				break;
			}

			case 'body': {
				connection.incoming.get(frame.id)?.takeBody?.(frame.body);
				break;
			}

			case 'cancel': {
				connection.incoming.get(frame.id)?.scope.end('cancelled');
				break;
			}

			case 'config': {
				writeFrame(connection.socket, {type: 'answer', id: frame.id, ...getConfig(decodeConfigRequest(frame.head))});
				break;
			}

			case 'ping': {
				writeFrame(connection.socket, {type: 'pong', id: frame.id});
				break;
			}

			case 'continue':
			case 'answer':
			case 'pong': {
				connection.socket.destroy(new Error(`a frame of type ${frame.type} from a node that asks`));
				break;
			}
		}
	};

	const server = createServer({noDelay: true}, socket => {
		const connection: Connection = {socket, incoming: new Map()};
		const reader = createFrameReader();
		connections.add(connection);
		socket.on('data', (bytes: Uint8Array) => {
			try {
				for (const frame of reader.read(bytes)) {
					handleFrame(connection, frame);
				}
			} catch (error) {
				log.record('warn', {kind: 'peer-refused', address: socket.remoteAddress ?? '', reason: (error as Error).message});
				socket.destroy();
			}
		});
		socket.on('error', () => {
			// What it means for the requests is told by the close that follows.
		});
		socket.once('close', () => {
			connections.delete(connection);
			endAll(connection);
		});
	});

	return {
		server,
		countUnsent: () => answers.countWaiting() + countUnsent(Array.from(connections, ({socket}) => socket)),
		dispose() {
			for (const {socket} of connections) {
				socket.destroy();
			}
		},
	};
}
