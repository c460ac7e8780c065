/**
 * Reads the complete body of a request, so that the request can be sent again.
 *
 * @module
 */
import {type IncomingMessage} from 'node:http';
import {createBodyCollector} from '../common/body-collector.js';
import {unlimitedBudget, type ByteBudget} from './byte-budget.js';

/** The body exceeds the size limit. @internal */
export class BodyTooLargeError extends Error {}

/** The deadline of the call passed before the body had arrived. @internal */
export class BodyTimeoutError extends Error {}

/** This node shuts down before the body has arrived. @internal */
export class BodyStoppedError extends Error {}

/** The memory for bodies is taken by other requests. @internal */
export class BodyMemoryError extends Error {}

/**
 * @param request - A request.
 * @returns Whether the request has a body.
 * @internal
 */
export function hasBody(request: IncomingMessage): boolean {
	const {headers} = request;
	return headers['transfer-encoding'] !== undefined || (headers['content-length'] !== undefined && headers['content-length'] !== '0');
}

/**
 * Reads the body of a request.
 *
 * @param request - The request.
 * @param maxBytes - The size limit of the body, in bytes.
 * @param budget - Memory for all bodies together. The caller releases the bytes of a returned body; this function releases them if it throws.
 * @param subscribeToEnd - Calls the handler when the body is no longer needed, with an error unless the deadline of the call has passed; returns a function that unsubscribes.
 * @returns The body.
 * @throws BodyTooLargeError, BodyMemoryError, BodyTimeoutError or the error of `subscribeToEnd`, or another error when the connection fails or closes within the body.
 * @internal
 */
export async function readBody(
	request: IncomingMessage,
	maxBytes: number,
	budget: ByteBudget = unlimitedBudget,
	subscribeToEnd: (handleEnd: (error?: Error) => void) => () => void = () => () => undefined,
): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		const body = createBodyCollector();
		let stopListening = (): void => undefined;
		const fail = (error: Error): void => {
			if (body.countBytes() > 0) {
				budget.release(body.countBytes());
			}

			stopListening();
			reject(error);
		};

		let isSettled = false;
		request.on('data', (chunk: Uint8Array) => {
			if (isSettled) {
				return;
			}

			const isTooLarge = body.countBytes() + chunk.length > maxBytes;
			if (isTooLarge || !budget.tryAcquire(chunk.length)) {
				isSettled = true;
				fail(isTooLarge ? new BodyTooLargeError(`the body is larger than the limit of ${maxBytes} bytes`) : new BodyMemoryError('the memory for request bodies is in use by other requests'));
				return;
			}

			body.append(chunk);
		});
		request.once('end', () => {
			if (!isSettled) {
				isSettled = true;
				stopListening();
				resolve(body.build());
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
		stopListening = subscribeToEnd((error = new BodyTimeoutError('the deadline of the request passed before its body had arrived')) => {
			if (!isSettled) {
				isSettled = true;
				fail(error);
			}
		});
	});
}
