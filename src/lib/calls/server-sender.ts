/**
 * Sends requests from the gate to the backend server beside it.
 *
 * @module
 */
import {type Readable} from 'node:stream';
import {type Gate, type Slot} from '../admission/gate.js';
import {readMicroseconds, readNow} from '../common/clock.js';
import {type BackendServer} from '../directory/node-record.js';
import {createServerLimiter, type LimitRequest} from '../server-notices/server-limiter.js';
import {isLeavingNotice, readServerLimit} from '../server-notices/server-notice.js';
import {type Timeline} from '../timeline/timeline.js';
import {
	createFailure, toFailedAttempt, type Attempt, type AttemptResult, type FailedAttempt, type HeaderMap,
} from './attempt.js';
import {isStream} from './gate-client.js';
import {createRunTracker, type RunQuarantine} from './run-tracker.js';
import {createServerPool} from './server-pool.js';
import {
	filterForwardableHeaders, getHeader, meshHeaders, noticeHeaders, timeoutHeader, toOutgoingHeaders,
} from './headers.js';

/** What the limiter needs to know of a request. @internal */
export type LimitedAttempt = Pick<Attempt, 'entry' | 'limitPerSecond' | 'workClass'>;

/** @internal */
export type ServerSenderContext = {
	readonly quarantine: RunQuarantine;
	/** The longest wait of a request for the limit of the server, in milliseconds. */
	readonly maxLimitWaitMs: number;
	readonly timeline: Timeline;
	/** Called with each response in which the server says that it leaves. */
	readonly handleLeaving: () => void;
};

/** @internal */
export type ServerSender = {
	/** Sends an attempt; waits for a slot first unless one is given. */
	readonly send: (attempt: Attempt, slot?: Slot) => Promise<AttemptResult>;
	/** Returns the failure of a request that the limit of the server does not let start in time; `undefined` if it does. */
	readonly checkLimit: (request: LimitedAttempt) => FailedAttempt | undefined;
	readonly dispose: () => Promise<void>;
};

const connectTimeoutMs = 1000;

/** Statuses of responses without a body, which need no length. */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

