/**
 * The state that the gate keeps for one lifetime of the backend server: its slots, its
 * connection pool and its failure rate. The state ends with the lifetime; the next
 * lifetime starts with a new session.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {
	createSlotPool, type PoolLoad, type SlotOutcome, type SlotRequest,
} from '../admission/slot-pool.js';
import {readAwakeMs, readSteadyMs} from '../common/clock.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type ServerAnnouncement} from '../local-server/local-server.js';
import {createCrashDetector} from '../quarantine/crash-detector.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {createLazyFingerprint, type LazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {createServerLimiter, type LimitedOutcome} from '../server-notices/server-limiter.js';
import {isLeavingNotice, readServerLimit} from '../server-notices/server-notice.js';
import {deadlineGraceMs, type CallScope} from './call-scope.js';
import {removeHopByHopHeaders, getStringHeader, type CallHeaderNames} from './call-headers.js';
import {runExchange, type ExchangeResponse, type ExchangeFailure} from './exchange.js';
import {
	createMayHaveRun, createNotRun, type ForwardFailure, type ForwardResult,
} from './forward-result.js';
import {createServerConnectionPool} from './server-connection-pool.js';
import {isRefusingConnections} from './refused-connection.js';
import {createHalfOpenDetector} from './half-open-detector.js';

/** A request for the server that holds a slot. @internal */
export type SessionCall = {
	readonly id: string;
	readonly method: string;
	readonly target: string;
	/** Headers to forward. */
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	/** Reads the body, called once the request holds a slot. */
	readonly readBody: () => Promise<Uint8Array | undefined>;
	readonly callerService: string;
	/** Name of the workspace of the caller; `undefined` if it has none. */
	readonly workspace?: string | undefined;
	/** Priority; 0 is the highest. */
	readonly rank: number;
	/** Maximum expected wait, in milliseconds: for a slot, and once more for the limit of the server. */
	readonly mayWaitMs: number;
	readonly scope: CallScope;
};

/** @internal */
export type ServerSessionContext = {
	readonly headerNames: CallHeaderNames;
	readonly log: MeshLog;
	readonly refusals: Pick<RefusalLog, 'record'>;
	/** Maximum number of connections that the server accepts from this node. */
	readonly maxConnections: number;
	/** Called when the server could not be reached, or has crashed. */
	readonly handleUnreachable: (lifetime: ServerLifetime, reason: string) => void;
	readonly quarantine: Pick<Quarantine, 'check' | 'waitForTrial' | 'admitRun' | 'recordCrash' | 'recordResponse'>;
	/** Whether the server or its node is leaving, so that the end of the server is not a crash. */
	readonly isLeaving: () => boolean;
	/** Called with each request that the server executed, and the time it took in milliseconds. */
	readonly handleOutcome: (call: SessionCall, hasFailed: boolean, tookMs: number) => void;
	/** Called with each request to a server that names a limit, and whether the limit let it through. */
	readonly countLimited: (caller: string, outcome: LimitedOutcome) => void;
	/** Called with each response in which the server says that it leaves. */
	readonly handleLeaving: (lifetime: ServerLifetime) => void;
	/** Called when another server responded at the address (status 421). */
	readonly handleMisdirected: (lifetime: ServerLifetime) => void;
};

/** Load and failure rate of the server. @internal */
export type SessionLoad = PoolLoad & {
	/** Moving average of the share of failed requests, 0 to 1. */
	readonly failureShare: number;
};

