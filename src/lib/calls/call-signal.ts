/**
 * The abort signals of calls: each fires at the deadline of its call, when the caller disconnects, or when this node has to stop.
 *
 * @module
 */
import {type ServerResponse} from 'node:http';
import {createFailure, type FailedAttempt} from './attempt.js';

/** @internal */
export type CallSignals = {
	/** Creates a signal that aborts after `timeoutMs` milliseconds, when the connection closes before the response is complete, or when all calls end. `listenForEnd` tells that the response is sent or the connection closed, if the response itself may not be told. */
	readonly create: (response: ServerResponse, timeoutMs: number, listenForEnd?: (handleEnd: () => void) => void) => AbortSignal;
	/** Ends all calls without a response, and those that are created later, since this node stops. They fail, and can still be answered. */
	readonly endAll: () => void;
	/** Returns the failure to report for a call: one that was cancelled because this node stops is not reported as cancelled by its caller. */
	readonly explain: (failure: FailedAttempt) => FailedAttempt;
};

/**
 * Creates the signals of the calls of one server.
 *
 * @returns The signals.
 * @internal
 */
export function createCallSignals(): CallSignals {
	const controllers = new Map<AbortController, ServerResponse>();
	let isStopping = false;
	return {
		create(response, timeoutMs, listenForEnd = handleEnd => {
			response.once('close', handleEnd);
		}) {
			const controller = new AbortController();
			if (isStopping) {
				controller.abort();
				return controller.signal;
			}

			controllers.set(controller, response);
			const endAtDeadline = (): void => {
				if (controllers.has(controller)) {
					controller.abort(new DOMException('no response before the deadline', 'TimeoutError'));
				}
			};

			const timer = setTimeout(() => {
				// After a pause of this process due timers run before the sockets are read. A response that has arrived is read first.
				setImmediate(endAtDeadline);
			}, timeoutMs);
			listenForEnd(() => {
				clearTimeout(timer);
				controllers.delete(controller);
				// After a complete response, nothing listens to the signal. Aborting it would only cost time, because it creates an error with a stack trace.
				if (!response.writableFinished) {
					controller.abort();
				}
			});
			return controller.signal;
		},
		endAll() {
			isStopping = true;
			for (const [controller, response] of controllers) {
				// A response that has begun may still be complete before this node exits.
				if (!response.headersSent) {
					controller.abort();
				}
			}
		},
		explain(failure) {
			if (!isStopping || failure.reason !== 'cancelled') {
				return failure;
			}

			return failure.verdict === 'not-run'
				? createFailure('not-run', 'draining', 'this node has stopped before the request could be executed')
				: createFailure('may-have-run', 'connection-lost', 'this node has stopped before the response');
		},
	};
}
