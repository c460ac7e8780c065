/**
 * Parses one HTTP/1.1 response from the bytes of a connection. The parser is strict:
 * it refuses every ambiguous response, because a wrong length would make the rest of
 * this response look like the next one (response splitting).
 *
 * The HTTP client of Node.js is not used because it creates four objects with streams
 * and listeners for each request. On a small VM, where most code is not yet optimized,
 * that is a large part of a call's CPU time.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {createBodyCollector, type BodyCollector} from '../common/body-collector.js';
import {ResponseFormatError} from './response-format-error.js';
import {createChunkedBodyReader, toBuffer, type ChunkedBodyReader} from './chunked-body-reader.js';

/** A complete response. @internal */
export type CompleteResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Whether the connection can be reused for another request. */
	readonly isReusable: boolean;
};

/** The status and headers of a response whose body may be incomplete. @internal */
export type ResponseHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** @internal */
export type ResponseParser = {
	/** Parses more bytes. Returns the response once it is complete. Throws a ResponseFormatError if the bytes are not a valid response. */
	readonly read: (bytes: Uint8Array) => CompleteResponse | undefined;
	/** Returns the status and headers once they are parsed. */
	readonly getHead: () => ResponseHead | undefined;
	/** Whether the response has neither a length nor chunks, so that it ends when the connection closes. */
	readonly isCloseDelimited: () => boolean;
	/** Handles an orderly close of the connection. Returns the response if the close completes it. */
	readonly end: () => CompleteResponse | undefined;
	/** Whether bytes follow the complete response. */
	readonly hasExcessBytes: () => boolean;
};

/** Maximum size of the status line and headers, the default of Node.js. */
const maxHeadBytes = 16_384;

/** Maximum size of a response. A response is buffered whole and must fit into one frame with its head. The limit is several times the users' largest response. @internal */
export const maxResponseBytes = 100_663_296;

/** Maximum number of heads up to and including the final one. Servers send one or two interim responses, such as 100 Continue. */
const maxInterimResponseCount = 32;

