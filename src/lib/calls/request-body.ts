/**
 * The body of a caller's request: small bodies are buffered, so that a retry can
 * send them again; large ones are streamed and never buffered whole.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {PassThrough, type Readable} from 'node:stream';
import {err, ok, type Result} from 'neverthrow';
import {getNumberHeader} from './headers.js';

/** @internal */
export type RequestBody =
	| {readonly type: 'none'}
	| {readonly type: 'held'; readonly bytes: Uint8Array}
	/** Opened only once, after a slot was reserved. */
	| {readonly type: 'stream'; readonly open: () => Readable};

/**
 * Returns the size of a body without reading it.
 *
 * @param request - The caller's request.
 * @returns The size in bytes; -1 if the caller did not declare it.
 * @internal
 */
export function getBodySize(request: IncomingMessage): number {
	return request.headers['transfer-encoding'] === undefined
		? getNumberHeader(request.headers, 'content-length') ?? 0
		: -1;
}

async function readBody(request: IncomingMessage): Promise<Result<Uint8Array, string>> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of request) {
			chunks.push(chunk as Uint8Array);
		}

		return ok(Buffer.concat(chunks));
	} catch (error) {
		return err((error as Error).message);
	}
}

function openStream(request: IncomingMessage): Readable {
	// If the request fails, the HTTP client destroys the stream that it was given. Giving it a PassThrough instead of the caller's request keeps the caller's connection open for the response.
	const passThrough = new PassThrough();
	request.once('error', error => {
		passThrough.destroy(error);
	});
	request.once('aborted', () => {
		passThrough.destroy(new Error('the caller aborted its upload'));
	});
	request.pipe(passThrough);
	return passThrough;
}

/**
 * Prepares the body of a request for sending: buffers a small one, returns a stream for a large one.
 *
 * @param request - The caller's request.
 * @param maximumBufferedBytes - Bodies up to this size are buffered; larger ones, and those of unknown size, are streamed.
 * @param handleReadStart - Called when the body is about to be read.
 * @returns The body, or an error message if a small one could not be read completely.
 * @internal
 */
export async function prepareBody(request: IncomingMessage, maximumBufferedBytes: number, handleReadStart: () => void): Promise<Result<RequestBody, string>> {
	const size = getBodySize(request);
	if (size === 0) {
		return ok({type: 'none'});
	}

	if (size > 0 && size <= maximumBufferedBytes) {
		handleReadStart();
		const buffered = await readBody(request);
		return buffered.map(bytes => ({type: 'held', bytes}));
	}

	return ok({
		type: 'stream',
		open() {
			handleReadStart();
			return openStream(request);
		},
	});
}
