/**
 * What nodes say to one another about a request, as heads of frames.
 *
 * @module
 */
import {toBackendServerId, type BackendServerId} from '../common/ids.js';
import {FieldError} from '../common/field-error.js';
import {
	readAmount, readFlag, readList, readName, readText,
} from '../common/read-input.js';
import {parseVerdict, type Verdict} from '../common/verdict.js';
import {
	createMayHaveRun, parseForwardReason, type ForwardAnswer, type ForwardFailure, type GateLoad, type GateResult,
} from './forward-result.js';
import {readHeaders, type ForwardedHeaders} from './read-headers.js';

/** A request for the backend server beside another node. @internal */
export type PeerRequest = {
	/** The caller's id of it. */
	readonly id: string;
	readonly server: BackendServerId;
	readonly method: string;
	readonly target: string;
	readonly headers: ForwardedHeaders;
	readonly hasBody: boolean;
	readonly callerService: string;
	/** 0 goes first. */
	readonly rank: number;
	/** Milliseconds until the caller gives up. */
	readonly leftMs: number;
	/** Milliseconds that it may be expected to wait for a slot. */
	readonly mayWaitMs: number;
	/** Milliseconds that its answer may be expected to wait for the link, if it is large; `undefined` if it is not. */
	readonly answerMayWaitMs?: number | undefined;
};

const roundToTenth = (value: number): number => Math.round(value * 10) / 10;

const isString = (value: unknown): value is string => typeof value === 'string';
const isNonNegativeNumber = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** The longest time that a message may name; whatever waits for it bounds its own timers. Milliseconds. */
const maxTimeMs = Number.MAX_SAFE_INTEGER;

/** The longest time after which a call may be said to be worth trying again. Milliseconds. */
const maxRetryAfterMs = 3_600_000;

/** Statuses that end a request. */
const minFinalStatus = 200;
const maxStatus = 999;

/** Characters of what another node says for people. */
const maxDetailLength = 300;

/**
 * Encodes a request as a list: the names of its fields would be a third of its bytes.
 *
 * @param request - The request.
 * @returns The head of its frame.
 * @internal
 */
export function encodePeerRequest(request: PeerRequest): readonly unknown[] {
	const {id, server, method, target, headers, hasBody, callerService, rank, leftMs, mayWaitMs, answerMayWaitMs} = request;
	const answerWait = answerMayWaitMs === undefined ? null : roundToTenth(answerMayWaitMs);
	return [id, server, method, target, headers, hasBody ? 1 : 0, callerService, rank, roundToTenth(Math.max(0, leftMs)), roundToTenth(Math.max(0, mayWaitMs)), answerWait];
}

/** A body that is announced and does not come would be taken from the next request on the connection to the backend server. */
function checkContentLength(headers: ForwardedHeaders, hasBody: boolean): void {
	const length = headers['content-length'];
	if (!hasBody && length !== undefined && length !== '0') {
		throw new FieldError('request.headers.content-length', length, '0, since no body follows');
	}
}

/**
 * @param head - The head of a frame.
 * @returns The request.
 * @throws FieldError when the head is none: the connection is of no use then.
 * @internal
 */
export function decodePeerRequest(head: unknown): PeerRequest {
	const [id, server, method, target, headers, hasBody, callerService, rank, leftMs, mayWaitMs, answerMayWaitMs] = readList(head, 'request');
	const request: PeerRequest = {
		id: readText(id, 'request.id'),
		server: toBackendServerId(readText(server, 'request.server')),
		method: readName(method, 'request.method'),
		target: readText(target, 'request.target'),
		headers: readHeaders(headers, 'request.headers'),
		hasBody: readFlag(hasBody, 'request.hasBody'),
		callerService: readText(callerService, 'request.callerService'),
		rank: readAmount(rank, 'request.rank', maxTimeMs),
		leftMs: readAmount(leftMs, 'request.leftMs', maxTimeMs),
		mayWaitMs: readAmount(mayWaitMs, 'request.mayWaitMs', maxTimeMs),
		...answerMayWaitMs === undefined || answerMayWaitMs === null ? {} : {answerMayWaitMs: readAmount(answerMayWaitMs, 'request.answerMayWaitMs', maxTimeMs)},
	};
	checkContentLength(request.headers, request.hasBody);
	return request;
}

function encodeLoad({running, waiting, serviceMs, tookMs}: GateLoad): readonly number[] {
	return [running, waiting, Math.round(serviceMs), roundToTenth(tookMs)];
}

function decodeLoad(value: unknown): GateLoad | undefined {
	if (!Array.isArray(value) || value.length !== 4 || !value.every(amount => isNonNegativeNumber(amount))) {
		return undefined;
	}

	const [running, waiting, serviceMs, tookMs] = value as [number, number, number, number];
	return {
		running, waiting, serviceMs, tookMs,
	};
}

/**
 * @param gateResult - How a request ended at the gate.
 * @returns Head and body of the answer's frame.
 * @internal
 */
export function encodePeerAnswer({result, load}: GateResult): {readonly head: readonly unknown[]; readonly body?: Uint8Array} {
	const loadPart = load === undefined ? 0 : encodeLoad(load);
	return result.type === 'answered'
		? {head: ['ran', loadPart, result.status, result.headers], body: result.body}
		: {head: [result.verdict, loadPart, result.reason, result.hasArrived ? 1 : 0, Math.round(result.retryAfterMs), result.detail]};
}

/** An answer of a backend server; `undefined` if the head is that of none, or could not be written to a caller as it is. */
function decodeAnswered([status, headers]: readonly unknown[], body: Uint8Array): ForwardAnswer | undefined {
	if (!Number.isInteger(status) || (status as number) < minFinalStatus || (status as number) > maxStatus) {
		return undefined;
	}

	try {
		return {
			type: 'answered', status: status as number, headers: readHeaders(headers, 'answer.headers'), body,
		};
	} catch {
		// What is wrong with it helps nobody who waits for the answer.
		return undefined;
	}
}

const unreadableAnswer = createMayHaveRun('wrong-answer', 'an answer that cannot be read');

function decodeFailed(verdict: Exclude<Verdict, 'ran'>, [reason, hasArrived, retryAfterMs, detail]: readonly unknown[]): ForwardFailure {
	if (!isString(reason) || (hasArrived !== 0 && hasArrived !== 1)) {
		return unreadableAnswer;
	}

	return {
		type: 'failed', verdict,
		reason: parseForwardReason(reason),
		detail: isString(detail) ? detail.slice(0, maxDetailLength) : '',
		retryAfterMs: isNonNegativeNumber(retryAfterMs) ? Math.min(maxRetryAfterMs, retryAfterMs) : 0,
		hasArrived: hasArrived === 1,
	};
}

/**
 * Decodes an answer. What cannot be read promises nothing.
 *
 * @param head - Head of the answer's frame.
 * @param body - Its body.
 * @returns How the request ended.
 * @internal
 */
export function decodePeerAnswer(head: unknown, body: Uint8Array): GateResult {
	const [verdictText, loadPart, ...rest] = Array.isArray(head) ? head as unknown[] : [];
	const load = decodeLoad(loadPart);
	const verdict = parseVerdict(isString(verdictText) ? verdictText : undefined);
	switch (verdict) {
		case 'ran': {
			return {load, result: decodeAnswered(rest, body) ?? unreadableAnswer};
		}

		case 'not-run':
		case 'may-have-run': {
			return {load, result: decodeFailed(verdict, rest)};
		}
	}
}
