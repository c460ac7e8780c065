/**
 * The result of one attempt to forward a request, as the gate reports it to the entry.
 *
 * @module
 */
import {type HeaderMap} from '../calls/attempt.js';
import {type Verdict} from '../common/verdict.js';
import {type PriorityLoad} from '../decisions/priority-admission.js';

/** Why an attempt has no response. @internal */
export type ForwardReason =
	/** The gate has no free slot in time. */
	| 'full'
	/** The gate has no free slot, and the workspace of the request is over its share. */
	| 'over-share'
	/** The limit that the backend server named does not let the request start in time. */
	| 'limited'
	/** The VM of the backend server has become slow, and another server may be faster. */
	| 'slow'
	/** The backend server or its node is draining. */
	| 'draining'
	/** The backend server no longer runs beside that node. */
	| 'gone'
	/** The backend server could not be reached. */
	| 'server-unreachable'
	/** The node beside the backend server could not be reached. */
	| 'node-unreachable'
	/** The backend server reported that it did not execute the request. */
	| 'shed'
	| 'connection-lost'
	/** The backend server will not respond to the request: it does not report it, or has responded to later ones. */
	| 'hung'
	/** The backend server crashed while it executed the request, possibly because of it. */
	| 'server-crashed'
	/** Backend servers crashed while they executed requests with this fingerprint, so the request is not sent to another server. */
	| 'quarantined'
	/** The version of the backend server gets no requests, or only some, because of a rollout. */
	| 'version-withheld'
	/** The key of the request is no longer valid. */
	| 'unauthorized'
	/** The key of the request belongs to another workspace now. */
	| 'workspace-changed'
	/** The key of the request is unknown to a node that knows of a newer configuration. */
	| 'config-outdated'
	| 'wrong-answer'
	| 'no-server'
	| 'timeout'
	| 'cancelled'
	| 'superseded'
	/** A node that handles the request shuts down. */
	| 'stopping';

const reasons: readonly ForwardReason[] = [
	'full',
	'over-share',
	'limited',
	'slow',
	'draining',
	'gone',
	'server-unreachable',
	'node-unreachable',
	'shed',
	'connection-lost',
	'hung',
	'server-crashed',
	'quarantined',
	'version-withheld',
	'unauthorized',
	'workspace-changed',
	'config-outdated',
	'wrong-answer',
	'no-server',
	'timeout',
	'cancelled',
	'superseded',
	'stopping',
];

/**
 * @param reason - Why an attempt has no response.
 * @returns Whether no slot was free for the request, so that an early retry would be refused again.
 * @internal
 */
export function isCapacityReason(reason: ForwardReason): boolean {
	return reason === 'full' || reason === 'over-share' || reason === 'limited';
}

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
	/** Milliseconds after which the request may be retried; 0 if unknown. */
	readonly retryAfterMs: number;
	/** Whether the request reached a backend server, which counts against the retry budget. */
	readonly hasArrived: boolean;
};

/** @internal */
export type ForwardResult = ForwardResponse | ForwardFailure;

/** The load of the backend server behind a gate. @internal */
export type GateLoad = PriorityLoad & {
	readonly running: number;
	readonly waiting: number;
	readonly serviceMs: number;
	/** Milliseconds that this request spent at the gate and its server. The rest of the round-trip time is network time. */
	readonly tookMs: number;
	/** How long work takes there at the moment, as a factor of `serviceMs`; `undefined` if the server does not say. */
	readonly slowness?: number | undefined;
};

/** The result of a request at a gate, with the load of its server. @internal */
export type GateResult = {
	readonly result: ForwardResult;
	readonly load: GateLoad | undefined;
};

/**
 * Parses a reason received from another node.
 *
 * @param text - The reason.
 * @returns The reason; `wrong-answer` if it is unknown.
 * @internal
 */
export function parseForwardReason(text: string | undefined): ForwardReason {
	return reasons.find(reason => reason === text) ?? 'wrong-answer';
}

/**
 * Creates a failure with the verdict `not-run`: the request was certainly not executed.
 *
 * @param reason - Why the request was refused before any of it reached a backend server.
 * @param detail - Human-readable details.
 * @param retryAfterMs - Milliseconds after which the request may be retried; 0 if unknown.
 * @returns The failure.
 * @internal
 */
export function createNotRun(reason: ForwardReason, detail: string, retryAfterMs = 0): ForwardFailure {
	return {
		type: 'failed', verdict: 'not-run', reason, detail, retryAfterMs, hasArrived: false,
	};
}

/**
 * Creates a failure with the verdict `may-have-run`: the request may have been executed.
 *
 * @param reason - Why there is no response although the request was sent.
 * @param detail - Human-readable details.
 * @returns The failure.
 * @internal
 */
export function createMayHaveRun(reason: ForwardReason, detail: string): ForwardFailure {
	return {
		type: 'failed', verdict: 'may-have-run', reason, detail, retryAfterMs: 0, hasArrived: true,
	};
}
