/**
 * One attempt to send a request to a backend server, and its result.
 *
 * @module
 */
import {type Readable} from 'node:stream';
import {type CallId} from '../common/ids.js';
import {type Verdict} from '../common/verdict.js';
import {type WorkClass} from '../policy/decision.js';
import {type LazyFingerprint} from '../quarantine/lazy-fingerprint.js';

/** HTTP headers by lower-case name. @internal */
export type HeaderMap = Readonly<Record<string, string | readonly string[] | undefined>>;

/** A request as it is sent to a backend server. @internal */
export type Attempt = {
	readonly call: CallId;
	readonly method: string;
	/** The path with its query. */
	readonly path: string;
	readonly headers: HeaderMap;
	readonly body: Uint8Array | Readable | undefined;
	readonly workClass: WorkClass;
	/** When the timeout of the call expires, in milliseconds since the epoch. */
	readonly deadline: number;
	/** Aborts when the caller disconnects or the deadline passes. */
	readonly signal: AbortSignal;
	/** Ticket of the slot that was reserved for the request, if any. */
	readonly ticket?: string;
	/** Fingerprint by which the quarantine recognizes the request; `undefined` for a streamed body, which is never buffered whole. */
	readonly fingerprint: LazyFingerprint | undefined;
	/** The node that received the request, by which the shares in a limit are counted; empty if the gate was not told. */
	readonly entry: string;
	/** Limit of the backend server that the entry knows, in requests per second; `undefined` if it knows of none. */
	readonly limitPerSecond: number | undefined;
};

/** Result of an attempt. @internal */
export type AttemptResult = AnsweredAttempt | FailedAttempt;

/** The backend server responded; the response body has not been read yet. @internal */
export type AnsweredAttempt = {
	readonly type: 'answered';
	readonly status: number;
	readonly headers: HeaderMap;
	readonly body: Readable;
	/** Time from sending the request to the beginning of the backend server's response, in microseconds. */
	readonly serverMicroseconds: number;
	/** Number of requests in flight and queued at the gate. */
	readonly load: number;
};

/** The attempt ended without a response. @internal */
export type FailedAttempt = {
	readonly type: 'failed';
	readonly verdict: Exclude<Verdict, 'ran'>;
	readonly reason: FailureReason;
	readonly detail: string;
	readonly retryAfterMs: number;
};

/** @internal */
export type FailureReason = 'shed' | 'limited' | 'draining' | 'no-server' | 'unreachable' | 'timeout' | 'cancelled' | 'connection-lost' | 'wrong-answer'
	/** The backend server crashed while the request was in flight; the request may have caused the crash. */
	| 'server-crashed'
	/** Backend servers crashed while requests with this fingerprint were in flight, so it is not sent to further servers. */
	| 'quarantined';

/** @internal */
export const failureReasons: readonly FailureReason[] = ['shed', 'limited', 'draining', 'no-server', 'unreachable', 'timeout', 'cancelled', 'connection-lost', 'wrong-answer', 'server-crashed', 'quarantined'];

/** Delay before a retry if no better estimate is known. */
const defaultRetryAfterMs = 1000;

/**
 * @param verdict - Whether the request may have been executed.
 * @param reason - The reason code.
 * @param detail - A human-readable message.
 * @param retryAfterMs - Milliseconds after which a retry may succeed.
 * @returns The failed attempt.
 * @internal
 */
export function createFailure(verdict: FailedAttempt['verdict'], reason: FailureReason, detail: string, retryAfterMs: number = defaultRetryAfterMs): FailedAttempt {
	return {
		type: 'failed', verdict, reason, detail, retryAfterMs,
	};
}

/** Codes of connection errors of undici, with which no byte of the request has been sent. */
const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Converts an error of the HTTP client into a failed attempt.
 *
 * @param error - The error that the HTTP client threw.
 * @param attempt - The attempt; its signal distinguishes a timeout or a cancellation from a lost connection.
 * @returns The failed attempt. If any byte of the request may have been sent, the request may have been executed.
 * @internal
 */
export function toFailedAttempt(error: unknown, attempt: Pick<Attempt, 'signal'>): FailedAttempt {
	const {code = '', message = String(error)} = error as {readonly code?: string; readonly message?: string};
	if (connectErrorCodes.has(code)) {
		return createFailure('not-run', 'unreachable', `${code}: ${message}`);
	}

	if (attempt.signal.aborted) {
		const isTimeout = (attempt.signal.reason as Error | undefined)?.name === 'TimeoutError';
		return createFailure('may-have-run', isTimeout ? 'timeout' : 'cancelled', isTimeout ? 'no response before the deadline' : 'the caller closed the connection before the response');
	}

	return createFailure('may-have-run', 'connection-lost', `${code}: ${message}`);
}