/** @internal */
export type ServerSession = {
	/** Requests a slot, which `run` or `release` returns. */
	readonly acquire: (request: SlotRequest) => Promise<SlotOutcome>;
	readonly release: () => void;
	readonly run: (call: SessionCall) => Promise<ForwardResult>;
	readonly resize: (slots: number) => void;
	/** Applies a limit that another node knows, until the server has responded to this node. */
	readonly suggestLimit: (limitPerSecond: number) => void;
	/** Refuses a request that the limit of the server is expected to delay for longer than it may wait. Returns `undefined` if it may go on. */
	readonly refuseLimited: (call: Pick<SessionCall, 'callerService' | 'rank' | 'mayWaitMs'>) => ForwardFailure | undefined;
	/** Returns the requests per second that the server takes from all nodes together; `undefined` if it names no limit. */
	readonly getLimit: () => number | undefined;
	readonly describe: () => SessionLoad;
	/**
	 * Records that the server has crashed, because another lifetime replaced it without a leave. Requests lost from then on
	 * were running at the crash: a node that lags learns of the new lifetime before it reads the closed connections.
	 */
	readonly recordCrash: () => void;
	/** Stops new requests because another server has replaced this one. Requests that wait for a slot are refused immediately; running requests may still finish. */
	readonly retire: () => void;
	/** Ends the session and closes its connections. Requests in flight fail as `may-have-run`. */
	readonly end: () => void;
};

/** Maximum idle time of a connection to the backend server. The shortest keep-alive timeout of servers that send no Keep-Alive header is some seconds. */
const idleConnectionMs = 4000;

/** Connect timeout. A backend server on the same VM accepts a connection in well under a millisecond. */
const connectTimeoutMs = 400;

/** Backoff after a failed connection to the server: a restart takes about as long. @internal */
export const unreachableBackoffMs = 500;

/** Timeout of the connection attempt that checks for a crash. A server on the same VM accepts or refuses a connection in well under a millisecond. The failure responses that wait for the check are delayed by at most this time. */
const crashProbeTimeoutMs = 100;

/** Maximum number of running requests that the log lists when a server crashes: as many as run at the users' largest server. */
const maxLoggedSuspectCount = 20;

/** Weight of the newest request in the moving average of failures, which covers about ten requests. */
const failureWeight = 0.1;

/** Subtracted from the remaining time that is forwarded to the server: the grace period of the call scope, and the latency to the server. */
const deadlineMarginMs = deadlineGraceMs + 1;

/** For each group of this many slots, the gate sends one request more than the server executes. The extra request waits at the server for about an eighth of a service time, regardless of its rank. */
const slotsPerQueuedRequest = 8;

/**
 * Computes how many requests may be at a server at the same time, more than it executes. Without the extra requests a free slot
 * would be idle while its response travels to the gate and the next request to the server, about three milliseconds under
 * load. A request that already waits at the server takes the slot immediately.
 *
 * @param slots - Requests that the server executes concurrently.
 * @returns The maximum number of requests at the server.
 * @internal
 */
export const computeConcurrencyLimit = (slots: number): number => slots + Math.floor(slots / slotsPerQueuedRequest);

/** A request that was sent to the server. */
type SentCall = {readonly id: string; readonly fingerprint: LazyFingerprint};

/** A sent request that was abandoned without a response. Until `expiresAt` (steady milliseconds) the server may still execute it. */
type AbandonedCall = SentCall & {readonly expiresAt: number};

/** Maximum time for which an abandoned request is a crash suspect: several times the duration of most requests. */
const abandonedCallTtlMs = 5000;

/** Maximum number of remembered abandoned requests: several times the number of requests that run at the users' largest servers. */
const maxAbandonedCallCount = 64;

/**
 * Creates the fingerprint by which the quarantine identifies a request.
 *
 * @param call - The request.
 * @param body - The body of the request.
 * @returns The fingerprint, computed lazily.
 * @internal
 */
export const createCallFingerprint = ({method, target, headers}: Pick<SessionCall, 'method' | 'target' | 'headers'>, body: Uint8Array | undefined): LazyFingerprint => createLazyFingerprint({
	method, host: typeof headers.host === 'string' ? headers.host : '', target, body,
});

/** Creates the failure of a request that the limit of its server does not let start within `waitMs`. */
const createLimitedFailure = (waitMs: number): ForwardFailure => createNotRun('limited', 'the limit that the backend server named is used up', waitMs);

const sessionEndedFailure = createNotRun('gone', 'backend server has restarted or was replaced');

