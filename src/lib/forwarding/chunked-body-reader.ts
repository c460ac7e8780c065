/**
 * Decodes a body in HTTP/1.1 chunked transfer coding, up to the last chunk (size 0)
 * and its trailer fields.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createBodyCollector} from '../common/body-collector.js';
import {ResponseFormatError} from './response-format-error.js';

/** Maximum size of all trailer lines together, as of the head of a response. */
const maxTrailerBytes = 16_384;

/** Maximum length of a chunk-size line with its extensions, or of a trailer line. */
const maxChunkLineBytes = 1024;

const hexDigitsPattern = /^[\da-f]+$/i;

/** Wraps the same memory in a Buffer, for its search methods. @internal */
export const toBuffer = ({buffer, byteOffset, byteLength}: Uint8Array) => Buffer.from(buffer, byteOffset, byteLength);

/** @internal */
export type ChunkedBodyReader = {
	/** Decodes bytes; the caller keeps the bytes that are not consumed and passes them again. Returns the number of consumed bytes. */
	readonly read: (held: Uint8Array) => number;
	readonly isComplete: () => boolean;
	/** Returns the decoded body; valid once it is complete. */
	readonly getBody: () => Uint8Array;
};

/**
 * Creates a reader for one chunked body.
 *
 * @returns The reader.
 * @internal
 */
export function createChunkedBodyReader(): ChunkedBodyReader {
	const chunks = createBodyCollector();
	let trailerBytes = 0;
	let remainingBytes = 0;
	let state: 'size' | 'data' | 'data-end' | 'trailer' | 'whole' = 'size';

	/** Returns the line that starts at an offset, or `undefined` if it is incomplete. */
	const readLine = (held: Uint8Array, from: number): string | undefined => {
		const bytes = toBuffer(held);
		const end = bytes.indexOf('\r\n', from);
		if (end === -1) {
			if (held.length - from > maxChunkLineBytes) {
				throw new ResponseFormatError('line in the chunked response body is too long');
			}

			return undefined;
		}

		return bytes.toString('latin1', from, end);
	};

	const parseSize = (line: string): void => {
		const size = line.split(';')[0]!.trim();
		remainingBytes = Number.parseInt(size, 16);
		if (!hexDigitsPattern.test(size) || !Number.isSafeInteger(remainingBytes)) {
			throw new ResponseFormatError('chunk size in the response body is not a hexadecimal number');
		}

		state = remainingBytes === 0 ? 'trailer' : 'data';
	};

	const handleLine = (line: string): void => {
		if (state === 'size') {
			parseSize(line);
		} else if (state === 'trailer') {
			trailerBytes += line.length;
			if (trailerBytes > maxTrailerBytes) {
				throw new ResponseFormatError('trailers of the chunked response body are too large');
			}

			state = line === '' ? 'whole' : 'trailer';
		} else if (line === '') {
			state = 'size';
		} else {
			throw new ResponseFormatError('chunk in the response body is longer than its size');
		}
	};

	const readData = (held: Uint8Array, from: number): number => {
		const data = held.subarray(from, from + remainingBytes);
		chunks.append(data);
		remainingBytes -= data.length;
		state = remainingBytes === 0 ? 'data-end' : 'data';
		return data.length;
	};

	return {
		read(held) {
			let consumed = 0;
			while (state !== 'whole' && consumed < held.length) {
				if (state === 'data') {
					consumed += readData(held, consumed);
					continue;
				}

				const line = readLine(held, consumed);
				if (line === undefined) {
					break;
				}

				consumed += line.length + 2;
				handleLine(line);
			}

			return consumed;
		},
		isComplete: () => state === 'whole',
		getBody: chunks.build,
	};
}
