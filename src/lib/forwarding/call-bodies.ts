/**
 * Reads the bodies of callers' requests, within a limit for all of them together.
 *
 * @module
 */
import {createByteBudget} from './byte-budget.js';
import {type CallScope} from './call-scope.js';
import {type EntryCall} from './entry-refusals.js';
import {
	BodyTooLargeError, BodyStoppedError, BodyTimeoutError, hasBody, BodyMemoryError, readBody,
} from './read-body.js';

/** @internal */
export type CallBodies = {
	/** Reads the body of a request. Returns `undefined` if it has none, and `refused` if the request was refused. The caller releases the bytes of a returned body. */
	readonly read: (call: EntryCall, maxBodyBytes: number, scope: CallScope) => Promise<Uint8Array | undefined | 'refused'>;
	readonly release: (bytes: number) => void;
};

/** Limit for the bodies of all requests together: a third of the memory that a process has on the smallest VMs of the users. */
const maxBufferedBodyBytes = 83_886_080;

/** Retry delay for a request that is refused because the memory for bodies is in use. */
const bodyMemoryRetryMs = 1000;

/** Returns the status for a request whose body could not be read. Such a request was not executed. */
function chooseBodyErrorStatus(error: unknown): number {
	if (error instanceof BodyMemoryError || error instanceof BodyStoppedError) {
		return 503;
	}

	if (error instanceof BodyTimeoutError) {
		return 408;
	}

	return error instanceof BodyTooLargeError ? 413 : 400;
}

/**
 * @param refuse - Refuses a request whose body cannot be read, with a status, the reason and a retry delay in milliseconds; no delay if 0.
 * @returns The bodies, with none read yet.
 * @internal
 */
export function createCallBodies(refuse: (call: EntryCall, status: number, reason: string, retryAfterMs: number) => void): CallBodies {
	const budget = createByteBudget(maxBufferedBodyBytes);
	return {
		async read(call, maxBodyBytes, scope) {
			if (!hasBody(call.request)) {
				return undefined;
			}

			call.sendContinue();
			try {
				return await readBody(call.request, maxBodyBytes, budget, handleEnd => scope.subscribe(reason => {
					// A closed connection needs no handling here: `readBody` handles the `close` event of the request.
					if (reason === 'timeout') {
						handleEnd();
					} else if (reason === 'stopping') {
						handleEnd(new BodyStoppedError('this node shuts down, and the body of the request has not arrived'));
					}
				}));
			} catch (error) {
				refuse(call, chooseBodyErrorStatus(error), (error as Error).message, error instanceof BodyMemoryError ? bodyMemoryRetryMs : 0);
				return 'refused';
			}
		},
		release: budget.release,
	};
}
