/**
 * A caller that sends further requests on a connection before it has the responses to those before them.
 *
 * @module
 */
import {connect, type Socket} from 'node:net';
import {platformHeaders} from '../../platform/platform-headers.js';

/** How a request ended. */
export type PipelinedEnd = {
	/** HTTP status; 0 if the connection ended without a complete response. */
	readonly status: number;
	readonly isSigned: boolean;
	readonly text: string;
	/** Whether the request was sent behind another one that was not answered. */
	readonly isBehind: boolean;
	/** Whether the caller closed the connection itself. */
	readonly hasLeft: boolean;
};

export type PipeliningCaller = {
	/** Sends a request without a body. The caller closes the connection if the response is not complete in time. */
	readonly send: (target: string, id: string, timeLeftMs: number, disconnectAfterMs: number) => Promise<PipelinedEnd>;
	readonly close: () => void;
};

type Waiting = {readonly isBehind: boolean; readonly resolve: (end: PipelinedEnd) => void};

type Connection = {
	readonly socket: Socket;
	/** Requests without a response, in their order. */
	readonly waiting: Waiting[];
	unread: string;
	isClosing: boolean;
	hasLeft: boolean;
};

/** Requests on one connection whose responses are outstanding. */
const maxOutstanding = 4;

/** A response at the start of what was read; `undefined` if it is not complete. */
function readResponse(unread: string): {readonly status: number; readonly head: string; readonly text: string; readonly length: number} | undefined {
	const headEnd = unread.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const head = unread.slice(0, headEnd).toLowerCase();
	const bodyStart = headEnd + 4;
	const length = bodyStart + Number(/\r\ncontent-length: *(\d+)/u.exec(head)?.[1] ?? 0);
	return unread.length < length
		? undefined
		: {
			status: Number(/^http\/1\.1 (\d{3})/u.exec(head)?.[1] ?? 0), head, text: unread.slice(bodyStart, length), length,
		};
}

/**
 * Creates a caller.
 *
 * @param address - `IP:PORT` of the node, or of the link to it.
 * @returns The caller, without a connection.
 */
export function createPipeliningCaller(address: string): PipeliningCaller {
	const [host = '', port] = address.split(':');
	const connections = new Set<Connection>();

	const handleData = (connection: Connection, text: string): void => {
		connection.unread += text;
		for (let response = readResponse(connection.unread); response !== undefined; response = readResponse(connection.unread)) {
			const {status, head, text: body, length} = response;
			connection.unread = connection.unread.slice(length);
			connection.isClosing ||= /\r\nconnection: *close/u.test(head);
			const waiting = connection.waiting.shift();
			waiting?.resolve({
				status, isSigned: head.includes(`\r\n${platformHeaders.signature}:`), text: body, isBehind: waiting.isBehind, hasLeft: false,
			});
		}

		if (connection.isClosing) {
			connection.socket.end();
		}
	};

	const open = (): Connection => {
		const socket = connect({host, port: Number(port), noDelay: true});
		const connection: Connection = {
			socket, waiting: [], unread: '', isClosing: false, hasLeft: false,
		};
		connections.add(connection);
		socket.setEncoding('utf8');
		socket.on('data', (text: string) => {
			handleData(connection, text);
		});
		socket.on('error', () => undefined);
		socket.once('close', () => {
			connections.delete(connection);
			for (const {isBehind, resolve} of connection.waiting.splice(0)) {
				resolve({
					status: 0, isSigned: false, text: connection.unread, isBehind, hasLeft: connection.hasLeft,
				});
			}
		});
		return connection;
	};

	const leave = (connection: Connection): void => {
		connection.hasLeft = true;
		connection.socket.destroy();
	};

	return {
		async send(target, id, timeLeftMs, disconnectAfterMs) {
			const connection = [...connections].find(({waiting, isClosing, socket}) => !isClosing && socket.writable && waiting.length < maxOutstanding) ?? open();
			return new Promise(resolve => {
				const waiting: Waiting = {isBehind: connection.waiting.length > 0, resolve};
				connection.waiting.push(waiting);
				connection.socket.write(`GET ${target} HTTP/1.1\r\nhost: mesh.example\r\n${platformHeaders.callId}: ${id}\r\n${platformHeaders.timeLeft}: ${timeLeftMs}\r\n\r\n`);
				setTimeout(() => {
					if (connection.waiting.includes(waiting)) {
						leave(connection);
					}
				}, disconnectAfterMs);
			});
		},
		close() {
			for (const connection of connections) {
				leave(connection);
			}
		},
	};
}