function hasMessageFraming(attempt: Attempt, status: number, headers: Readonly<Record<string, unknown>>): boolean {
	return attempt.method === 'HEAD' || bodilessStatuses.has(status) || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function releaseAfterBody(body: Readable, slot: Slot): void {
	const release = (): void => {
		slot.release();
	};

	body.once('end', release);
	body.once('close', release);
	body.once('error', release);
}

/**
 * Creates the sender for a backend server. No connection is made before the first request.
 *
 * @param server - The server.
 * @param gate - Its gate.
 * @param context - The dependencies of the sender.
 * @returns The sender.
 * @internal
 */
export function createServerSender(server: BackendServer, gate: Gate, {quarantine, maxLimitWaitMs, timeline, handleLeaving}: ServerSenderContext): ServerSender {
	const {pool, mayKeepConnection} = createServerPool(server.address, server.connections, connectTimeoutMs, (call, bytes, isAnswered) => {
		timeline.record({
			kind: 'other-bytes-skipped', call, server: server.id, bytes, isAnswered,
		});
	});

	let isClosing = false;
	const runTracker = createRunTracker(quarantine, server, () => isClosing);

	const limiter = createServerLimiter(() => undefined);
	let refusedLimit = '';

	/** Applies the limit that a response names. A limit that cannot be read is recorded once and changes nothing. */
	const applyLimit = (headers: HeaderMap): void => {
		const limit = readServerLimit(headers, noticeHeaders);
		if (limit.isErr()) {
			if (limit.error !== refusedLimit) {
				refusedLimit = limit.error;
				timeline.record({kind: 'server-limit-refused', server: server.id, reason: limit.error});
			}

			return;
		}

		const before = limiter.getLimit();
		if (limiter.apply(limit.value)) {
			timeline.record({
				kind: 'server-limit-changed', server: server.id, perSecond: limit.value, before,
			});
		}
	};

	const createLimitFailure = (waitMs: number): FailedAttempt => createFailure('not-run', 'limited', `the limit that ${server.id} named is used up`, Math.ceil(waitMs));

	const createLimitRequest = ({entry, workClass}: LimitedAttempt): Omit<LimitRequest, 'listenForEnd'> => ({caller: entry, rank: workClass === 'interactive' ? 0 : 1, mayWaitMs: maxLimitWaitMs});

	const checkLimit = (request: LimitedAttempt): FailedAttempt | undefined => {
		if (request.limitPerSecond !== undefined) {
			limiter.suggest(request.limitPerSecond);
		}

		const waitMs = limiter.refuseLate(createLimitRequest(request));
		return waitMs === undefined ? undefined : createLimitFailure(waitMs);
	};

	/** Waits until the limit lets a request start. It is the last wait before the request is sent. */
	const waitForLimit = async (attempt: Attempt): Promise<FailedAttempt | undefined> => {
		const {signal} = attempt;
		const outcome = await limiter.acquire({
			...createLimitRequest(attempt),
			listenForEnd(handleEnd) {
				signal.addEventListener('abort', handleEnd, {once: true});
				return () => {
					signal.removeEventListener('abort', handleEnd);
				};
			},
		});
		return outcome.type === 'refused' ? createLimitFailure(outcome.retryAfterMs) : undefined;
	};

	const sendWithSlot = async (attempt: Attempt, slot: Slot): Promise<AttemptResult> => {
		const refusal = limiter.getLimit() === undefined ? undefined : await waitForLimit(attempt);
		if (refusal !== undefined) {
			slot.release();
			return refusal;
		}

		const admission = await runTracker.admit(attempt.fingerprint);
		if (admission.type === 'refused') {
			slot.release();
			return createFailure('not-run', 'quarantined', admission.detail, admission.retryAfterMs);
		}

		const startedAt = readMicroseconds();
		try {
			const response = await pool.request({
				method: attempt.method,
				path: attempt.path,
				headers: toOutgoingHeaders({
					...attempt.headers,
					[timeoutHeader]: String(Math.max(1, attempt.deadline - readNow())),
					[meshHeaders.call]: attempt.call,
				}),
				body: attempt.body,
				signal: attempt.signal,
				// A server that closes the connection behind its response would cut off an upload that it answered early, and the response with it.
				reset: !mayKeepConnection() && !isStream(attempt.body),
			});
			releaseAfterBody(response.body, slot);
			runTracker.watchResponse(admission, response.statusCode, response.body);
			applyLimit(response.headers);
			if (isLeavingNotice(response.headers, noticeHeaders)) {
				handleLeaving();
			}

			// Only the server knows whether it shed a request before executing it, so its verdict header is trusted.
			if (getHeader(response.headers, meshHeaders.verdict) === 'not-run') {
				response.body.destroy();
				return createFailure('not-run', 'shed', `the backend server answered with status ${response.statusCode} and reported that it did not execute the request`);
			}

			if (!hasMessageFraming(attempt, response.statusCode, response.headers)) {
				response.body.destroy();
				return createFailure('may-have-run', 'wrong-answer', 'the response of the backend server has neither content-length nor transfer-encoding, so truncation could not be detected');
			}

			return {
				type: 'answered',
				status: response.statusCode,
				headers: filterForwardableHeaders(response.headers),
				body: response.body,
				serverMicroseconds: Math.round(readMicroseconds() - startedAt),
				load: gate.countRequests(),
			};
		} catch (error) {
			slot.release();
			return runTracker.checkForCrash(admission, toFailedAttempt(error, attempt));
		}
	};

	return {
		async send(attempt, reservedSlot) {
			if (reservedSlot !== undefined) {
				return sendWithSlot(attempt, reservedSlot);
			}

			const refusal = checkLimit(attempt);
			if (refusal !== undefined) {
				return refusal;
			}

			const slot = await gate.acquire({workClass: attempt.workClass, deadline: attempt.deadline, signal: attempt.signal});
			if (slot.isErr()) {
				const {type, retryAfterMs} = slot.error;
				return createFailure('not-run', type, `the gate of ${server.id} rejected the request (${type})`, retryAfterMs);
			}

			return sendWithSlot(attempt, slot.value);
		},
		checkLimit,
		async dispose() {
			isClosing = true;
			limiter.close();
			await pool.destroy();
		},
	};
}
