/**
 * A connection to a backend server as the HTTP client sees it: of what the server sends, it gets the response to the
 * request in work. A faulty server may send bytes that belong to no request, such as a second response to an earlier
 * one. The HTTP client would take them for the response to the request that the connection carries by then.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {createHttpClientStream} from '../common/http-client-stream.js';
import {type CallId} from '../common/ids.js';
import {toBuffer} from '../forwarding/chunked-body-reader.js';
import {createOwnResponseReader, type OwnResponseReader} from '../forwarding/own-response-reader.js';
import {meshHeaders} from './headers.js';

/** What is known of a backend server. @internal */
export type ServerTraits = {
	/** Whether it has named a call in its response. Only then can its responses be told apart, and its connections be kept. */
	namesCalls: boolean;
};

/** Called at the end of the search for the response with the number of bytes that were not of it, if there were any. @internal */
export type OtherBytesHandler = (call: CallId, bytes: number, isAnswered: boolean) => void;

/** Makes the HTTP client close the connection behind the response. */
const closeLine: Uint8Array = Buffer.from('connection: close\r\n', 'latin1');

const headEnd = '\r\n\r\n';

const statusLineEnd = '\r\n';

/** Returns the bytes without the interim responses in front, which the HTTP client does not need. */
function dropInterimResponses(bytes: Uint8Array): ReturnType<typeof toBuffer> {
	let rest = toBuffer(bytes);
	while (/^HTTP\/1\.[01] 1/.test(rest.toString('latin1', 0, 'HTTP/1.1 1'.length))) {
		rest = rest.subarray(rest.indexOf(headEnd) + headEnd.length);
	}

	return rest;
}

/** @internal */
export type ResponseFilter = {
	/** The connection as the HTTP client sees it. */
	readonly stream: Duplex;
	/** Announces the request that the HTTP client writes next: all bytes are skipped up to its response. */
	readonly expectResponse: (call: CallId) => void;
};

/**
 * Creates the filter of a connection that has carried no request.
 *
 * @param socket - The connection.
 * @param traits - What is known of the server; what the responses show is added.
 * @param handleOtherBytes - Called when bytes were skipped.
 * @returns The filter.
 * @internal
 */
export function createResponseFilter(socket: Socket, traits: ServerTraits, handleOtherBytes: OtherBytesHandler): ResponseFilter {
	/** Looks for the response; `undefined` while all bytes are passed on: once the response has begun, and before the first request. */
	let reader: OwnResponseReader | undefined;
	let call: CallId | undefined;
	/** Whether a request was written. One that was announced and then cancelled was not. */
	let isUsed = false;

	const endSearch = (isAnswered: boolean): void => {
		const bytes = reader?.countOtherBytes() ?? 0;
		reader = undefined;
		if (call !== undefined && bytes > 0) {
			handleOtherBytes(call, bytes, isAnswered);
		}
	};

	/** Passes on the beginning of a response. A connection is kept only if the response names its call and nothing else has arrived. */
	const forwardStart = (bytes: Uint8Array, isKept: boolean): void => {
		const start = dropInterimResponses(bytes);
		if (isKept) {
			forward(start);
			return;
		}

		const statusLineBytes = start.indexOf(statusLineEnd) + statusLineEnd.length;
		forward(Buffer.concat([start.subarray(0, statusLineBytes), closeLine, start.subarray(statusLineBytes)]));
	};

	const expectResponse = (next: CallId): void => {
		const isFirst = !isUsed;
		let isNamed = false;
		call = next;
		reader = createOwnResponseReader({
			id: next,
			idHeader: meshHeaders.call,
			// Ends the reading behind the head: the HTTP client determines where the body ends.
			method: 'HEAD',
			isFirstRequest: isFirst,
			isOwnResponse(headers) {
				const found = headers[meshHeaders.call];
				isNamed = found === next;
				// The first response of a connection belongs to its first request. A server that names no calls may forward the id of another one.
				return isNamed || (isFirst && (found === undefined || !traits.namesCalls));
			},
			handleStart(bytes, isExact) {
				traits.namesCalls ||= isNamed;
				endSearch(true);
				forwardStart(bytes, isNamed && isExact);
			},
		});
	};

	const {stream, forward} = createHttpClientStream(socket, {
		handleBytes(bytes) {
			if (reader === undefined) {
				forward(bytes);
			} else {
				reader.read(bytes);
			}
		},
		handleWrite() {
			isUsed = true;
		},
		handleDestroy() {
			endSearch(false);
		},
	});
	return {stream, expectResponse};
}
