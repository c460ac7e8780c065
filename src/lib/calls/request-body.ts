/**
 * The body of a caller's request: small ones are held, so that they can be sent
 * again; large ones are streamed and never held whole.
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
	/** Opened once, after a slot was reserved. */
	| {readonly type: 'stream'; readonly open: () => Readable};

/**
 * Says how large a body is without reading it.
 *
 * @param request - The caller's request.
 * @returns Bytes; -1 if the caller did not say.
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
	// The client destroys the stream that it sends when it fails. A passThrough in between keeps that from the caller's connection, which still gets an answer.
	const passThrough = new PassThrough();
	request.once('error', error => {
		passThrough.destroy(error);
	});
	request.once('aborted', () => {
		passThrough.destroy(new Error('the caller broke off its upload'));
	});
	request.pipe(passThrough);
	return passThrough;
}

/**
 * Prepares the body of a request.
 *
 * @param request - The caller's request.
 * @param maximumBufferedBytes - Bodies up to this size are held.
 * @param handleReadStart - Called when the body is about to be read.
 * @returns The body, or why a small one could not be read to its end.
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