const statusLinePattern = /^HTTP\/1\.([01]) (\d{3})(?: [^\r\n]*)?$/;
const fieldNamePattern = /^[\w!#$%&'*+.^`|~-]+$/;
const digitsPattern = /^\d+$/;

/** Characters that a header value sent to the caller must not contain. */
const forbiddenValueCharacters = /[^\t\u0020-\u007E\u0080-\u00FF]/;

/** Statuses whose responses have no body and need no Content-Length. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Headers that may occur several times and cannot be combined into one value. */
const multiValueFields: ReadonlySet<string> = new Set(['set-cookie']);

/** Headers that determine the length of the response. A second one makes the length ambiguous. */
const singleValueFields: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

type Framing =
	| {readonly type: 'none'}
	| {readonly type: 'length'; readonly bytes: number}
	| {readonly type: 'chunked'}
	| {readonly type: 'until-end'};

type ParsedHead = ResponseHead & {readonly framing: Framing; readonly isReusable: boolean};

function addField(headers: Record<string, string | string[]>, line: string): void {
	const colon = line.indexOf(':');
	const name = line.slice(0, Math.max(0, colon)).toLowerCase();
	if (!fieldNamePattern.test(name)) {
		throw new ResponseFormatError('response header line has no valid name');
	}

	const value = line.slice(colon + 1).trim();
	if (forbiddenValueCharacters.test(value)) {
		throw new ResponseFormatError(`response header ${name} contains a control character`);
	}

	// Object.hasOwn, because a header may be named like a property of Object.prototype, such as constructor.
	const existing = Object.hasOwn(headers, name) ? headers[name] : undefined;
	if (existing === undefined) {
		headers[name] = multiValueFields.has(name) ? [value] : value;
	} else if (Array.isArray(existing)) {
		existing.push(value);
	} else if (singleValueFields.has(name)) {
		throw new ResponseFormatError(`response has more than one ${name} header`);
	} else {
		headers[name] = `${existing}, ${value}`;
	}
}

function readFraming(status: number, headers: IncomingHttpHeaders, method: string): Framing {
	if (method === 'HEAD' || bodilessStatuses.has(status)) {
		return {type: 'none'};
	}

	const {'transfer-encoding': encoding, 'content-length': length} = headers;
	if (encoding !== undefined) {
		if (encoding.toLowerCase() !== 'chunked' || length !== undefined) {
			throw new ResponseFormatError('response length is ambiguous: expected either Transfer-Encoding: chunked or Content-Length');
		}

		return {type: 'chunked'};
	}

	if (length === undefined) {
		return {type: 'until-end'};
	}

	if (!digitsPattern.test(length) || !Number.isSafeInteger(Number(length))) {
		throw new ResponseFormatError('Content-Length of the response is not a decimal integer');
	}

	if (Number(length) > maxResponseBytes) {
		throw new ResponseFormatError(`response is larger than ${maxResponseBytes} bytes`);
	}

	return {type: 'length', bytes: Number(length)};
}

function isPersistentConnection(minor: string, headers: IncomingHttpHeaders): boolean {
	const options = (headers.connection ?? '').toLowerCase();
	return minor === '1' ? !options.includes('close') : options.includes('keep-alive');
}

function parseHead(text: string, method: string): ParsedHead {
	const [statusLine = '', ...lines] = text.split('\r\n');
	const [, minor, statusDigits] = statusLinePattern.exec(statusLine) ?? [];
	if (minor === undefined || statusDigits === undefined) {
		throw new ResponseFormatError('response does not start with an HTTP/1.x status line');
	}

	const headers: Record<string, string | string[]> = {};
	for (const line of lines) {
		addField(headers, line);
	}

	const status = Number(statusDigits);
	const framing = readFraming(status, headers, method);
	return {
		status, headers, framing, isReusable: framing.type !== 'until-end' && isPersistentConnection(minor, headers),
	};
}

/**
 * Creates a parser for one response.
 *
 * @param method - Method of the request. A response to HEAD has no body.
 * @returns The parser.
 * @internal
 */
export function createResponseParser(method: string): ResponseParser {
	let buffered: Uint8Array = Buffer.alloc(0);
	let head: ParsedHead | undefined;
	let chunks: ChunkedBodyReader | undefined;
	let isComplete = false;
	let receivedBytes = 0;
	let interimCount = 0;
	/** Parts of the body, joined once when it is complete: joining with each part would copy it many times. */
	let pieces: BodyCollector | undefined;

	const addBytes = (bytes: Uint8Array): void => {
		buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
	};

	const finish = (body: Uint8Array): CompleteResponse => {
		isComplete = true;
		const {status, headers, isReusable} = head!;
		return {
			status, headers, body, isReusable,
		};
	};

	const readNextHead = (): boolean => {
		const end = toBuffer(buffered).indexOf('\r\n\r\n');
		if (end === -1) {
			if (buffered.length > maxHeadBytes) {
				throw new ResponseFormatError('response head is too large');
			}

			return false;
		}

		const parsed = parseHead(toBuffer(buffered).toString('latin1', 0, end), method);
		buffered = buffered.subarray(end + 4);
		if (parsed.status === 101) {
			throw new ResponseFormatError('response 101 Switching Protocols to a request without Upgrade');
		}

		interimCount++;
		if (interimCount > maxInterimResponseCount) {
			throw new ResponseFormatError('too many interim responses');
		}

		if (parsed.status >= 200) {
			head = parsed;
			chunks = parsed.framing.type === 'chunked' ? createChunkedBodyReader() : undefined;
		}

		return true;
	};

	const readFixedLengthBody = (bytes: number): CompleteResponse | undefined => {
		const piece = buffered.subarray(0, bytes - (pieces?.countBytes() ?? 0));
		buffered = buffered.subarray(piece.length);
		// Most bodies arrive in one part.
		if (piece.length === bytes) {
			return finish(piece);
		}

		pieces ??= createBodyCollector();
		pieces.append(piece);
		return pieces.countBytes() === bytes ? finish(pieces.build()) : undefined;
	};

	const readChunkedBody = (reader: ChunkedBodyReader): CompleteResponse | undefined => {
		buffered = buffered.subarray(reader.read(buffered));
		return reader.isComplete() ? finish(reader.getBody()) : undefined;
	};

	const readBody = ({framing}: ParsedHead): CompleteResponse | undefined => {
		switch (framing.type) {
			case 'none': {
				return finish(Buffer.alloc(0));
			}

			case 'length': {
				return readFixedLengthBody(framing.bytes);
			}

			case 'chunked': {
				return readChunkedBody(chunks!);
			}

			case 'until-end': {
				pieces ??= createBodyCollector();
				pieces.append(buffered);
				buffered = Buffer.alloc(0);
				return undefined;
			}
		}
	};

	return {
		read(bytes) {
			receivedBytes += bytes.length;
			if (receivedBytes > maxResponseBytes) {
				throw new ResponseFormatError(`response is larger than ${maxResponseBytes} bytes`);
			}

			addBytes(bytes);
			while (head === undefined) {
				if (!readNextHead()) {
					return undefined;
				}
			}

			return isComplete ? undefined : readBody(head);
		},
		getHead: () => head,
		isCloseDelimited: () => head?.framing.type === 'until-end',
		end: () => head?.framing.type === 'until-end' && !isComplete ? finish(pieces?.build() ?? Buffer.alloc(0)) : undefined,
		hasExcessBytes: () => isComplete && buffered.length > 0,
	};
}
