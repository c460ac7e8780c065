/**
 * The signal that ends a call: at its deadline, or when whoever asked has gone.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';

/**
 * Watches over one call.
 *
 * @param response - The answer to whoever asked.
 * @param timeoutMs - Milliseconds until the deadline.
 * @returns A signal that fires at the deadline, or when the connection closes before the answer is whole.
 * @internal
 */
export function createCallSignal(response: ServerResponse, timeoutMs: number): AbortSignal {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort(new DOMException('no answer before the deadline', 'TimeoutError'));
	}, timeoutMs);
	response.once('close', () => {
		clearTimeout(timer);
		// Nobody listens any more after a whole answer, and an abort is not free: it builds an error with its stack.
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
}
