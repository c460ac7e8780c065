/**
 * Reads the bodies of callers' requests, within the bound on what this process holds for its clients.
 *
 * @module
 */
import {type MemoryLedger} from '../memory/memory-ledger.js';
import {type ByteBudget} from './byte-budget.js';
import {type CallScope} from './call-scope.js';
import {type EntryCall} from './entry-refusals.js';
import {
	BodyTooLargeError, BodyStoppedError, BodyTimeoutError, hasBody, BodyMemoryError, readBody,
} from './read-body.js';

/** @internal */
export type CallBodies = {
	/** Reads the body of a request. Returns `undefined` if it has none, and `refused` if the request was refused. The caller releases the bytes of a returned body, once the call has ended. */
	readonly read: (call: EntryCall, maxBodyBytes: number, scope: CallScope) => Promise<Uint8Array | undefined | 'refused'>;
	readonly release: (call: EntryCall, bytes: number) => void;
};

/** Retry delay for a request that is refused because the memory for bodies is in use. */
const bodyMemoryRetryMs = 1000;

/** Share of the bound on bodies and answers that bodies leave free, so that the answers to requests in work find room. Nothing is reserved for short answers. */
const answerShare = 0.0625;

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
 * @param ledger - What this process holds for its clients.
 * @param refuse - Refuses a request whose body cannot be read, with a status, the reason and a retry delay in milliseconds; no delay if 0.
 * @returns The bodies, with none read yet.
 * @internal
 */
export function createCallBodies(ledger: MemoryLedger, refuse: (call: EntryCall, status: number, reason: string, retryAfterMs: number) => void): CallBodies {
	const answerBytes = ledger.getLimit('buffers') * answerShare;

	/** Counts the bytes of a body for its client. */
	const createBudget = ({turn: {account}}: EntryCall): ByteBudget => ({
		tryAcquire(bytes) {
			account.recordProgress();
			if (!ledger.clearRoom('buffers', bytes + answerBytes)) {
				return false;
			}

			account.add('buffers', bytes);
			return true;
		},
		release(bytes) {
			account.release('buffers', bytes);
		},
	});

	return {
		async read(call, maxBodyBytes, scope) {
			if (!hasBody(call.request)) {
				return undefined;
			}

			call.sendContinue();
			try {
				return await readBody(call.request, maxBodyBytes, createBudget(call), handleEnd => scope.subscribe(reason => {
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
		release({turn: {account}}, bytes) {
			account.release('buffers', bytes);
		},
	};
}
