/**
 * Reads a body that comes in chunks, each with its size, up to the last one of
 * size 0 and the fields behind it.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {ResponseFormatError} from './response-format-error.js';

/** A chunk's size with its extensions is shorter than this. Bytes. */
const maxChunkLineBytes = 1024;

const hexDigitsPattern = /^[\da-f]+$/i;

/** The same bytes, with the methods that search them. @internal */
export const toBuffer = ({buffer, byteOffset, byteLength}: Uint8Array) => Buffer.from(buffer, byteOffset, byteLength);

/** @internal */
export type ChunkedBodyReader = {
	/** Reads on in bytes that are held; yields how many of them it took. */
	readonly read: (held: Uint8Array) => number;
	readonly isComplete: () => boolean;
	/** The body, once it is whole. */
	readonly getBody: () => Uint8Array;
};

/**
 * @returns A reader that has seen nothing yet.
 * @internal
 */
export function createChunkedBodyReader(): ChunkedBodyReader {
	const chunks: Uint8Array[] = [];
	let remainingBytes = 0;
	let state: 'size' | 'data' | 'data-end' | 'trailer' | 'whole' = 'size';

	/** Reads a line; `undefined` if its end has not come yet. */
	const readLine = (held: Uint8Array, from: number): string | undefined => {
		const bytes = toBuffer(held);
		const end = bytes.indexOf('\r\n', from);
		if (end === -1) {
			if (held.length - from > maxChunkLineBytes) {
				throw new ResponseFormatError('a line within the chunks that does not end');
			}

			return undefined;
		}

		return bytes.toString('latin1', from, end);
	};

	const parseSize = (line: string): void => {
		const size = line.split(';')[0]!.trim();
		remainingBytes = Number.parseInt(size, 16);
		if (!hexDigitsPattern.test(size) || !Number.isSafeInteger(remainingBytes)) {
			throw new ResponseFormatError('the size of a chunk that is no number');
		}

		state = remainingBytes === 0 ? 'trailer' : 'data';
	};

	const handleLine = (line: string): void => {
		if (state === 'size') {
			parseSize(line);
		} else if (state === 'trailer') {
			state = line === '' ? 'whole' : 'trailer';
		} else if (line === '') {
			state = 'size';
		} else {
			throw new ResponseFormatError('a chunk that is longer than its size');
		}
	};

	const readData = (held: Uint8Array, from: number): number => {
		const data = held.subarray(from, from + remainingBytes);
		chunks.push(data);
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
		getBody: () => Buffer.concat(chunks),
	};
}
