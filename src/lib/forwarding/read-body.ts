/**
 * Reads the body of a request whole, so that it can be sent again.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {boundlessBudget, type ByteBudget} from './byte-budget.js';

/** The body is larger than allowed. @internal */
export class BodyTooLargeError extends Error {}

/** The time of the call was over before the body had come. @internal */
export class BodyTimeoutError extends Error {}

/** Other bodies hold the memory that this one needs. @internal */
export class BodyMemoryError extends Error {}

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
 * @param budget - What all bodies may hold together. What a whole body took is released by whoever asked for it.
 * @param subscribeToEnd - Calls back when nobody waits any more; yields a function that takes that back.
 * @returns The body.
 * @throws When the connection ends early, when the body is larger, or when it has not come before nobody waits any more.
 * @internal
 */
export async function readBody(
	request: IncomingMessage,
	maxBytes: number,
	budget: ByteBudget = boundlessBudget,
	subscribeToEnd: (handleEnd: () => void) => () => void = () => () => undefined,
): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		let stopListening = (): void => undefined;
		const fail = (error: Error): void => {
			if (size > 0) {
				budget.release(size);
			}

			size = 0;
			chunks.length = 0;
			stopListening();
			reject(error);
		};

		let isSettled = false;
		request.on('data', (chunk: Uint8Array) => {
			if (isSettled) {
				return;
			}

			const isTooLarge = size + chunk.length > maxBytes;
			if (isTooLarge || !budget.take(chunk.length)) {
				isSettled = true;
				fail(isTooLarge ? new BodyTooLargeError(`the body is larger than ${maxBytes} bytes`) : new BodyMemoryError('other bodies hold the memory that this one needs'));
				return;
			}

			size += chunk.length;
			chunks.push(chunk);
		});
		request.once('end', () => {
			if (!isSettled) {
				isSettled = true;
				stopListening();
				resolve(Buffer.concat(chunks, size));
			}
		});
		request.once('error', error => {
			if (!isSettled) {
				isSettled = true;
				fail(error);
			}
		});
		request.once('close', () => {
			if (!isSettled) {
				isSettled = true;
				fail(new Error('the connection closed within the body'));
			}
		});
		stopListening = subscribeToEnd(() => {
			if (!isSettled) {
				isSettled = true;
				fail(new BodyTimeoutError('the time of the request was over before its body had come'));
			}
		});
	});
}
