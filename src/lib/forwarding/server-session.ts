/**
 * What the gate holds for one lifetime of the backend server: its slots, the
 * connections to it, and how its answers fared. All of it ends with the
 * lifetime, and nothing of it is handed on to the next one.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {createSlotKeeper, type SlotOutcome, type SlotRequest} from '../admission/slot-keeper.js';
import {readAwakeMs, readSteadyMs} from '../common/clock.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type ServerAnnouncement} from '../local-server/local-server.js';
import {createCrashWatch} from '../quarantine/crash-watch.js';
import {type Quarantine} from '../quarantine/quarantine.js';
import {createRequestMark, type RequestMark} from '../quarantine/request-mark.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {endGraceMs, type CallScope} from './call-scope.js';
import {filterCallHeaders, getText, type WireHeaders} from './call-headers.js';
import {runExchange, type ExchangeResponse, type ExchangeFailure} from './exchange.js';
import {
	createMayHaveRun, createNotRun, type ForwardFailure, type ForwardResult,
} from './forward-result.js';
import {createServerConnectionPool} from './server-connection-pool.js';
import {isRefusingConnections} from './refused-connection.js';
import {createSilentConnections} from './silent-connections.js';

/** A request for the server, which holds a slot. @internal */
export type SessionCall = {
	readonly id: string;
	readonly method: string;
	readonly target: string;
	/** Headers to pass on. */
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	/** Reads the body, once a slot is held. */
	readonly readBody: () => Promise<Uint8Array | undefined>;
	readonly callerService: string;
	readonly scope: CallScope;
};

/** @internal */
export type ServerSessionContext = {
	readonly wire: WireHeaders;
	readonly log: MeshLog;
	/** Connections that the server accepts from this node. */
	readonly maxConnections: number;
	/** The server could not be reached. */
	readonly handleUnreachable: (lifetime: ServerLifetime, reason: string) => void;
	readonly quarantine: Pick<Quarantine, 'judge' | 'settle' | 'admitRun' | 'noteCrash' | 'noteAnswered'>;
	/** Whether the server, or its node, leaves: its end is no crash then. */
	readonly isLeaving: () => boolean;
	/** Another server answered at the address. */
	readonly handleMisdirected: (lifetime: ServerLifetime) => void;
};

/** How busy the server is, and how its answers fared. @internal */
export type SessionLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly serviceMs: number;
	/** Share of the latest requests that failed there, 0 to 1. */
	readonly failureShare: number;
};

/** @internal */
export type ServerSession = {
	/** Asks for a slot, which `run` gives back, or `release`. */
	readonly acquire: (request: SlotRequest) => Promise<SlotOutcome>;
	readonly release: () => void;
	readonly run: (call: SessionCall) => Promise<ForwardResult>;
	readonly resize: (slots: number) => void;
	readonly describe: () => SessionLoad;
	/** It has ended without a word, since another start is there that took its place: what is lost from here on was in work then. A node that lags reads this before it reads the ends of the connections. */
	readonly recordCrash: () => void;
	/** Another server is there. What this one is at work on it may still answer; nothing more is sent to it, and who waits for a slot is told at once. */
	readonly retire: () => void;
	/** The lifetime is over, and what it was at work on lost: it may have run. */
	readonly end: () => void;
};

/** Idle connections to the backend server are closed after this, in milliseconds, if it does not say how long it keeps them: the shortest limit seen is some seconds. */
const idleConnectionMs = 4000;

/** A backend server on the same VM answers a connection in well under a millisecond. */
const connectTimeoutMs = 400;

/** A server that could not be reached is tried again after this, in milliseconds: a restart takes about as long. @internal */
export const unreachableBackoffMs = 500;

/** A server on the same VM takes or refuses a connection in well under a millisecond; the answers of those that wait for this are late by it at the most. Milliseconds. */
const crashProbeTimeoutMs = 100;

/** Requests that the log names when a server crashes: as many as are in work at the largest of the users' servers. */
const maxLoggedSuspectCount = 20;

/** Weight of the newest request in the share of failures: some ten requests make it. */
const failureWeight = 0.1;

/** Time that is taken off what is left when it is passed on, in milliseconds: the grace of the scope, and the way to the server. */
const deadlineMarginMs = endGraceMs + 1;

/** One request more than there are slots is at the server for so many of them. It waits there for as long as an eighth of a request takes, where no rank counts. */
const slotsPerQueuedRequest = 8;

