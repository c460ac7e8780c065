/**
 * Reads a body that comes in chunks, each with its size, up to the last one of
 * size 0 and the fields behind it.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {AnswerFormatError} from './answer-format-error.js';

/** A chunk's size with its extensions is shorter than this. Bytes. */
const maxChunkLineBytes = 1024;

const hexDigits = /^[\da-f]+$/i;

/** The same bytes, with the methods that search them. @internal */
export const toBuffer = ({buffer, byteOffset, byteLength}: Uint8Array) => Buffer.from(buffer, byteOffset, byteLength);

/** @internal */
export type ChunkReader = {
	/** Reads on in bytes that are held; yields how many of them it took. */
	readonly read: (held: Uint8Array) => number;
	readonly isWhole: () => boolean;
	/** The body, once it is whole. */
	readonly getBody: () => Uint8Array;
};

/**
 * @returns A reader that has seen nothing yet.
 * @internal
 */
export function createChunkReader(): ChunkReader {
	const chunks: Uint8Array[] = [];
	let left = 0;
	let place: 'size' | 'data' | 'data-end' | 'trailer' | 'whole' = 'size';

	/** Reads a line; `undefined` if its end has not come yet. */
	const readLine = (held: Uint8Array, from: number): string | undefined => {
		const bytes = toBuffer(held);
		const end = bytes.indexOf('\r\n', from);
		if (end === -1) {
			if (held.length - from > maxChunkLineBytes) {
				throw new AnswerFormatError('a line within the chunks that does not end');
			}

			return undefined;
		}

		return bytes.toString('latin1', from, end);
	};

	const takeSize = (line: string): void => {
		const size = line.split(';')[0]!.trim();
		left = Number.parseInt(size, 16);
		if (!hexDigits.test(size) || !Number.isSafeInteger(left)) {
			throw new AnswerFormatError('the size of a chunk that is no number');
		}

		place = left === 0 ? 'trailer' : 'data';
	};

	const takeLine = (line: string): void => {
		if (place === 'size') {
			takeSize(line);
		} else if (place === 'trailer') {
			place = line === '' ? 'whole' : 'trailer';
		} else if (line === '') {
			place = 'size';
		} else {
			throw new AnswerFormatError('a chunk that is longer than its size');
		}
	};

	const takeData = (held: Uint8Array, from: number): number => {
		const data = held.subarray(from, from + left);
		chunks.push(data);
		left -= data.length;
		place = left === 0 ? 'data-end' : 'data';
		return data.length;
	};

	return {
		read(held) {
			let taken = 0;
			while (place !== 'whole' && taken < held.length) {
				if (place === 'data') {
					taken += takeData(held, taken);
					continue;
				}

				const line = readLine(held, taken);
				if (line === undefined) {
					break;
				}

				taken += line.length + 2;
				takeLine(line);
			}

			return taken;
		},
		isWhole: () => place === 'whole',
		getBody: () => Buffer.concat(chunks),
	};
}
