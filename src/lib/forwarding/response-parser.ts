/**
 * Reads one HTTP/1.1 answer out of the bytes of a connection, strictly: whatever
 * could be read in two ways is refused, since the rest of it would be taken for the
 * next answer.
 *
 * Node.js has a client that does this. It builds four objects with streams and
 * listeners for each request, which on a small VM, where code is mostly cold, is
 * a good part of what a call costs its node.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {ResponseFormatError} from './response-format-error.js';
import {createChunkedBodyReader, toBuffer, type ChunkedBodyReader} from './chunked-body-reader.js';

/** A whole answer. @internal */
export type CompleteResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Whether the connection may carry another request. */
	readonly isReusable: boolean;
};

/** The head of an answer whose body may still come. @internal */
export type ResponseHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** @internal */
export type ResponseParser = {
	/** Takes bytes; yields the answer once it is whole. Throws if the bytes are no answer. */
	readonly read: (bytes: Uint8Array) => CompleteResponse | undefined;
	/** The head, as soon as it has been read. */
	readonly getHead: () => ResponseHead | undefined;
	/** Whether only the end of the connection tells where the answer ends. */
	readonly isCloseDelimited: () => boolean;
	/** The connection has ended in order; yields the answer if that makes it whole. */
	readonly end: () => CompleteResponse | undefined;
	/** Whether more bytes came than the answer has. */
	readonly hasExcessBytes: () => boolean;
	/** Takes the bytes behind the whole answer. */
	readonly takeExcessBytes: () => Uint8Array;
};

/** A longer head is no head of a server. Bytes, as Node.js has it by default. */
const maxHeadBytes = 16_384;

/** A longer answer is not taken. Bytes: it is held whole, and has to fit into one frame with its head; several times the largest answers of the users. */
const maxResponseBytes = 100_663_296;

/** Heads before that of the answer, such as 100: servers send one or two. */
const maxInterimResponseCount = 32;

const statusLinePattern = /^HTTP\/1\.([01]) (\d{3})(?: [^\r\n]*)?$/;
const fieldNamePattern = /^[\w!#$%&'*+.^`|~-]+$/;
const digitsPattern = /^\d+$/;

/** What the value of a field cannot be written with to the caller. */
const forbiddenValueCharacters = /[^\t\u0020-\u007E\u0080-\u00FF]/;

/** Statuses whose answers have no body, and need no length. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Fields that a server may send several times and that cannot be joined into one. */
const multiValueFields: ReadonlySet<string> = new Set(['set-cookie']);

/** Fields that tell how the answer is framed: a second one would tell something else. */
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
		throw new ResponseFormatError('a field of the head that has no name');
	}

	const value = line.slice(colon + 1).trim();
	if (forbiddenValueCharacters.test(value)) {
		throw new ResponseFormatError(`the field ${name} holds what no field can`);
	}

	// Names that every object has are names like any others here.
	const existing = Object.hasOwn(headers, name) ? headers[name] : undefined;
	if (existing === undefined) {
		headers[name] = multiValueFields.has(name) ? [value] : value;
	} else if (Array.isArray(existing)) {
		existing.push(value);
	} else if (singleValueFields.has(name)) {
		throw new ResponseFormatError(`${name} came twice`);
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
			throw new ResponseFormatError('the length of the answer can be read in two ways');
		}

		return {type: 'chunked'};
	}

	if (length === undefined) {
		return {type: 'until-end'};
	}

	if (!digitsPattern.test(length) || !Number.isSafeInteger(Number(length))) {
		throw new ResponseFormatError('a length that is no number');
	}

	if (Number(length) > maxResponseBytes) {
		throw new ResponseFormatError(`an answer of more than ${maxResponseBytes} bytes`);
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
		throw new ResponseFormatError('the first line is none of an answer');
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
 * @param method - Method of the request, which tells whether a body follows.
 * @returns A reader that has seen nothing yet.
 * @internal
 */
export function createResponseParser(method: string): ResponseParser {
	let buffered: Uint8Array = Buffer.alloc(0);
	let head: ParsedHead | undefined;
	let chunks: ChunkedBodyReader | undefined;
	let isComplete = false;
	let receivedBytes = 0;
	let interimCount = 0;
	/** Bodies of a known length are joined once, not with each piece. */
	const pieces: Uint8Array[] = [];
	let piecesBytes = 0;

	const addBytes = (bytes: Uint8Array): void => {
		buffered = buffered.length === 0 ? bytes : Buffer.concat([buffered, bytes]);
	};

	/** Bodies of a known length are joined once, not with each piece. */
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
				throw new ResponseFormatError('a head that does not end');
			}

			return false;
		}

		const parsed = parseHead(toBuffer(buffered).toString('latin1', 0, end), method);
		buffered = buffered.subarray(end + 4);
		if (parsed.status === 101) {
			throw new ResponseFormatError('another protocol was not asked for');
		}

		interimCount++;
		if (interimCount > maxInterimResponseCount) {
			throw new ResponseFormatError('interim answers that do not end');
		}

		if (parsed.status >= 200) {
			head = parsed;
			chunks = parsed.framing.type === 'chunked' ? createChunkedBodyReader() : undefined;
		}

		return true;
	};

	const readFixedLengthBody = (bytes: number): CompleteResponse | undefined => {
		const piece = buffered.subarray(0, bytes - piecesBytes);
		buffered = buffered.subarray(piece.length);
		pieces.push(piece);
		piecesBytes += piece.length;
		return piecesBytes === bytes ? finish(pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces)) : undefined;
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
				pieces.push(buffered);
				buffered = Buffer.alloc(0);
				return undefined;
			}
		}
	};

	return {
		read(bytes) {
			receivedBytes += bytes.length;
			if (receivedBytes > maxResponseBytes) {
				throw new ResponseFormatError(`an answer of more than ${maxResponseBytes} bytes`);
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
		end: () => head?.framing.type === 'until-end' && !isComplete ? finish(Buffer.concat(pieces)) : undefined,
		hasExcessBytes: () => isComplete && buffered.length > 0,
		takeExcessBytes() {
			const excess = buffered;
			buffered = Buffer.alloc(0);
			return excess;
		},
	};
}
