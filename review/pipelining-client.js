/**
 * A client that keeps its connections open and sends a further request before the first one
 * is answered. Responses must arrive in the order of the requests.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

/** Reads the first response in a buffer; `undefined` while it is incomplete. */
function readResponse(bytes) {
	const headEnd = bytes.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const [statusLine, ...fields] = bytes.toString('latin1', 0, headEnd).split('\r\n');
	const headers = Object.fromEntries(fields.map(field => {
		const colon = field.indexOf(':');
		return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
	}));
	const end = headEnd + 4 + Number(headers['content-length'] ?? 0);
	return bytes.length < end ? undefined : {status: Number(statusLine.split(' ')[1]), headers, rest: bytes.subarray(end)};
}

/**
 * Opens a connection.
 *
 * @param address - The outbound address of a node.
 * @param handleEnd - Called with each request once it has ended: with the status of its complete response, or with 0 if the connection ended before it.
 * @returns The connection.
 */
export function openConnection(address, handleEnd) {
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port), noDelay: true});
	const waiting = [];
	let received = Buffer.alloc(0);
	let isOpen = true;
	let isClosing = false;
	const handleClosed = () => {
		isOpen = false;
		for (const request of waiting.splice(0)) {
			handleEnd(request, {status: 0, isClosing});
		}
	};

	socket.on('data', bytes => {
		received = Buffer.concat([received, bytes]);
		for (let response = readResponse(received); response !== undefined; response = readResponse(received)) {
			received = response.rest;
			isClosing ||= response.headers.connection === 'close';
			handleEnd(waiting.shift(), {status: response.status, isClosing, headers: response.headers});
		}
	});
	socket.on('error', () => undefined);
	socket.once('close', handleClosed);
	return {
		isIdle: () => isOpen && !isClosing && waiting.length === 0,
		/** Sends requests in one write, each with an id, a target and the milliseconds that the client will wait. */
		send(requests) {
			waiting.push(...requests);
			socket.write(requests.map(({id, target, leftMs}) => `GET ${target} HTTP/1.1\r\nHost: mesh.example\r\nStonemoor-Attempt-Id: ${id}\r\nStonemoor-Deadline-Ms: ${leftMs}\r\n\r\n`).join(''));
		},
		close() {
			socket.destroy();
		},
	};
}