/**
 * Counts the requests that may be at a server at once. A slot that comes free would stand idle while its answer
 * comes to the gate and the next request goes back, some three milliseconds under load; a request that
 * is there already takes it at once.
 *
 * @param slots - Requests that the server works on at once.
 * @returns Requests that may be there.
 * @internal
 */
export const computeConcurrencyLimit = (slots: number): number => slots + Math.floor(slots / slotsPerQueuedRequest);

/** A request that was sent to the server. */
type SentCall = {readonly id: string; readonly fingerprint: RequestMark};

/** One that ended here without an answer: a server that does not drop it works on it until then, in steady milliseconds. */
type AbandonedCall = SentCall & {readonly expiresAt: number};

/** A request that was given up is a suspect for so long at the most. Milliseconds: several times what most requests take. */
const abandonedCallTtlMs = 5000;

/** Requests that were given up which are remembered at the most: several times what is in work at the largest servers of the users. */
const maxAbandonedCallCount = 64;

/**
 * @param call - A request.
 * @param body - Its body.
 * @returns It as the quarantine looks at it.
 * @internal
 */
export const createCallFingerprint = ({method, target, headers}: Pick<SessionCall, 'method' | 'target' | 'headers'>, body: Uint8Array | undefined): RequestMark => createRequestMark({
	method, host: typeof headers.host === 'string' ? headers.host : '', target, body,
});

const sessionEndedFailure = createNotRun('gone', 'the backend server has started again, or another one is there');

/**
 * Opens a session; no connection is made before the first request.
 *
 * @param announcement - What the server said of itself.
 * @param context - What it works with.
 * @returns The session of an idle server.
 * @internal
 */
