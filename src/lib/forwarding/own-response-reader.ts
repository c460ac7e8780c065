/**
 * Finds the response to one request among the bytes of its connection. A faulty server may send bytes that belong to
 * no request: a second response to an earlier request, or bytes that are no response. They do not show that the server
 * has stopped working on the request, so they are skipped. The id in the response decides, not where it begins: the
 * length that a skipped response states may be wrong.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {toBuffer} from './chunked-body-reader.js';
import {ResponseFormatError} from './response-format-error.js';
import {
	createResponseParser, maxResponseBytes, type CompleteResponse, type ResponseHead,
} from './response-parser.js';

/** The request whose response is read. @internal */
export type AwaitedRequest = {
	readonly id: string;
	/** Lower-case name of the header that holds the id in a response. */
	readonly idHeader: string;
	readonly method: string;
	/** Whether a response belongs to the request. `isFirst` tells whether nothing was sent or received on the connection before. */
	readonly isOwnResponse: (headers: IncomingHttpHeaders, status: number, isFirst: boolean) => boolean;
	/** Whether it is the first request of its connection. */
	readonly isFirstRequest: boolean;
	/** Called once the head of the response is read, with the bytes of the response that have arrived, and whether nothing was skipped before. */
	readonly handleStart?: (bytes: Uint8Array, isExact: boolean) => void;
};

/** @internal */
export type OwnResponseReader = {
	/** Reads more bytes. Returns the response once it is complete. Throws a ResponseFormatError if it is malformed, or if too many bytes were skipped. */
	readonly read: (bytes: Uint8Array) => CompleteResponse | undefined;
	/** Returns the status and headers of the response once they are read. */
	readonly getHead: () => ResponseHead | undefined;
	/** Whether the response has begun and ends when the connection closes. */
	readonly isCloseDelimited: () => boolean;
	/** Handles an orderly close of the connection. Returns the response if the close completes it. */
	readonly end: () => CompleteResponse | undefined;
	/** Whether nothing but the response was received. */
	readonly isExact: () => boolean;
	/** Returns the number of bytes that are not of the response. */
	readonly countOtherBytes: () => number;
};

/** Maximum number of bytes that are skipped: a second response may be as large as any. */
const maxSkippedBytes = maxResponseBytes;

/** Maximum number of status lines that turn out to belong to other responses. It bounds the processor time, since each is parsed. Nothing is looked for behind them. */
const maxSkippedHeads = 64;

const statusLineStart = 'HTTP/1.';

const statusLinePattern = /^HTTP\/1\.[01] \d{3}/;

const interimPattern = /^HTTP\/1\.[01] 1\d\d/;

/** Length of the part of a status line that the patterns cover, in bytes. */
const statusLineBytes = 12;

/** Place of the space behind the version, which is checked first, since it costs least. */
const versionEnd = 'HTTP/1.1'.length;

const space = 0x20;

const headEnd = '\r\n\r\n';

const noBytes: Uint8Array = Buffer.alloc(0);

/** Returns where a whole status line begins; `undefined` if there is none. */
function findStatusLine(bytes: Uint8Array, from: number): number | undefined {
	const buffer = toBuffer(bytes);
	for (let start = buffer.indexOf(statusLineStart, from, 'latin1'); start !== -1; start = buffer.indexOf(statusLineStart, start + 1, 'latin1')) {
		if (buffer[start + versionEnd] === space && statusLinePattern.test(buffer.toString('latin1', start, start + statusLineBytes))) {
			return start;
		}
	}

	return undefined;
}

/** Returns where a status line begins, or may begin if its bytes have not all arrived; the length of the bytes if there is none. */
function findPossibleStatusLine(bytes: Uint8Array, from: number): number {
	const buffer = toBuffer(bytes);
	const whole = findStatusLine(buffer, from);
	if (whole !== undefined) {
		return whole;
	}

	for (let start = Math.max(from, buffer.length - statusLineBytes + 1); start < buffer.length; start++) {
		const rest = buffer.toString('latin1', start);
		if (rest.startsWith(statusLineStart) || statusLineStart.startsWith(rest)) {
			return start;
		}
	}

	return buffer.length;
}

/** Returns the bytes of the head with which a response begins, or all bytes if it has not ended. Interim responses before it are left out. */
function findHead(bytes: Uint8Array): Uint8Array {
	const buffer = toBuffer(bytes);
	let start = 0;
	let end = buffer.indexOf(headEnd);
	while (end !== -1 && interimPattern.test(buffer.toString('latin1', start, start + statusLineBytes))) {
		start = end + headEnd.length;
		end = buffer.indexOf(headEnd, start);
	}

	return buffer.subarray(start, end === -1 ? buffer.length : end);
}

/** Returns whether a head, or a part of one, has a header with the value. It may be malformed, so it is read line by line. */
const hasHeader = (head: Uint8Array, name: string, value: string): boolean =>
	toBuffer(head).toString('latin1').split('\r\n').some(line => {
		const nameEnd = line.indexOf(':');
		return nameEnd !== -1 && line.slice(0, nameEnd).toLowerCase() === name && line.slice(nameEnd + 1).trim() === value;
	});

/** What the undecided bytes begin with: the response or a part of its head, or something else. */
type Candidate =
	| {readonly type: 'possible'; readonly response: CompleteResponse | undefined}
	| {readonly type: 'other'};

/**
 * Creates a reader that has read nothing.
 *
 * @param request - The request.
 * @returns The reader.
 * @internal
 */
