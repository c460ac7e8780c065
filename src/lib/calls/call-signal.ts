/**
 * The abort signal of a call: it fires at the deadline or when the caller disconnects.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';

/**
 * Creates the abort signal of one call.
 *
 * @param response - The response to the caller.
 * @param timeoutMs - Milliseconds until the deadline.
 * @returns A signal that aborts at the deadline, or when the connection closes before the response is complete.
 * @internal
 */
export function createCallSignal(response: ServerResponse, timeoutMs: number): AbortSignal {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort(new DOMException('no response before the deadline', 'TimeoutError'));
	}, timeoutMs);
	response.once('close', () => {
		clearTimeout(timer);
		// After a complete response, nothing listens to the signal. Aborting it would only cost time, because it creates an error with a stack trace.
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}
