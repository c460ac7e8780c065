/**
 * How an attempt to have a request run ended, as the entry and the gate tell it
 * to one another.
 *
 * @module
 */
import {type HeaderMap} from '../calls/attempt.js';
import {parseVerdict, type Verdict} from '../common/verdict.js';

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
	| 'wrong-answer'
	| 'no-server'
	| 'timeout'
	| 'cancelled'
	| 'superseded';

const reasons: readonly ForwardReason[] = [
	'full', 'draining', 'gone', 'server-unreachable', 'node-unreachable', 'shed', 'connection-lost', 'wrong-answer', 'no-server', 'timeout', 'cancelled', 'superseded',
];

/** @internal */
export type ForwardAnswer = {
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
export type ForwardResult = ForwardAnswer | ForwardFailure;

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
 * Encodes what a gate says of its answer: its load, and for a failure all of it.
 *
 * @param gateResult - The result.
 * @returns A header's value.
 * @internal
 */
export function encodeGateResult({result, load}: GateResult): string {
	const loadText = load === undefined ? '-' : `${load.running},${load.waiting},${Math.round(load.serviceMs)},${Math.round(load.tookMs)}`;
	return result.type === 'answered'
		? `ran ${loadText}`
		: `${result.verdict} ${loadText} ${result.reason} ${result.hasArrived ? 1 : 0} ${Math.round(result.retryAfterMs)} ${encodeURIComponent(result.detail)}`;
}

function decodeLoad(text: string | undefined): GateLoad | undefined {
	const [running, waiting, serviceMs, tookMs] = (text ?? '').split(',').map(Number);
	if (running === undefined || waiting === undefined || serviceMs === undefined || tookMs === undefined) {
		return undefined;
	}

	return Number.isFinite(running + waiting + serviceMs + tookMs)
		? {
			running, waiting, serviceMs, tookMs,
		}
		: undefined;
}

/**
 * Decodes what a gate said. A failure that cannot be read promises nothing.
 *
 * @param text - A header's value.
 * @param answer - The answer that came with it.
 * @returns The result.
 * @internal
 */
export function decodeGateResult(text: string, answer: Omit<ForwardAnswer, 'type'>): GateResult {
	const [verdictText, loadText, reasonText, arrived, retryAfter, detail] = text.split(' ');
	const load = decodeLoad(loadText);
	const verdict = parseVerdict(verdictText);
	if (verdict === 'ran') {
		return {load, result: {type: 'answered', ...answer}};
	}

	const reason = reasons.find(known => known === reasonText) ?? 'wrong-answer';
	return {
		load,
		result: {
			type: 'failed', verdict, reason, detail: decodeURIComponent(detail ?? ''), retryAfterMs: Number(retryAfter) || 0, hasArrived: arrived !== '0',
		},
	};
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
