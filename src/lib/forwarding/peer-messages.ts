/**
 * What nodes say to one another about a request, as heads of frames.
 *
 * @module
 */
import {type HeaderMap} from '../calls/attempt.js';
import {toBackendServerId, type BackendServerId} from '../common/ids.js';
import {parseVerdict} from '../common/verdict.js';
import {
	parseForwardReason, type GateLoad, type GateResult,
} from './forward-result.js';

/** A request for the backend server beside another node. @internal */
export type PeerRequest = {
	/** The caller's id of it. */
	readonly id: string;
	readonly server: BackendServerId;
	readonly method: string;
	readonly target: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly hasBody: boolean;
	readonly callerService: string;
	/** 0 goes first. */
	readonly rank: number;
	/** Milliseconds until the caller gives up. */
	readonly leftMs: number;
	/** Milliseconds that it may be expected to wait for a slot. */
	readonly mayWaitMs: number;
};

const roundToTenth = (value: number): number => Math.round(value * 10) / 10;

const isText = (value: unknown): value is string => typeof value === 'string';
const isAmount = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value);

/**
 * Encodes a request as a list: the names of its fields would be a third of its bytes.
 *
 * @param request - The request.
 * @returns The head of its frame.
 * @internal
 */
export function encodePeerRequest(request: PeerRequest): readonly unknown[] {
	const {id, server, method, target, headers, hasBody, callerService, rank, leftMs, mayWaitMs} = request;
	return [id, server, method, target, headers, hasBody ? 1 : 0, callerService, rank, roundToTenth(Math.max(0, leftMs)), roundToTenth(Math.max(0, mayWaitMs))];
}

/**
 * @param head - The head of a frame.
 * @returns The request.
 * @throws When the head is none: the connection is of no use then.
 * @internal
 */
export function decodePeerRequest(head: unknown): PeerRequest {
	const [id, server, method, target, headers, hasBody, callerService, rank, leftMs, mayWaitMs] = Array.isArray(head) ? head as unknown[] : [];
	const texts = [id, server, method, target, callerService];
	const amounts = [rank, leftMs, mayWaitMs];
	if (!texts.every(text => isText(text)) || !amounts.every(amount => isAmount(amount)) || typeof headers !== 'object' || headers === null) {
		throw new Error('the head of a request that cannot be read');
	}

	return {
		id: id as string, server: toBackendServerId(server as string), method: method as string, target: target as string, headers: headers as PeerRequest['headers'],
		hasBody: hasBody === 1, callerService: callerService as string, rank: rank as number, leftMs: leftMs as number, mayWaitMs: mayWaitMs as number,
	};
}

function encodeLoad({running, waiting, serviceMs, tookMs}: GateLoad): readonly number[] {
	return [running, waiting, Math.round(serviceMs), roundToTenth(tookMs)];
}

function decodeLoad(value: unknown): GateLoad | undefined {
	if (!Array.isArray(value) || value.length !== 4 || !value.every(amount => isAmount(amount))) {
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
	const verdict = parseVerdict(isText(verdictText) ? verdictText : undefined);
	const [status, headers] = rest;
	if (verdict === 'ran' && isAmount(status) && typeof headers === 'object' && headers !== null) {
		return {
			load, result: {
				type: 'answered', status, headers: headers as HeaderMap, body,
			},
		};
	}

	const [reason, hasArrived, retryAfterMs, detail] = rest;
	return {
		load, result: {
			type: 'failed',
			verdict: verdict === 'not-run' ? 'not-run' : 'may-have-run',
			reason: parseForwardReason(isText(reason) ? reason : undefined),
			detail: isText(detail) ? detail : 'an answer that cannot be read',
			retryAfterMs: isAmount(retryAfterMs) ? retryAfterMs : 0,
			hasArrived: hasArrived !== 0,
		},
	};
}