export function createOwnResponseReader(request: AwaitedRequest): OwnResponseReader {
	let parser = createResponseParser(request.method);
	/** Whether the head that was parsed is that of the response. */
	let isOwn = false;
	/** Whether the undecided bytes begin with something other than a status line. */
	let isSearching = false;
	/** The bytes that have not been skipped, until the head of the response is found. */
	let undecided = noBytes;
	let skippedBytes = 0;
	let skippedHeads = 0;

	const dropBytes = (length: number): void => {
		undecided = undecided.subarray(length);
		skippedBytes += length;
		if (skippedBytes > maxSkippedBytes) {
			throw new ResponseFormatError(`more than ${maxSkippedBytes} bytes belong to no request`);
		}
	};

	/** Whether the malformed head with which the undecided bytes begin is that of the response, and not one in front of it. */
	const isOwnMalformedHead = (): boolean => {
		const buffer = toBuffer(undecided);
		const end = buffer.indexOf(headEnd);
		const head = end === -1 ? buffer : buffer.subarray(0, end);
		return findStatusLine(head, 0) === 0 && findStatusLine(head, 1) === undefined && hasHeader(head, request.idHeader, request.id);
	};

	/** Whether an interim head that was cut off runs into the next head, so that the parser would drop both as one. */
	const hasMergedInterimHead = (): boolean => {
		const buffer = toBuffer(undecided);
		// Checked first, since it is true of nearly all responses.
		if (!buffer.includes(statusLineStart, 1, 'latin1')) {
			return false;
		}

		let start = 0;
		while (interimPattern.test(buffer.toString('latin1', start, start + statusLineBytes))) {
			const end = buffer.indexOf(headEnd, start);
			const second = findStatusLine(buffer, start + 1);
			if (second !== undefined && (end === -1 || second < end)) {
				return true;
			}

			if (end === -1) {
				return false;
			}

			start = end + headEnd.length;
		}

		return false;
	};

	/**
	 * Whether a head in front of the response was cut off within a line, so that the two were parsed as one. A status line
	 * behind the id is the value of a header. Throws if it can't be told.
	 */
	const isBehindCutHead = (): boolean => {
		const buffer = toBuffer(undecided);
		// Checked first, since it is true of nearly all responses.
		if (!buffer.includes(statusLineStart, 1, 'latin1')) {
			return false;
		}

		const head = findHead(buffer);
		const second = findStatusLine(head, 1);
		if (second === undefined || hasHeader(head.subarray(0, second), request.idHeader, request.id)) {
			return false;
		}

		if (/\n[^\r\n:]*: ?$/.test(toBuffer(head).toString('latin1', 0, second))) {
			throw new ResponseFormatError('response head contains a second status line');
		}

		return true;
	};

	/** Determines whether the bytes that were parsed may begin the response: they do with its head, and may with a part of a head. */
	const checkHead = (): boolean => {
		const head = parser.getHead();
		if (head === undefined) {
			return true;
		}

		isOwn = request.isOwnResponse(head.headers, head.status, request.isFirstRequest && skippedBytes === 0) && !isBehindCutHead();
		return isOwn;
	};

	/** Parses bytes that follow what was parsed. */
	const parseCandidate = (bytes: Uint8Array): Candidate => {
		if (hasMergedInterimHead()) {
			return {type: 'other'};
		}

		try {
			const response = parser.read(bytes);
			return checkHead() ? {type: 'possible', response} : {type: 'other'};
		} catch (error) {
			const isOwnError = parser.getHead() === undefined ? isOwnMalformedHead() : checkHead();
			if (isOwnError) {
				throw error;
			}

			return {type: 'other'};
		}
	};

	/** Drops the bytes up to the next status line. Returns whether there is one. */
	const dropToStatusLine = (from: number): boolean => {
		dropBytes(findPossibleStatusLine(undecided, from));
		isSearching = undecided.length < statusLineBytes;
		return !isSearching;
	};

	const findResponse = (from: number): CompleteResponse | undefined => {
		let next = from;
		while (dropToStatusLine(next)) {
			if (skippedHeads >= maxSkippedHeads) {
				dropBytes(undecided.length);
				isSearching = true;
				return undefined;
			}

			parser = createResponseParser(request.method);
			const candidate = parseCandidate(undecided);
			if (candidate.type === 'possible') {
				return candidate.response;
			}

			skippedHeads++;
			next = 1;
		}

		return undefined;
	};

	const readUndecided = (bytes: Uint8Array): CompleteResponse | undefined => {
		undecided = undecided.length === 0 ? bytes : Buffer.concat([undecided, bytes]);
		if (isSearching) {
			return findResponse(0);
		}

		const candidate = parseCandidate(bytes);
		return candidate.type === 'possible' ? candidate.response : findResponse(1);
	};

	return {
		read(bytes) {
			if (isOwn) {
				return parser.read(bytes);
			}

			const response = readUndecided(bytes);
			if (isOwn) {
				request.handleStart?.(undecided, skippedBytes === 0);
				undecided = noBytes;
			}

			return response;
		},
		getHead: () => isOwn ? parser.getHead() : undefined,
		isCloseDelimited: () => isOwn && parser.isCloseDelimited(),
		end: () => isOwn ? parser.end() : undefined,
		isExact: () => skippedBytes === 0 && !parser.hasExcessBytes(),
		countOtherBytes: () => skippedBytes + (isOwn || findPossibleStatusLine(undecided, 0) === 0 ? 0 : undecided.length),
	};
}
