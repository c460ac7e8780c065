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
import {AnswerFormatError} from './answer-format-error.js';
import {createChunkReader, toBuffer, type ChunkReader} from './chunk-reader.js';

/** A whole answer. @internal */
export type WholeAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Whether the connection may carry another request. */
	readonly isKept: boolean;
};

/** The head of an answer whose body may still come. @internal */
export type AnswerHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** @internal */
export type AnswerReader = {
	/** Takes bytes; yields the answer once it is whole. Throws if the bytes are no answer. */
	readonly read: (bytes: Uint8Array) => WholeAnswer | undefined;
	/** The head, as soon as it has been read. */
	readonly getHead: () => AnswerHead | undefined;
	/** Whether only the end of the connection tells where the answer ends. */
	readonly isUnframed: () => boolean;
	/** The connection has ended in order; yields the answer if that makes it whole. */
	readonly end: () => WholeAnswer | undefined;
	/** Whether more bytes came than the answer has. */
	readonly hasExtra: () => boolean;
	/** Takes the bytes behind the whole answer. */
	readonly takeExtra: () => Uint8Array;
};

/** A longer head is no head of a server. Bytes, as Node.js has it by default. */
const maxHeadBytes = 16_384;

/** A longer answer is not taken. Bytes: it is held whole, and has to fit into one frame with its head; several times the largest answers of the users. */
const maxAnswerBytes = 100_663_296;

/** Heads before that of the answer, such as 100: servers send one or two. */
const mostInterims = 32;