export function openServerSession(announcement: ServerAnnouncement, context: ServerSessionContext): ServerSession {
	const {wire, log} = context;
	const {lifetime} = announcement;
	const slots = createSlotKeeper(computeConcurrencyLimit(announcement.slots));
	const pool = createServerConnectionPool({
		address: announcement.address, maxConnections: context.maxConnections, idleMs: idleConnectionMs, connectTimeoutMs,
	});
	const halfOpenDetector = createSilentConnections();
	let abandonedCalls: readonly AbandonedCall[] = [];
	let failureShare = 0;
	let isEnded = false;
	let hasCrashed = false;

	const addAbandonedCall = ({id, scope}: SessionCall, fingerprint: RequestMark): void => {
		const expiresAt = Math.min(scope.endsAt, readSteadyMs() + abandonedCallTtlMs);
		abandonedCalls = [...abandonedCalls, {id, fingerprint, expiresAt}].slice(-maxAbandonedCallCount);
	};

	/** What its caller left may be what crashed a server that worked on it all the same. */
	const removeAbandonedCalls = (): readonly SentCall[] => {
		const now = readSteadyMs();
		const current = abandonedCalls.filter(({expiresAt}) => expiresAt > now);
		abandonedCalls = [];
		return current;
	};

	const handleCrash = (lost: readonly SentCall[]): void => {
		const atWork = [...lost, ...removeAbandonedCalls()];
		const logged = atWork.slice(0, maxLoggedSuspectCount);
		log.record('warn', {
			kind: 'server-crashed', server: lifetime.id, atWork: atWork.length,
			suspects: logged.map(({fingerprint}) => fingerprint.getFingerprint()), calls: logged.map(({id}) => id),
		});
		context.quarantine.noteCrash(lifetime, atWork.map(({fingerprint}) => fingerprint));
		context.handleUnreachable(lifetime, 'it crashed');
	};

	const crashWatch = createCrashWatch<SentCall>({
		hasEnded: async () => hasCrashed || (!isEnded && !context.isLeaving() && isRefusingConnections(announcement.address, crashProbeTimeoutMs)),
		handleCrash,
	});

	/** Nothing else may have been in work when it ended. */
	const checkAbandonedCalls = (): void => {
		for (const call of removeAbandonedCalls()) {
			void crashWatch.noteLost(call);
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
	 * A request that was in work when the server crashed goes to no other server of its own accord: one that crashes whatever runs it
	 * took as many servers at once as its route allows attempts. One that was answered elsewhere a moment ago goes on as ever.
	 */
	const convertLostConnection = async ({id}: SessionCall, fingerprint: RequestMark, failure: ExchangeFailure): Promise<ForwardFailure> => {
		const isCrash = await crashWatch.noteLost({id, fingerprint});
		const converted = convertFailure(failure);
		return isCrash && context.quarantine.judge(fingerprint).type !== 'free' ? {...converted, reason: 'server-crashed'} : converted;
	};

	const convertResponse = (response: ExchangeResponse, fingerprint: RequestMark): ForwardResult => {
		if (response.status === 421) {
			// Another server has the address: it is not asked again before it has said who it is.
			context.handleMisdirected(lifetime);
			return {...createNotRun('gone', 'another backend server has the address'), hasArrived: true};
		}

		if (response.headers[wire.notRun] !== undefined) {
			recordOutcome(true);
			return {...createNotRun('shed', `the backend server answered ${response.status} and did not run it`), hasArrived: true};
		}

		if (response.status >= 200 && response.status < 300 && response.headers[wire.signature] === undefined) {
			recordOutcome(true);
			return createMayHaveRun('wrong-answer', 'a success without the signature of a backend server');
		}

		const hasFailed = response.status >= 500;
		recordOutcome(hasFailed);
		// A failure says nothing for a request: a server may give up on one, or a call of its may fail, before it comes to what crashes it.
		if (!hasFailed) {
			context.quarantine.noteAnswered(fingerprint);
		}

		return {
			type: 'answered', status: response.status, headers: filterCallHeaders(response.headers), body: response.body,
		};
	};

	const createOwnResponseCheck = (call: SessionCall) => (headers: IncomingHttpHeaders, status: number): boolean => {
		const id = getText(headers, wire.callId);
		const isRefusal = headers[wire.notRun] !== undefined || status === 421;
		return id === call.id || (id === undefined && isRefusal);
	};

	const send = async (call: SessionCall, body: Uint8Array | undefined): Promise<ForwardResult> => {
		const fingerprint = createCallFingerprint(call, body);
		const settled = context.quarantine.settle(fingerprint);
		if (settled !== undefined) {
			await settled;
		}

		const now = readSteadyMs();
		const leftMs = Math.floor(call.scope.endsAt - now - deadlineMarginMs);
		const ended = call.scope.getEnd();
		if (ended !== undefined || leftMs <= 0) {
			return createNotRun(ended ?? 'timeout', 'its time was over before it could be sent');
		}

		if (isEnded) {
			return sessionEndedFailure;
		}

		if (halfOpenDetector.areDoubtful(slots.describe().serviceMs, now)) {
			pool.renew();
			log.record('info', {kind: 'connections-renewed', server: lifetime.id, reason: 'a request has waited for far longer than requests take'});
		}

		const admission = context.quarantine.admitRun(fingerprint);
		if (admission.type === 'refused') {
			return createNotRun('quarantined', admission.detail, admission.retryAfterMs);
		}

		const finishRequest = halfOpenDetector.begin(now);
		const result = await runExchange({
			pool, id: call.id, method: call.method, target: call.target, body, scope: call.scope,
			headers: {
				...call.headers as Record<string, string | string[]>,
				[wire.callId]: call.id,
				[wire.timeLeft]: String(leftMs),
				[wire.expectedServer]: lifetime.id,
				[wire.callerService]: call.callerService,
				...body === undefined ? {} : {'content-length': String(body.length)},
			},
			isOwnResponse: createOwnResponseCheck(call),
			readCallId: headers => getText(headers, wire.callId),
		});
		finishRequest();
		admission.end();
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
		slots.end();
		pool.renew();
	};

	return {
		acquire: slots.acquire,
		release() {
			slots.release(undefined);
		},
		async run(call) {
			const startedAt = readAwakeMs();
			let result: ForwardResult = createNotRun('cancelled', 'the body did not arrive');
			try {
				const body = await call.readBody();
				result = await send(call, body);
			} catch (error) {
				result = createNotRun('cancelled', `the body did not arrive: ${(error as Error).message}`);
			} finally {
				slots.release(result.type === 'answered' && result.status < 500 ? readAwakeMs() - startedAt : undefined);
			}

			return result;
		},
		resize(count) {
			slots.resize(computeConcurrencyLimit(count));
		},
		describe: () => ({...slots.describe(), failureShare}),
		recordCrash() {
			hasCrashed = true;
			crashWatch.noteReplaced();
			checkAbandonedCalls();
		},
		retire: stopAccepting,
		end() {
			stopAccepting();
			pool.dispose();
		},
	};
}
