/**
 * The state that the gate keeps for one lifetime of the backend server: its slots, its
 * connection pool and its failure rate. The state ends with the lifetime; the next
 * lifetime starts with a new session.
 *
 * @module
 */
import {
	createSlotPool, type SlotLoad, type SlotOutcome, type SlotRequest,
} from '../admission/slot-pool.js';
import {readAwakeMs, readSteadyMs} from '../common/clock.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type ServerAnnouncement} from '../local-server/local-server.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {createLazyFingerprint, type LazyFingerprint} from '../quarantine/lazy-fingerprint.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {createServerLimiter, type LimitedOutcome} from '../server-notices/server-limiter.js';
import {createLoadReports, type LoadReports} from '../server-notices/load-reports.js';
import {type MemoryLedger} from '../memory/memory-ledger.js';
import {deadlineGraceMs, type CallScope} from './call-scope.js';
import {type CallHeaderNames} from './call-headers.js';
import {createExchangeConverter, createOwnResponseCheck, sessionEndedFailure} from './convert-exchange.js';
import {createCrashWatch} from './crash-watch.js';
import {runExchange, type ExchangeResponse, type ExchangeFailure} from './exchange.js';
import {createNotRun, type ForwardFailure, type ForwardResult} from './forward-result.js';
import {createHangWatch} from './hang-watch.js';
import {BodyNotReceivedError} from './body-pieces.js';
import {createResponseMemory} from './response-memory.js';
import {createServerConnectionPool} from './server-connection-pool.js';
import {createServerDrain} from './server-drain.js';
import {createHalfOpenDetector} from './half-open-detector.js';
import {createNoticeReader} from './response-notices.js';

export {computeConcurrencyLimit} from '../decisions/concurrency-limit.js';
export {unreachableBackoffMs} from './convert-exchange.js';

/** A request for the server that holds a slot. @internal */
export type SessionCall = {
	readonly id: string;
	readonly method: string;
	readonly target: string;
	/** Headers to forward. */
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	/** Reads the body, called once the request holds a slot. May reject with a `BodyNotReceivedError`. */
	readonly readBody: () => Promise<Uint8Array | undefined>;
	/** Shortest time in which the body can arrive, in milliseconds; `undefined` if it has arrived. */
	readonly bodyMs?: number | undefined;
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
	/** Returns whether a request may be run twice. */
	readonly isRepeatable?: ((call: SessionCall) => boolean) | undefined;
	/** Whether the server may still work on requests of an earlier run of this node. */
	readonly hasEarlierWork?: boolean;
	/** How long the server takes requests after it began to drain, in milliseconds. */
	readonly drainMs: number;
	/** What this process holds for its clients. */
	readonly ledger: MemoryLedger;
};

/** Load and failure rate of the server. @internal */
export type SessionLoad = SlotLoad & {
	/** Moving average of the share of failed requests, 0 to 1. */
	readonly failureShare: number;
	/** Requests that the server can hold. */
	readonly slots: number;
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
	/** Returns the latest load report of the server and its age in milliseconds; `undefined` if there is none or if it is old. */
	readonly getLoadReport: () => ReturnType<LoadReports['getLatest']>;
	/** Returns how slow the VM of the server was at its last report, as a factor of the usual time; `undefined` if the server does not say. */
	readonly getSlowness: () => number | undefined;
	readonly describe: () => SessionLoad;
	/** Returns how many requests the gate sends to the server at the same time, given-up ones that it may still work on included. */
	readonly getSlotLimit: () => number;
	/** Returns until when the server may work on the requests that it has, in milliseconds of the steady clock; negative infinity if it has none. */
	readonly getWorksUntil: () => number;
	/**
	 * Records that the server has crashed, because another lifetime replaced it without a leave. Requests lost from then on
	 * were running at the crash: a node that lags learns of the new lifetime before it reads the closed connections.
	 */
	readonly recordCrash: () => void;
	/** Records that the server drains. Later calls have no effect. */
	readonly startDraining: () => void;
	/** Stops new requests because another server has replaced this one. Requests that wait for a slot are refused immediately; running requests may still finish. */
	readonly retire: () => void;
	/** Ends the session and closes its connections. Requests in flight fail as `may-have-run`. */
	readonly end: () => void;
};

