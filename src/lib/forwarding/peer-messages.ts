/**
 * Messages by which nodes exchange a request and its result, as heads of frames.
 *
 * @module
 */
import {toBackendServerId, type BackendServerId} from '../common/ids.js';
import {FieldError} from '../common/field-error.js';
import {
	readAmount, readFlag, readList, readName, readString,
} from '../common/read-input.js';
import {parseVerdict, type Verdict} from '../common/verdict.js';
import {isSlowness} from '../decisions/slowness.js';
import {isWorkspaceName, workspaceNameForm} from '../workspaces/workspace.js';
import {decodePriorityLoad, encodePriorityLoad} from '../decisions/priority-admission.js';
import {
	createMayHaveRun, parseForwardReason, type ForwardResponse, type ForwardFailure, type GateLoad, type GateResult,
} from './forward-result.js';
import {readHeaders, type ForwardedHeaders} from './read-headers.js';

/** A request to the backend server beside another node. @internal */
export type PeerRequest = {
	/** The id that the caller gave the request. */
	readonly id: string;
	readonly server: BackendServerId;
	readonly method: string;
	readonly target: string;
	readonly headers: ForwardedHeaders;
	readonly hasBody: boolean;
	readonly callerService: string;
	/** Priority in the queue of the gate; lower ranks go first. */
	readonly rank: number;
	/** Milliseconds until the caller gives up. */
	readonly leftMs: number;
	/** The gate queues the request only if its expected wait for a slot is at most this long, in milliseconds. */
	readonly mayWaitMs: number;
	/** The gate accepts a request with a large response only if the expected wait of the response for the link is at most this long, in milliseconds; `undefined` if the response is not large. */
	readonly answerMayWaitMs?: number | undefined;
	/** Whether the sender counts the request as one that may go to a version under test. */
	readonly isCounted: boolean;
	/** Limit that the backend server named in a response to the sender, in requests per second; `undefined` if it names none. */
	readonly limitPerSecond?: number | undefined;
	/** Name of the workspace of the caller; `undefined` if it has none. */
	readonly workspace?: string | undefined;
	/** The gate turns the request away if its server is slower than this, as a factor of its average service time; `undefined` if it must not. */
	readonly maxSlowness?: number | undefined;
	/** Shortest time in which the body can arrive once the gate asks for it, in milliseconds; `undefined` if it comes with the request, or if the sender does not say. */
	readonly bodyMs?: number | undefined;
};

const roundToTenth = (value: number): number => Math.round(value * 10) / 10;
const roundToHundredth = (value: number): number => Math.round(value * 100) / 100;

const isString = (value: unknown): value is string => typeof value === 'string';
const isNonNegativeNumber = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Maximum time value in a message. It exceeds the maximum delay of a timer, so code that sets a timer clamps the delay. */
const maxTimeMs = Number.MAX_SAFE_INTEGER;

/** Maximum retry delay; longer ones are reduced to it. */
const maxRetryAfterMs = 3_600_000;

/** Range of the final HTTP statuses; lower ones are informational. */
const minFinalStatus = 200;
const maxStatus = 999;

/** Longer details from another node are cut to this many characters. */
const maxDetailLength = 300;

/** Encodes optional fields. Those at the end that have no value are omitted. */
function encodeOptionalFields(...fields: ReadonlyArray<string | number | undefined>): readonly unknown[] {
	const last = fields.findLastIndex(field => field !== undefined);
	return fields.slice(0, last + 1).map(field => field ?? null);
}

/**
 * Encodes a request. The head is a list, because field names would take a third of its bytes.
 *
 * @param request - The request.
 * @returns The head of its frame.
 * @internal
 */
export function encodePeerRequest(request: PeerRequest): readonly unknown[] {
	const {id, server, method, target, headers, hasBody, callerService, rank, leftMs, mayWaitMs, answerMayWaitMs, isCounted, limitPerSecond, workspace, maxSlowness, bodyMs} = request;
	const answerWait = answerMayWaitMs === undefined ? null : roundToTenth(answerMayWaitMs);
	const head: unknown[] = [id, server, method, target, headers, hasBody ? 1 : 0, callerService, rank, roundToTenth(Math.max(0, leftMs)), roundToTenth(Math.max(0, mayWaitMs)), answerWait, isCounted ? 1 : 0];
	if (limitPerSecond !== undefined || workspace !== undefined || maxSlowness !== undefined || bodyMs !== undefined) {
		const slowness = maxSlowness === undefined ? undefined : roundToHundredth(maxSlowness);
		head.push(...encodeOptionalFields(limitPerSecond, workspace, slowness, bodyMs === undefined ? undefined : Math.ceil(bodyMs)));
	}

	return head;
}

/** Reads the name of a workspace, which becomes a header of the request to the backend server. */
function readWorkspaceName(value: unknown, place: string): string {
	const name = readString(value, place);
	if (!isWorkspaceName(name)) {
		throw new FieldError(place, value, workspaceNameForm);
	}

	return name;
}

const isPresent = (field: unknown): boolean => field !== undefined && field !== null;

/** Rejects a content length without a body: the backend server would read the missing body from the next request on the same connection. */
function checkContentLength(headers: ForwardedHeaders, hasBody: boolean): void {
	const length = headers['content-length'];
	if (!hasBody && length !== undefined && length !== '0') {
		throw new FieldError('request.headers.content-length', length, '0, because no body follows');
	}
}

