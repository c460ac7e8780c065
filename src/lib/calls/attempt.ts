/**
 * One attempt to have a request run, and how it ended.
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

/** What is sent to a backend server. @internal */
export type Attempt = {
	readonly call: CallId;
	readonly method: string;
	/** The path with its query. */
	readonly path: string;
	readonly headers: HeaderMap;
	readonly body: Uint8Array | Readable | undefined;
	readonly workClass: WorkClass;
	/** When the caller gives up, in milliseconds since the epoch. */
	readonly deadline: number;
	/** Fires when the caller is gone or the deadline has passed. */
	readonly signal: AbortSignal;
	/** A slot that was reserved before, if any. */
	readonly ticket?: string;
	/** It as the quarantine looks at it; `undefined` for a body that is streamed, which nobody holds whole. */
	readonly fingerprint: LazyFingerprint | undefined;
};

/** How an attempt ended. @internal */
export type AttemptResult = AnsweredAttempt | FailedAttempt;

/** The backend server answered; its body is still to be read. @internal */
export type AnsweredAttempt = {
	readonly type: 'answered';
	readonly status: number;
	readonly headers: HeaderMap;
	readonly body: Readable;
	/** What the backend server took until its answer began, in microseconds. */
	readonly serverMicroseconds: number;
	/** Requests in work and waiting at the gate. */
	readonly load: number;
};

/** There is no answer. @internal */
export type FailedAttempt = {
	readonly type: 'failed';
	readonly verdict: Exclude<Verdict, 'ran'>;
	readonly reason: FailureReason;
	readonly detail: string;
	readonly retryAfterMs: number;
};

/** @internal */
export type FailureReason = 'shed' | 'draining' | 'no-server' | 'unreachable' | 'timeout' | 'cancelled' | 'connection-lost' | 'wrong-answer'
	/** The backend server ended while it worked on it, which it may have caused. */
	| 'server-crashed'
	/** Backend servers crashed while such a request was in work: it is kept from the others. */
	| 'quarantined';

/** @internal */
export const failureReasons: readonly FailureReason[] = ['shed', 'draining', 'no-server', 'unreachable', 'timeout', 'cancelled', 'connection-lost', 'wrong-answer', 'server-crashed', 'quarantined'];

/** When to come back if nothing better is known, in milliseconds. */
const defaultRetryAfterMs = 1000;

/**
 * @param verdict - Whether the request may have run.
 * @param reason - What went wrong.
 * @param detail - For people.
 * @param retryAfterMs - When to come back.
 * @returns The failed attempt.
 * @internal
 */
export function createFailure(verdict: FailedAttempt['verdict'], reason: FailureReason, detail: string, retryAfterMs: number = defaultRetryAfterMs): FailedAttempt {
	return {
		type: 'failed', verdict, reason, detail, retryAfterMs,
	};
}

/** Failures of undici in which not a byte of the request has left this process. */
const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 * Judges an error of the HTTP client.
 *
 * @param error - What it threw.
 * @param attempt - The attempt, whose signal tells a timeout from a lost connection.
 * @returns The failed attempt. Whatever may have been sent may have run.
 * @internal
 */
export function toFailedAttempt(error: unknown, attempt: Pick<Attempt, 'signal'>): FailedAttempt {
	const {code = '', message = String(error)} = error as {readonly code?: string; readonly message?: string};
	if (connectErrorCodes.has(code)) {
		return createFailure('not-run', 'unreachable', `${code}: ${message}`);
	}

	if (attempt.signal.aborted) {
		const isTimeout = (attempt.signal.reason as Error | undefined)?.name === 'TimeoutError';
		return createFailure('may-have-run', isTimeout ? 'timeout' : 'cancelled', isTimeout ? 'no answer before the deadline' : 'the caller has gone');
	}

	return createFailure('may-have-run', 'connection-lost', `${code}: ${message}`);
}