/** Maximum idle time of a connection to the backend server. The shortest keep-alive timeout of servers that send no Keep-Alive header is some seconds. */
const idleConnectionMs = 4000;

/** Connect timeout. A backend server on the same VM accepts a connection in well under a millisecond. */
const connectTimeoutMs = 400;

/** Subtracted from the remaining time that is forwarded to the server: the grace period of the call scope, and the latency to the server. */
const deadlineMarginMs = deadlineGraceMs + 1;

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

/** Creates the failure of a request that would reach its server too long after that began to drain. */
const createDrainingFailure = ({id}: ServerLifetime): ForwardFailure => createNotRun('draining', `backend server ${id} is draining, and the request would reach it too late`);

/** Creates the failure of a request that the limit of its server does not let start within `waitMs`. */
const createLimitedFailure = (waitMs: number): ForwardFailure => createNotRun('limited', 'the limit that the backend server named is used up', waitMs);

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
	const hangWatch = createHangWatch(announcement.slots, context.hasEarlierWork ?? false, {
		server: lifetime.id,
		log,
		resize(count) {
			slots.resize(count);
		},
		releaseSlot() {
			slots.release(undefined);
		},
		getServiceMs: () => slots.getServiceMs(),
	});
	const slots = createSlotPool(hangWatch.getSlotLimit());
	const pool = createServerConnectionPool({
		address: announcement.address, maxConnections: context.maxConnections, idleMs: idleConnectionMs, connectTimeoutMs,
	});
	const halfOpenDetector = createHalfOpenDetector();
	const responseMemory = createResponseMemory(context.ledger);
	const limiter = createServerLimiter(context.countLimited);
	const loadReports = createLoadReports();
	let isEnded = false;
	const drain = createServerDrain(context.drainMs);
	const crashWatch = createCrashWatch({
		lifetime, address: announcement.address, log, quarantine: context.quarantine, handleUnreachable: context.handleUnreachable,
		isEnding: () => isEnded || context.isLeaving(),
	});
	const notices = createNoticeReader(lifetime, {limiter, slots, loadReports}, context);
	const converter = createExchangeConverter({
		lifetime, headerNames, crashWatch, quarantine: context.quarantine, hasEnded: () => isEnded,
		handleUnreachable: context.handleUnreachable, handleMisdirected: context.handleMisdirected,
		recordNotices: notices.recordNotices,
	});

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

	/** Sends a request that holds a slot since `startedAt`, in milliseconds of the clock that does not advance while this VM is suspended. Calls `keepSlot` if the slot is still taken when the request has its result. */
	const send = async (call: SessionCall, body: Uint8Array | undefined, startedAt: number, keepSlot: () => void): Promise<ForwardResult> => {
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

		if (drain.isOver()) {
			return createDrainingFailure(lifetime);
		}

		if (halfOpenDetector.areSuspected(slots.getServiceMs(), now)) {
			pool.renew();
			log.record('info', {kind: 'connections-renewed', server: lifetime.id, reason: 'a request has waited far longer than the average service time'});
		}

		const admission = context.quarantine.admitRun(fingerprint);
		if (admission.type === 'refused') {
			return createNotRun('quarantined', admission.detail, admission.retryAfterMs);
		}

		const drainedMs = drain.getElapsedMs();
		if (drainedMs !== undefined) {
			log.record('info', {
				kind: 'request-sent-while-draining', call: call.id, server: lifetime.id, drainedMs: Math.round(drainedMs), bodyMs: Math.round(readAwakeMs() - startedAt),
			});
		}

		const finishRequest = halfOpenDetector.recordRequest(now);
		const watched = hangWatch.watch({id: call.id, deadlineAt: call.scope.deadlineAt, isRepeatable: () => context.isRepeatable?.(call) ?? false});
		const sentAt = readAwakeMs();
		const result = await runExchange({
			pool, id: call.id, method: call.method, target: call.target, body, scope: call.scope, memory: responseMemory,
			headers: {
				...call.headers as Record<string, string | string[]>,
				[headerNames.callId]: call.id,
				[headerNames.timeLeft]: String(leftMs),
				[headerNames.expectedServer]: lifetime.id,
				[headerNames.callerService]: call.callerService,
				// Replaces a header of the caller that the entry has not removed; `undefined` leaves it out.
				[headerNames.workspace]: call.workspace,
				...body === undefined ? {} : {'content-length': String(body.length)},
			},
			idHeader: headerNames.callId,
			isOwnResponse: createOwnResponseCheck(call.id, headerNames),
			handleOtherBytes(bytes, isAnswered) {
				log.record('info', {
					kind: 'other-bytes-skipped', call: call.id, server: lifetime.id, bytes, isAnswered, ageMs: Math.round(readAwakeMs() - sentAt),
				});
			},
			handleHead(headers) {
				watched.recordResponse(notices.recordLoad(headers), headers[headerNames.signature] !== undefined && headers[headerNames.notRun] === undefined);
			},
			listenForHang: watched.listenForHang,
			lateResponse: {computeWaitMs: watched.leave, handleEnd: watched.finishLate},
		});
		finishRequest();
		if (watched.finish(result)) {
			keepSlot();
		}

		admission.end();
		reportOutcome(call, result, readAwakeMs() - sentAt);
		if (result.type === 'failed' && result.isSent && result.reason !== 'connection-lost') {
			crashWatch.recordAbandoned({id: call.id, fingerprint, scope: call.scope});
		}

		return converter.convert(call.id, fingerprint, result);
	};

	const stopAccepting = (): void => {
		isEnded = true;
		slots.close();
		limiter.close();
		hangWatch.dispose();
		pool.renew();
	};

	return {
		acquire: slots.acquire,
		release() {
			slots.release(undefined);
		},
		async run(call) {
			const startedAt = readAwakeMs();
			const endRun = loadReports.startRun();
			let result: ForwardResult = createNotRun('cancelled', 'request body did not arrive');
			let isSlotKept = false;
			try {
				const body = await (call.bodyMs === undefined ? call.readBody() : drain.waitForBody(call.readBody, call.bodyMs));
				result = body === 'draining'
					? createDrainingFailure(lifetime)
					: await send(call, body, startedAt, () => {
						isSlotKept = true;
					});
			} catch (error) {
				result = createNotRun(error instanceof BodyNotReceivedError ? error.reason : 'cancelled', `request body did not arrive: ${(error as Error).message}`);
			} finally {
				if (!isSlotKept) {
					slots.release(result.type === 'answered' && result.status < 500 ? readAwakeMs() - startedAt : undefined, endRun());
				}
			}

			return result;
		},
		resize: hangWatch.announceSlots,
		suggestLimit: limiter.suggest,
		refuseLimited({callerService, rank, mayWaitMs}) {
			const waitMs = limiter.refuseLate({caller: callerService, rank, mayWaitMs});
			return waitMs === undefined ? undefined : createLimitedFailure(waitMs);
		},
		getLimit: limiter.getLimit,
		getSlotLimit: hangWatch.getSlotLimit,
		getWorksUntil: hangWatch.getLatestDeadline,
		getLoadReport: () => loadReports.getLatest(readSteadyMs()),
		getSlowness: slots.getSlowness,
		describe() {
			return Object.assign(slots.describe(), {
				running: slots.countRunning() + loadReports.countUnknownRequests(readSteadyMs()), failureShare: converter.getFailureShare(), slots: hangWatch.getCapacity(),
			});
		},
		startDraining: drain.start,
		recordCrash: crashWatch.recordCrash,
		retire: stopAccepting,
		end() {
			stopAccepting();
			pool.dispose();
		},
	};
}
