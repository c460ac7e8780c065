/**
 * Reads the body of a request whole, so that it can be sent again.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** The body is larger than allowed. @internal */
export class BodyTooLargeError extends Error {}

/**
 * @param request - A request.
 * @returns Whether a body follows its head.
 * @internal
 */
export function hasBody(request: IncomingMessage): boolean {
	const {headers} = request;
	return headers['transfer-encoding'] !== undefined || (headers['content-length'] !== undefined && headers['content-length'] !== '0');
}

/**
 * @param request - A request.
 * @param maxBytes - The largest body that is taken.
 * @returns The body.
 * @throws When the connection ends early, or when the body is larger.
 * @internal
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		request.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				reject(new BodyTooLargeError(`the body is larger than ${maxBytes} bytes`));
				return;
			}

			chunks.push(chunk);
		});
		request.once('end', () => {
			resolve(Buffer.concat(chunks, size));
		});
		request.once('error', reject);
		request.once('close', () => {
			reject(new Error('the connection closed within the body'));
		});
	});
}
