/**
 * Answers that the mesh itself makes: a problem body (RFC 9457) that carries
 * the verdict.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type CallId} from '../common/ids.js';
import {type Verdict} from '../common/verdict.js';
import {type FailedAttempt, type FailureReason} from './attempt.js';
import {meshHeaders} from './headers.js';

/** An answer that the mesh makes in place of a backend server. @public */
export type ProblemResponse = {
	readonly status: number;
	/** A short name for programs, as in `shed`. */
	readonly reason: string;
	readonly detail: string;
	readonly verdict: Verdict;
	/** When to come back, if that can help. */
	readonly retryAfterMs?: number;
};

const statusByReason: Readonly<Record<FailureReason, number>> = {
	shed: 503, draining: 503, 'no-server': 503, unreachable: 503, timeout: 504, cancelled: 499, 'connection-lost': 502, 'wrong-answer': 502, 'server-crashed': 502, quarantined: 503,
};

/**
 * @param failure - The last attempt of a call.
 * @param verdict - What holds for all of its attempts together.
 * @returns What the caller is told.
 * @internal
 */
export function createProblemResponse(failure: FailedAttempt, verdict: Verdict): ProblemResponse {
	const {reason, detail, retryAfterMs} = failure;
	return {
		status: statusByReason[reason], reason, detail, verdict, ...verdict === 'not-run' ? {retryAfterMs} : {},
	};
}

/**
 * Sends a problem as the answer.
 *
 * @param response - Where to.
 * @param call - The call it answers.
 * @param problem - What the caller is told.
 * @returns Nothing; where an answer has begun already, its connection is destroyed instead.
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
	// An upload that was not read to its end would be taken for the next request.
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