/**
 * Opens a session. It connects to the server on the first request.
 *
 * @param announcement - The announcement of the server.
 * @param context - The dependencies of the session.
 * @returns The session of an idle server.
 * @internal
 */
export function openServerSession(announcement: ServerAnnouncement, context: ServerSessionContext): ServerSession {
	const {headerNames, log} = context;
	const {lifetime} = announcement;
	const slots = createSlotPool(computeConcurrencyLimit(announcement.slots));
	const pool = createServerConnectionPool({
		address: announcement.address, maxConnections: context.maxConnections, idleMs: idleConnectionMs, connectTimeoutMs,
	});
	const halfOpenDetector = createHalfOpenDetector();
	const limiter = createServerLimiter(context.countLimited);
	let abandonedCalls: readonly AbandonedCall[] = [];
	let failureShare = 0;
	let isEnded = false;
	let hasCrashed = false;

	const addAbandonedCall = ({id, scope}: SessionCall, fingerprint: LazyFingerprint): void => {
		const expiresAt = Math.min(scope.deadlineAt, readSteadyMs() + abandonedCallTtlMs);
		abandonedCalls = [...abandonedCalls, {id, fingerprint, expiresAt}].slice(-maxAbandonedCallCount);
	};

	/** Removes all abandoned calls and returns the ones that the server may still execute, since one of them may have crashed it. */
	const removeAbandonedCalls = (): readonly SentCall[] => {
		const now = readSteadyMs();
		const current = abandonedCalls.filter(({expiresAt}) => expiresAt > now);
		abandonedCalls = [];
		return current;
	};

	const handleCrash = (lost: readonly SentCall[]): void => {
		const inFlight = [...lost, ...removeAbandonedCalls()];
		const logged = inFlight.slice(0, maxLoggedSuspectCount);
		log.record('warn', {
			kind: 'server-crashed', server: lifetime.id, atWork: inFlight.length,
			suspects: logged.map(({fingerprint}) => fingerprint.getFingerprint()), calls: logged.map(({id}) => id),
		});
		context.quarantine.recordCrash(lifetime, inFlight.map(({fingerprint}) => fingerprint));
		context.handleUnreachable(lifetime, 'backend server crashed');
	};

	const crashDetector = createCrashDetector<SentCall>({
		hasEnded: async () => hasCrashed || (!isEnded && !context.isLeaving() && isRefusingConnections(announcement.address, crashProbeTimeoutMs)),
		handleCrash,
	});

	/** Reports abandoned calls to the crash detector, because they may be the only requests that were running when the server ended. */
	const checkAbandonedCalls = (): void => {
		for (const call of removeAbandonedCalls()) {
			void crashDetector.recordLost(call);
		}
	};

	const recordOutcome = (hasFailed: boolean): void => {
		failureShare = (failureShare * (1 - failureWeight)) + (hasFailed ? failureWeight : 0);
	};

	const convertFailure = (failure: ExchangeFailure): ForwardFailure => {
		if (isEnded && !failure.isSent) {
			return sessionEndedFailure;
		}

		switch (failure.reason) {
			case 'unreachable': {
				checkAbandonedCalls();
				context.handleUnreachable(lifetime, failure.detail);
				return createNotRun('server-unreachable', failure.detail, unreachableBackoffMs);
			}

			case 'connection-lost':
			case 'wrong-answer': {
				recordOutcome(true);
				return createMayHaveRun(failure.reason, failure.detail);
			}

			case 'timeout':
			case 'cancelled':
			case 'superseded': {
				return failure.isSent ? createMayHaveRun(failure.reason, failure.detail) : createNotRun(failure.reason, failure.detail);
			}
		}
	};

	/**
	 * Converts the failure of a request whose connection was lost. A request that was running when the server crashed is not
	 * retried automatically, because a request that crashes every server would crash one server per attempt that its route allows.
	 * A request that was recently answered elsewhere is retried as usual.
	 */
	const convertLostConnection = async ({id}: SessionCall, fingerprint: LazyFingerprint, failure: ExchangeFailure): Promise<ForwardFailure> => {
		const isCrash = await crashDetector.recordLost({id, fingerprint});
		const converted = convertFailure(failure);
		return isCrash && context.quarantine.check(fingerprint).type !== 'free' ? {...converted, reason: 'server-crashed'} : converted;
	};

	/** Applies the limit that a response names. A limit that cannot be read changes nothing. */
	const recordLimit = (headers: IncomingHttpHeaders): void => {
		const limit = readServerLimit(headers, headerNames);
		if (limit.isErr()) {
			context.refusals.record({
				kind: 'limit-refused', cause: 'unreadable', place: lifetime.id, reason: limit.error,
			});
			return;
		}

		const before = limiter.getLimit();
		if (limiter.apply(limit.value)) {
			log.record('info', {
				kind: 'server-limit-changed', server: lifetime.id, perSecond: limit.value, before,
			});
		}
	};

	/** Applies what the server says of itself in a response. A response with neither a signature nor a refusal may come from another process. */
	const recordNotices = (headers: IncomingHttpHeaders): void => {
		if (headers[headerNames.signature] === undefined && headers[headerNames.notRun] === undefined) {
			return;
		}

		recordLimit(headers);
		if (isLeavingNotice(headers, headerNames)) {
			context.handleLeaving(lifetime);
		}
	};

	const convertResponse = (response: ExchangeResponse, fingerprint: LazyFingerprint): ForwardResult => {
		if (response.status === 421) {
			// Another server has the address. It gets no requests until it has announced itself.
			context.handleMisdirected(lifetime);
			return {...createNotRun('gone', 'another backend server responds at the address'), hasArrived: true};
		}

		recordNotices(response.headers);
		if (response.headers[headerNames.notRun] !== undefined) {
			recordOutcome(true);
			return {...createNotRun('shed', `backend server responded with status ${response.status} and did not execute the request`), hasArrived: true};
		}

		if (response.status >= 200 && response.status < 300 && response.headers[headerNames.signature] === undefined) {
			recordOutcome(true);
			return createMayHaveRun('wrong-answer', 'successful response without the signature of a backend server');
		}

		const hasFailed = response.status >= 500;
		recordOutcome(hasFailed);
		// A failed request remains a suspect, because the server may fail it before it reaches the code that crashes.
		if (!hasFailed) {
			context.quarantine.recordResponse(fingerprint);
		}

		return {
			type: 'answered', status: response.status, headers: removeHopByHopHeaders(response.headers), body: response.body,
		};
	};

	const createOwnResponseCheck = (call: SessionCall) => (headers: IncomingHttpHeaders, status: number): boolean => {
		const id = getStringHeader(headers, headerNames.callId);
		const isRefusal = headers[headerNames.notRun] !== undefined || status === 421;
		return id === call.id || (id === undefined && isRefusal);
	};

	/** Reports how a request ended at the server, unless the server refused it or the caller left. */
	const reportOutcome = (call: SessionCall, result: ExchangeResponse | ExchangeFailure, tookMs: number): void => {
		if (result.type === 'failed') {
			if (result.isSent && result.reason !== 'cancelled' && result.reason !== 'superseded') {
				context.handleOutcome(call, true, tookMs);
			}

			return;
		}

		if (result.status !== 421 && result.headers[headerNames.notRun] === undefined) {
			context.handleOutcome(call, result.status >= 500, tookMs);
		}
	};

	/** Waits until the limit lets a request start. It is the last wait before the request is sent, so that the limit holds for what arrives at the server. */
	const waitForLimit = async ({callerService, rank, mayWaitMs, scope}: SessionCall): Promise<ForwardFailure | undefined> => {
		const outcome = await limiter.acquire({
			caller: callerService, rank, mayWaitMs, listenForEnd: scope.subscribe,
		});
		// A request whose call has ended is refused before it is sent.
		return outcome.type === 'refused' ? createLimitedFailure(outcome.retryAfterMs) : undefined;
	};

	const send = async (call: SessionCall, body: Uint8Array | undefined): Promise<ForwardResult> => {
		const fingerprint = createCallFingerprint(call, body);
		const settled = context.quarantine.waitForTrial(fingerprint);
		if (settled !== undefined) {
			await settled;
		}

		const refusal = limiter.getLimit() === undefined ? undefined : await waitForLimit(call);
		if (refusal !== undefined) {
			return refusal;
		}

		const now = readSteadyMs();
		const leftMs = Math.floor(call.scope.deadlineAt - now - deadlineMarginMs);
		const ended = call.scope.getEndReason();
		if (ended !== undefined || leftMs <= 0) {
			return createNotRun(ended ?? 'timeout', 'deadline passed or call ended before the request could be sent');
		}

		if (isEnded) {
			return sessionEndedFailure;
		}

		if (halfOpenDetector.areSuspected(slots.describe().serviceMs, now)) {
			pool.renew();
			log.record('info', {kind: 'connections-renewed', server: lifetime.id, reason: 'a request has waited far longer than the average service time'});
		}

		const admission = context.quarantine.admitRun(fingerprint);
		if (admission.type === 'refused') {
			return createNotRun('quarantined', admission.detail, admission.retryAfterMs);
		}

		const finishRequest = halfOpenDetector.recordRequest(now);
		const sentAt = readAwakeMs();
		const result = await runExchange({
			pool, id: call.id, method: call.method, target: call.target, body, scope: call.scope,
			headers: {
				...call.headers as Record<string, string | string[]>,
				[headerNames.callId]: call.id,
				[headerNames.timeLeft]: String(leftMs),
				[headerNames.expectedServer]: lifetime.id,
				[headerNames.callerService]: call.callerService,
				...call.workspace === undefined ? {} : {[headerNames.workspace]: call.workspace},
				...body === undefined ? {} : {'content-length': String(body.length)},
			},
			isOwnResponse: createOwnResponseCheck(call),
			readCallId: headers => getStringHeader(headers, headerNames.callId),
		});
		finishRequest();
		admission.end();
		reportOutcome(call, result, readAwakeMs() - sentAt);
		if (result.type === 'failed' && result.isSent && result.reason !== 'connection-lost' && result.reason !== 'wrong-answer') {
			addAbandonedCall(call, fingerprint);
		}

		if (result.type === 'failed') {
			return result.reason === 'connection-lost' ? convertLostConnection(call, fingerprint, result) : convertFailure(result);
		}

		return convertResponse(result, fingerprint);
	};

	const stopAccepting = (): void => {
		isEnded = true;
		slots.close();
		limiter.close();
		pool.renew();
	};

	return {
		acquire: slots.acquire,
		release() {
			slots.release(undefined);
		},
		async run(call) {
			const startedAt = readAwakeMs();
			let result: ForwardResult = createNotRun('cancelled', 'request body did not arrive');
			try {
				const body = await call.readBody();
				result = await send(call, body);
			} catch (error) {
				result = createNotRun('cancelled', `request body did not arrive: ${(error as Error).message}`);
			} finally {
				slots.release(result.type === 'answered' && result.status < 500 ? readAwakeMs() - startedAt : undefined);
			}

			return result;
		},
		resize(count) {
			slots.resize(computeConcurrencyLimit(count));
		},
		suggestLimit: limiter.suggest,
		refuseLimited({callerService, rank, mayWaitMs}) {
			const waitMs = limiter.refuseLate({caller: callerService, rank, mayWaitMs});
			return waitMs === undefined ? undefined : createLimitedFailure(waitMs);
		},
		getLimit: limiter.getLimit,
		describe: () => ({...slots.describe(), failureShare}),
		recordCrash() {
			hasCrashed = true;
			crashDetector.recordReplaced();
			checkAbandonedCalls();
		},
		retire: stopAccepting,
		end() {
			stopAccepting();
			pool.dispose();
		},
	};
}
