/**
 * Compresses texts that are sent over slow links.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {getZlib} from './lazy-modules.js';

/** Routes resemble each other, so even the fastest compression level makes a configuration about eight times smaller. */
const compressionOptions = {level: 1} as const;

/** Larger texts are rejected while they are expanded. The limit is several times the largest value of the users' store. */
const maxExpandedBytes = 16_777_216;

/**
 * @param text - A text.
 * @returns Its compressed bytes.
 * @internal
 */
export function compressText(text: string): Uint8Array {
	return getZlib().deflateRawSync(Buffer.from(text), compressionOptions);
}

/**
 * @param bytes - A compressed text.
 * @returns The text.
 * @throws Error when the bytes are malformed or the text is too long.
 * @internal
 */
export function decodeCompressedText(bytes: Uint8Array): string {
	return getZlib().inflateRawSync(bytes, {maxOutputLength: maxExpandedBytes}).toString();
}
