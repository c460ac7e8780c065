/**
 * How an attempt to have a request run ended, as the entry and the gate tell it
 * to one another.
 *
 * @module
 */
import {type HeaderMap} from '../calls/attempt.js';
import {type Verdict} from '../common/verdict.js';

/** Why there is no answer. @internal */
export type ForwardReason =
	/** The gate has no slot in time. */
	| 'full'
	/** The backend server is leaving, or its node is. */
	| 'draining'
	/** The backend server is not beside that node any more. */
	| 'gone'
	/** The backend server could not be reached. */
	| 'server-unreachable'
	/** Its node could not be reached. */
	| 'node-unreachable'
	/** The backend server says that it did not run the request. */
	| 'shed'
	| 'connection-lost'
	/** The backend server ended while the request was in work there, and may have ended because of it. */
	| 'server-crashed'
	/** Backend servers ended while such a request was in work: it is not sent to another one. */
	| 'quarantined'
	| 'wrong-answer'
	| 'no-server'
	| 'timeout'
	| 'cancelled'
	| 'superseded';

const reasons: readonly ForwardReason[] = [
	'full', 'draining', 'gone', 'server-unreachable', 'node-unreachable', 'shed', 'connection-lost', 'server-crashed', 'quarantined', 'wrong-answer', 'no-server', 'timeout', 'cancelled', 'superseded',
];

/** @internal */
export type ForwardResponse = {
	readonly type: 'answered';
	readonly status: number;
	readonly headers: HeaderMap;
	readonly body: Uint8Array;
};

/** @internal */
export type ForwardFailure = {
	readonly type: 'failed';
	readonly verdict: Exclude<Verdict, 'ran'>;
	readonly reason: ForwardReason;
	readonly detail: string;
	/** Milliseconds after which it may be tried again; 0 if nothing is known. */
	readonly retryAfterMs: number;
	/** Whether the request arrived at a backend server, which counts against the retry budget. */
	readonly hasArrived: boolean;
};

/** @internal */
export type ForwardResult = ForwardResponse | ForwardFailure;

/** How busy the backend server behind a gate is. @internal */
export type GateLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly serviceMs: number;
	/** Milliseconds that this request spent at the gate and its server: the rest of the time went on the way. */
	readonly tookMs: number;
};

/** What a gate answers. @internal */
export type GateResult = {
	readonly result: ForwardResult;
	readonly load: GateLoad | undefined;
};

/**
 * @param text - A reason that came over the network.
 * @returns The reason; one that is unknown says nothing but that the answer cannot be used.
 * @internal
 */
export function parseForwardReason(text: string | undefined): ForwardReason {
	return reasons.find(reason => reason === text) ?? 'wrong-answer';
}

/**
 * @param reason - Why the request was turned away before any of it reached a backend server.
 * @param detail - For people.
 * @param retryAfterMs - When it may be tried again, in milliseconds.
 * @returns The failure.
 * @internal
 */
export function createNotRun(reason: ForwardReason, detail: string, retryAfterMs = 0): ForwardFailure {
	return {
		type: 'failed', verdict: 'not-run', reason, detail, retryAfterMs, hasArrived: false,
	};
}

/**
 * @param reason - Why there is no answer although the request was sent.
 * @param detail - For people.
 * @returns The failure.
 * @internal
 */
export function createMayHaveRun(reason: ForwardReason, detail: string): ForwardFailure {
	return {
		type: 'failed', verdict: 'may-have-run', reason, detail, retryAfterMs: 0, hasArrived: true,
	};
}
