/**
 * Sends requests from the gate to the backend server beside it.
 *
 * @module
 */
import {type Readable} from 'node:stream';
import {Pool} from 'undici';
import {type Gate, type Slot} from '../admission/gate.js';
import {readMicroseconds, readNow} from '../common/clock.js';
import {type BackendServer} from '../directory/node-record.js';
import {
	createFailure, toFailedAttempt, type Attempt, type AttemptResult,
} from './attempt.js';
import {createRunTracker, type RunQuarantine} from './run-tracker.js';
import {
	filterForwardableHeaders, getHeader, meshHeaders, timeoutHeader, toOutgoingHeaders,
} from './headers.js';

/** @internal */
export type ServerSender = {
	/** Sends an attempt; waits for a slot first unless one is given. */
	readonly send: (attempt: Attempt, slot?: Slot) => Promise<AttemptResult>;
	readonly dispose: () => Promise<void>;
};

const connectTimeoutMs = 1000;

/** Statuses of responses without a body, which need no length. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

function hasMessageFraming(attempt: Attempt, status: number, headers: Readonly<Record<string, unknown>>): boolean {
	return attempt.method === 'HEAD' || bodilessStatuses.has(status) || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function releaseAfterBody(body: Readable, slot: Slot): void {
	const release = (): void => {
		slot.release();
	};

	body.once('end', release);
	body.once('close', release);
	body.once('error', release);
}

/**
 * Creates the sender for a backend server. No connection is made before the first request.
 *
 * @param server - The server.
 * @param gate - Its gate.
 * @param quarantine - Decides whether a request may be sent, and records how it ended.
 * @returns The sender.
 * @internal
 */
export function createServerSender(server: BackendServer, gate: Gate, quarantine: RunQuarantine): ServerSender {
	const pool = new Pool(`http://${server.address}`, {
		connections: server.connections, pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: {timeout: connectTimeoutMs},
	});

	let isClosing = false;
	const runTracker = createRunTracker(quarantine, server, () => isClosing);

	const sendWithSlot = async (attempt: Attempt, slot: Slot): Promise<AttemptResult> => {
		const admission = await runTracker.admit(attempt.fingerprint);
		if (admission.type === 'refused') {
			slot.release();
			return createFailure('not-run', 'quarantined', admission.detail, admission.retryAfterMs);
		}

		const startedAt = readMicroseconds();
		try {
			const response = await pool.request({
				method: attempt.method,
				path: attempt.path,
				headers: toOutgoingHeaders({
					...attempt.headers,
					[timeoutHeader]: String(Math.max(1, attempt.deadline - readNow())),
					[meshHeaders.call]: attempt.call,
				}),
				body: attempt.body,
				signal: attempt.signal,
			});
			releaseAfterBody(response.body, slot);
			runTracker.watchResponse(admission, response.statusCode, response.body);
			// Only the server knows whether it shed a request before executing it, so its verdict header is trusted.
			if (getHeader(response.headers, meshHeaders.verdict) === 'not-run') {
				response.body.destroy();
				return createFailure('not-run', 'shed', `the backend server answered with status ${response.statusCode} and reported that it did not execute the request`);
			}

			if (!hasMessageFraming(attempt, response.statusCode, response.headers)) {
				response.body.destroy();
				return createFailure('may-have-run', 'wrong-answer', 'the response of the backend server has neither content-length nor transfer-encoding, so truncation could not be detected');
			}

			return {
				type: 'answered',
				status: response.statusCode,
				headers: filterForwardableHeaders(response.headers),
				body: response.body,
				serverMicroseconds: Math.round(readMicroseconds() - startedAt),
				load: gate.countRequests(),
			};
		} catch (error) {
			slot.release();
			return runTracker.checkForCrash(admission, toFailedAttempt(error, attempt));
		}
	};

	return {
		async send(attempt, reservedSlot) {
			if (reservedSlot !== undefined) {
				return sendWithSlot(attempt, reservedSlot);
			}

			const slot = await gate.acquire({workClass: attempt.workClass, deadline: attempt.deadline, signal: attempt.signal});
			if (slot.isErr()) {
				const {type, retryAfterMs} = slot.error;
				return createFailure('not-run', type, `the gate of ${server.id} rejected the request (${type})`, retryAfterMs);
			}

			return sendWithSlot(attempt, slot.value);
		},
		async dispose() {
			isClosing = true;
			await pool.destroy();
		},
	};
}