/**
 * Decodes a request.
 *
 * @param head - The head of a frame.
 * @returns The request.
 * @throws FieldError when the head is malformed. The connection cannot be used any further then.
 * @internal
 */
export function decodePeerRequest(head: unknown): PeerRequest {
	const [id, server, method, target, headers, hasBody, callerService, rank, leftMs, mayWaitMs, answerMayWaitMs, isCounted = 0, limitPerSecond, workspace, maxSlowness, bodyMs] = readList(head, 'request');
	const request: {-readonly [Field in keyof PeerRequest]: PeerRequest[Field]} = {
		id: readString(id, 'request.id'),
		server: toBackendServerId(readString(server, 'request.server')),
		method: readName(method, 'request.method'),
		target: readString(target, 'request.target'),
		headers: readHeaders(headers, 'request.headers'),
		hasBody: readFlag(hasBody, 'request.hasBody'),
		callerService: readString(callerService, 'request.callerService'),
		rank: readAmount(rank, 'request.rank', maxTimeMs),
		leftMs: readAmount(leftMs, 'request.leftMs', maxTimeMs),
		mayWaitMs: readAmount(mayWaitMs, 'request.mayWaitMs', maxTimeMs),
		isCounted: readFlag(isCounted, 'request.isCounted'),
	};
	// Most requests have none of these fields, so that assignments are cheaper than spreads of objects that are mostly empty.
	if (isPresent(answerMayWaitMs)) {
		request.answerMayWaitMs = readAmount(answerMayWaitMs, 'request.answerMayWaitMs', maxTimeMs);
	}

	if (isPresent(limitPerSecond)) {
		request.limitPerSecond = readAmount(limitPerSecond, 'request.limitPerSecond', maxTimeMs);
	}

	if (isPresent(workspace)) {
		request.workspace = readWorkspaceName(workspace, 'request.workspace');
	}

	if (isPresent(maxSlowness)) {
		request.maxSlowness = readAmount(maxSlowness, 'request.maxSlowness', maxTimeMs);
	}

	if (isPresent(bodyMs)) {
		request.bodyMs = readAmount(bodyMs, 'request.bodyMs', maxTimeMs);
	}

	checkContentLength(request.headers, request.hasBody);
	return request;
}

/** Stands for a slowness that the server does not report, where other fields follow it. */
const noSlowness = 0;

/** Encodes a load. The slowness and the fields of priorities follow the others in this order, and are omitted at the end if there are none; fields of later releases follow them. */
function encodeLoad(load: GateLoad): readonly unknown[] {
	const {running, waiting, serviceMs, tookMs, slowness} = load;
	const known = [running, waiting, Math.round(serviceMs), roundToTenth(tookMs)];
	const priorities = encodePriorityLoad(load);
	return slowness === undefined && priorities.length === 0 ? known : [...known, slowness === undefined ? noSlowness : roundToHundredth(slowness), ...priorities];
}

/** Decodes a load. An optional field that is malformed counts as absent. */
function decodeLoad(value: unknown): GateLoad | undefined {
	if (!Array.isArray(value)) {
		return undefined;
	}

	const [running, waiting, serviceMs, tookMs, slowness, priorities] = value as readonly unknown[];
	if (!isNonNegativeNumber(running) || !isNonNegativeNumber(waiting) || !isNonNegativeNumber(serviceMs) || !isNonNegativeNumber(tookMs)) {
		return undefined;
	}

	const load = {
		running, waiting, serviceMs, tookMs, ...decodePriorityLoad(priorities),
	};
	return isSlowness(slowness) ? {...load, slowness} : load;
}

/**
 * Encodes the result of a request.
 *
 * @param gateResult - The result at the gate, with the load of its backend server.
 * @returns Head and body of the answer's frame.
 * @internal
 */
export function encodePeerAnswer({result, load}: GateResult): {readonly head: readonly unknown[]; readonly body?: Uint8Array} {
	const loadPart = load === undefined ? 0 : encodeLoad(load);
	return result.type === 'answered'
		? {head: ['ran', loadPart, result.status, result.headers], body: result.body}
		: {head: [result.verdict, loadPart, result.reason, result.hasArrived ? 1 : 0, Math.round(result.retryAfterMs), result.detail]};
}

/** Decodes a response of a backend server. Returns `undefined` if it is malformed or could not be written to a caller unchanged. */
function decodeAnswered([status, headers]: readonly unknown[], body: Uint8Array): ForwardResponse | undefined {
	if (!Number.isInteger(status) || (status as number) < minFinalStatus || (status as number) > maxStatus) {
		return undefined;
	}

	try {
		return {
			type: 'answered', status: status as number, headers: readHeaders(headers, 'answer.headers'), body,
		};
	} catch {
		// The error is dropped, because the caller can do nothing with it.
		return undefined;
	}
}

const unreadableAnswer = createMayHaveRun('wrong-answer', 'the answer of the node is malformed');

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
 * Decodes the result of a request. Returns a failure with the verdict `may-have-run` if the answer is malformed.
 *
 * @param head - The head of the answer's frame.
 * @param body - The body of the answer's frame.
 * @returns The result at the gate, with the load of its backend server.
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
