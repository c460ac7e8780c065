/**
 * Responses that the mesh itself creates: a problem body (RFC 9457) with the
 * verdict.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type CallId} from '../common/ids.js';
import {type Verdict} from '../common/verdict.js';
import {type FailedAttempt, type FailureReason} from './attempt.js';
import {meshHeaders} from './headers.js';

/** A response that the mesh sends in place of a backend server. @public */
export type ProblemResponse = {
	readonly status: number;
	/** Machine-readable reason code, such as `shed`. */
	readonly reason: string;
	readonly detail: string;
	readonly verdict: Verdict;
	/** Milliseconds after which a retry may succeed; absent if a retry is not suggested. */
	readonly retryAfterMs?: number;
};

const statusByReason: Readonly<Record<FailureReason, number>> = {
	shed: 503, limited: 503, draining: 503, 'no-server': 503, unreachable: 503, timeout: 504, cancelled: 499, 'connection-lost': 502, 'wrong-answer': 502, 'server-crashed': 502, quarantined: 503,
};

/**
 * @param failure - The last failed attempt of a call.
 * @param verdict - The joined verdict of all its attempts.
 * @returns The problem to send to the caller.
 * @internal
 */
export function createProblemResponse(failure: FailedAttempt, verdict: Verdict): ProblemResponse {
	const {reason, detail, retryAfterMs} = failure;
	return {
		status: statusByReason[reason], reason, detail, verdict, ...verdict === 'not-run' ? {retryAfterMs} : {},
	};
}

/**
 * Sends a problem as the response.
 *
 * @param response - The response to the caller.
 * @param call - The id of the call.
 * @param problem - The problem.
 * @returns Nothing; if a response has already begun, its connection is destroyed instead.
 * @internal
 */
export function sendProblem(response: ServerResponse, call: CallId, problem: ProblemResponse): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const body = JSON.stringify({
		type: `https://stonemoor.invalid/problems/${problem.reason}`,
		title: problem.reason,
		status: problem.status,
		detail: problem.detail,
		verdict: problem.verdict,
		call,
	});
	const retryAfter = problem.retryAfterMs === undefined ? {} : {'retry-after': String(Math.ceil(problem.retryAfterMs / 1000))};
	// Close the connection after an incomplete upload: its unread rest would be parsed as the next request.
	const close = response.req.complete ? {} : {connection: 'close'};
	response.writeHead(problem.status, {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		[meshHeaders.verdict]: problem.verdict,
		[meshHeaders.call]: call,
		...retryAfter,
		...close,
	});
	response.end(body);
}
