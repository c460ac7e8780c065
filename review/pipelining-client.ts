/**
 * A client that keeps its connections open and sends a further request before the first one
 * is answered. Responses must arrive in the order of the requests.
 *
 * @module
 */
import {connect} from 'node:net';

/** A request; the client waits for `leftMs`. */
export type PipelinedRequest = {
	readonly id: string;
	readonly target: string;
	readonly leftMs: number;
	/** Place among the requests that are sent at once. */
	readonly place: number;
};

/** How a request ended. */
export type RequestEnd = {
	/** The status of its complete response; 0 if the connection ended before it. */
	readonly status: number;
	/** True if a response on its connection has announced that the connection closes. */
	readonly isClosing: boolean;
};

export type PipeliningConnection = {
	readonly isIdle: () => boolean;
	/** Sends requests in one write. */
	readonly send: (requests: readonly PipelinedRequest[]) => void;
	readonly close: () => void;
};

type ReceivedResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	/** What was received after it. */
	readonly rest: string;
};

/** Reads the first response in the bytes received, one character each; `undefined` while it is incomplete. */
function readResponse(received: string): ReceivedResponse | undefined {
	const headEnd = received.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const [statusLine = '', ...fields] = received.slice(0, headEnd).split('\r\n');
	const headers = Object.fromEntries(fields.map(field => {
		const colon = field.indexOf(':');
		return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
	}));
	const end = headEnd + 4 + Number(headers['content-length'] ?? 0);
	return received.length < end ? undefined : {status: Number(statusLine.split(' ')[1]), headers, rest: received.slice(end)};
}

/**
 * Opens a connection.
 *
 * @param address - The outbound address of a node.
 * @param handleEnd - Called with each request once it has ended.
 * @returns The connection.
 */
export function openConnection(address: string, handleEnd: (request: PipelinedRequest, end: RequestEnd) => void): PipeliningConnection {
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port), noDelay: true});
	const waiting: PipelinedRequest[] = [];
	let received = '';
	let isOpen = true;
	let isClosing = false;
	const handleClosed = (): void => {
		isOpen = false;
		for (const request of waiting.splice(0)) {
			handleEnd(request, {status: 0, isClosing});
		}
	};

	socket.setEncoding('latin1');
	socket.on('data', (text: string) => {
		received += text;
		for (let response = readResponse(received); response !== undefined; response = readResponse(received)) {
			received = response.rest;
			isClosing ||= response.headers.connection === 'close';
			const request = waiting.shift();
			if (request !== undefined) {
				handleEnd(request, {status: response.status, isClosing});
			}
		}
	});
	socket.on('error', () => undefined);
	socket.once('close', handleClosed);
	return {
		isIdle: () => isOpen && !isClosing && waiting.length === 0,
		send(requests) {
			waiting.push(...requests);
			socket.write(requests.map(({id, target, leftMs}) => `GET ${target} HTTP/1.1\r\nHost: mesh.example\r\nStonemoor-Attempt-Id: ${id}\r\nStonemoor-Deadline-Ms: ${leftMs}\r\n\r\n`).join(''));
		},
		close() {
			socket.destroy();
		},
	};
}