const statusLine = /^HTTP\/1\.([01]) (\d{3})(?: [^\r\n]*)?$/;
const fieldName = /^[\w!#$%&'*+.^`|~-]+$/;
const digits = /^\d+$/;

/** What the value of a field cannot be written with to the caller. */
const unwritable = /[^\t\u0020-\u007E\u0080-\u00FF]/;

/** Statuses whose answers have no body, and need no length. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Fields that a server may send several times and that cannot be joined into one. */
const listedFields: ReadonlySet<string> = new Set(['set-cookie']);

/** Fields that tell how the answer is framed: a second one would tell something else. */
const singleFields: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

type Framing =
	| {readonly type: 'none'}
	| {readonly type: 'length'; readonly bytes: number}
	| {readonly type: 'chunked'}
	| {readonly type: 'until-end'};

type Head = AnswerHead & {readonly framing: Framing; readonly isKept: boolean};

function addField(headers: Record<string, string | string[]>, line: string): void {
	const colon = line.indexOf(':');
	const name = line.slice(0, Math.max(0, colon)).toLowerCase();
	if (!fieldName.test(name)) {
		throw new AnswerFormatError('a field of the head that has no name');
	}

	const value = line.slice(colon + 1).trim();
	if (unwritable.test(value)) {
		throw new AnswerFormatError(`the field ${name} holds what no field can`);
	}

	// Names that every object has are names like any others here.
	const known = Object.hasOwn(headers, name) ? headers[name] : undefined;
	if (known === undefined) {
		headers[name] = listedFields.has(name) ? [value] : value;
	} else if (Array.isArray(known)) {
		known.push(value);
	} else if (singleFields.has(name)) {
		throw new AnswerFormatError(`${name} came twice`);
	} else {
		headers[name] = `${known}, ${value}`;
	}
}

function readFraming(status: number, headers: IncomingHttpHeaders, method: string): Framing {
	if (method === 'HEAD' || bodilessStatuses.has(status)) {
		return {type: 'none'};
	}

	const {'transfer-encoding': encoding, 'content-length': length} = headers;
	if (encoding !== undefined) {
		if (encoding.toLowerCase() !== 'chunked' || length !== undefined) {
			throw new AnswerFormatError('the length of the answer can be read in two ways');
		}

		return {type: 'chunked'};
	}

	if (length === undefined) {
		return {type: 'until-end'};
	}

	if (!digits.test(length) || !Number.isSafeInteger(Number(length))) {
		throw new AnswerFormatError('a length that is no number');
	}

	if (Number(length) > maxAnswerBytes) {
		throw new AnswerFormatError(`an answer of more than ${maxAnswerBytes} bytes`);
	}

	return {type: 'length', bytes: Number(length)};
}

function isKeptOpen(minor: string, headers: IncomingHttpHeaders): boolean {
	const options = (headers.connection ?? '').toLowerCase();
	return minor === '1' ? !options.includes('close') : options.includes('keep-alive');
}

function readHead(text: string, method: string): Head {
	const [first = '', ...lines] = text.split('\r\n');
	const [, minor, digitsOfStatus] = statusLine.exec(first) ?? [];
	if (minor === undefined || digitsOfStatus === undefined) {
		throw new AnswerFormatError('the first line is none of an answer');
	}

	const headers: Record<string, string | string[]> = {};
	for (const line of lines) {
		addField(headers, line);
	}

	const status = Number(digitsOfStatus);
	const framing = readFraming(status, headers, method);
	return {
		status, headers, framing, isKept: framing.type !== 'until-end' && isKeptOpen(minor, headers),
	};
}

/**
 * @param method - Method of the request, which tells whether a body follows.
 * @returns A reader that has seen nothing yet.
 * @internal
 */
export function createAnswerReader(method: string): AnswerReader {
	let held: Uint8Array = Buffer.alloc(0);
	let head: Head | undefined;
	let chunks: ChunkReader | undefined;
	let isDone = false;
	let readBytes = 0;
	let interims = 0;
	/** Bodies of a known length are joined once, not with each piece. */
	const pieces: Uint8Array[] = [];
	let piecesBytes = 0;

	const hold = (bytes: Uint8Array): void => {
		held = held.length === 0 ? bytes : Buffer.concat([held, bytes]);
	};

	/** Bodies of a known length are joined once, not with each piece. */
	const finish = (body: Uint8Array): WholeAnswer => {
		isDone = true;
		const {status, headers, isKept} = head!;
		return {
			status, headers, body, isKept,
		};
	};

	const takeHead = (): boolean => {
		const end = toBuffer(held).indexOf('\r\n\r\n');
		if (end === -1) {
			if (held.length > maxHeadBytes) {
				throw new AnswerFormatError('a head that does not end');
			}

			return false;
		}

		const next = readHead(toBuffer(held).toString('latin1', 0, end), method);
		held = held.subarray(end + 4);
		if (next.status === 101) {
			throw new AnswerFormatError('another protocol was not asked for');
		}

		interims++;
		if (interims > mostInterims) {
			throw new AnswerFormatError('interim answers that do not end');
		}

		if (next.status >= 200) {
			head = next;
			chunks = next.framing.type === 'chunked' ? createChunkReader() : undefined;
		}

		return true;
	};

	const takeLength = (bytes: number): WholeAnswer | undefined => {
		const part = held.subarray(0, bytes - piecesBytes);
		held = held.subarray(part.length);
		pieces.push(part);
		piecesBytes += part.length;
		return piecesBytes === bytes ? finish(pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces)) : undefined;
	};

	const takeChunks = (reader: ChunkReader): WholeAnswer | undefined => {
		held = held.subarray(reader.read(held));
		return reader.isWhole() ? finish(reader.getBody()) : undefined;
	};

	const takeBody = ({framing}: Head): WholeAnswer | undefined => {
		switch (framing.type) {
			case 'none': {
				return finish(Buffer.alloc(0));
			}

			case 'length': {
				return takeLength(framing.bytes);
			}

			case 'chunked': {
				return takeChunks(chunks!);
			}

			case 'until-end': {
				pieces.push(held);
				held = Buffer.alloc(0);
				return undefined;
			}
		}
	};

	return {
		read(bytes) {
			readBytes += bytes.length;
			if (readBytes > maxAnswerBytes) {
				throw new AnswerFormatError(`an answer of more than ${maxAnswerBytes} bytes`);
			}

			hold(bytes);
			while (head === undefined) {
				if (!takeHead()) {
					return undefined;
				}
			}

			return isDone ? undefined : takeBody(head);
		},
		getHead: () => head,
		isUnframed: () => head?.framing.type === 'until-end',
		end: () => head?.framing.type === 'until-end' && !isDone ? finish(Buffer.concat(pieces)) : undefined,
		hasExtra: () => isDone && held.length > 0,
		takeExtra() {
			const extra = held;
			held = Buffer.alloc(0);
			return extra;
		},
	};
}
