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
import {deadlineGraceMs, type CallScope} from './call-scope.js';
import {removeHopByHopHeaders, getStringHeader, type CallHeaderNames} from './call-headers.js';
import {runExchange, type ExchangeAnswer, type ExchangeFailure} from './exchange.js';
import {
	createMayHaveRun, createNotRun, type ForwardFailure, type ForwardResult,
} from './forward-result.js';
import {createServerConnections} from './server-connections.js';
import {isRefusingConnections} from './refused-connection.js';
import {createHalfOpenDetector} from './half-open-detector.js';

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
	readonly wire: CallHeaderNames;
	readonly log: MeshLog;
	/** Connections that the server accepts from this node. */
	readonly maxConnections: number;
	/** The server could not be reached. */
	readonly handleUnreachable: (lifetime: ServerLifetime, reason: string) => void;
	readonly quarantine: Pick<Quarantine, 'judge' | 'settle' | 'admitRun' | 'noteCrash' | 'noteAnswered'>;
	/** Whether the server, or its node, leaves: its end is no crash then. */
	readonly isLeaving: () => boolean;
	/** Another server answered at the address. */
	readonly handleStranger: (lifetime: ServerLifetime) => void;
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
	readonly noteCrashed: () => void;
	/** Another server is there. What this one is at work on it may still answer; nothing more is sent to it, and who waits for a slot is told at once. */
	readonly retire: () => void;
	/** The lifetime is over, and what it was at work on lost: it may have run. */
	readonly end: () => void;
};

/** Idle connections to the backend server are closed after this, in milliseconds, if it does not say how long it keeps them: the shortest limit seen is some seconds. */
const idleConnectionMs = 4000;

/** A backend server on the same VM answers a connection in well under a millisecond. */
const connectMs = 400;

/** A server that could not be reached is tried again after this, in milliseconds: a restart takes about as long. @internal */
export const doubtMs = 500;

/** A server on the same VM takes or refuses a connection in well under a millisecond; the answers of those that wait for this are late by it at the most. Milliseconds. */
const askMs = 100;

/** Requests that the log names when a server crashes: as many as are in work at the largest of the users' servers. */
const namedSuspects = 20;

/** Weight of the newest request in the share of failures: some ten requests make it. */
const failureWeight = 0.1;

/** Time that is taken off what is left when it is passed on, in milliseconds: the grace of the scope, and the way to the server. */
const passOnMs = deadlineGraceMs + 1;

/** One request more than there are slots is at the server for so many of them. It waits there for as long as an eighth of a request takes, where no rank counts. */
const slotsPerRequestAhead = 8;

/**
 * Counts the requests that may be at a server at once. A slot that comes free would stand idle while its answer
 * comes to the gate and the next request goes back, some three milliseconds under load; a request that
 * is there already takes it at once.
 *
 * @param slots - Requests that the server works on at once.
 * @returns Requests that may be there.
 * @internal
 */
export const countPlaces = (slots: number): number => slots + Math.floor(slots / slotsPerRequestAhead);

/** A request that was sent to the server. */
type SentCall = {readonly id: string; readonly mark: RequestMark};

/** One that ended here without an answer: a server that does not drop it works on it until then, in steady milliseconds. */
type GivenUpCall = SentCall & {readonly until: number};

/** A request that was given up is a suspect for so long at the most. Milliseconds: several times what most requests take. */
const givenUpMs = 5000;

/** Requests that were given up which are remembered at the most: several times what is in work at the largest servers of the users. */
const mostGivenUp = 64;

/**
 * @param call - A request.
 * @param body - Its body.
 * @returns It as the quarantine looks at it.
 * @internal
 */
export const createCallMark = ({method, target, headers}: Pick<SessionCall, 'method' | 'target' | 'headers'>, body: Uint8Array | undefined): RequestMark => createRequestMark({
	method, host: typeof headers.host === 'string' ? headers.host : '', target, body,
});

const endedFailure = createNotRun('gone', 'the backend server has started again, or another one is there');

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
	const slots = createSlotKeeper(countPlaces(announcement.slots));
	const connections = createServerConnections({
		address: announcement.address, maxConnections: context.maxConnections, idleMs: idleConnectionMs, connectMs,
	});
	const silence = createHalfOpenDetector();
	let givenUp: readonly GivenUpCall[] = [];
	let failureShare = 0;
	let isEnded = false;
	let hasCrashed = false;

	const keepGivenUp = ({id, scope}: SessionCall, mark: RequestMark): void => {
		const until = Math.min(scope.deadlineAt, readSteadyMs() + givenUpMs);
		givenUp = [...givenUp, {id, mark, until}].slice(-mostGivenUp);
	};

	/** What its caller left may be what crashed a server that worked on it all the same. */
	const takeGivenUp = (): readonly SentCall[] => {
		const now = readSteadyMs();
		const current = givenUp.filter(({until}) => until > now);
		givenUp = [];
		return current;
	};

	const handleCrash = (lost: readonly SentCall[]): void => {
		const atWork = [...lost, ...takeGivenUp()];
		const named = atWork.slice(0, namedSuspects);
		log.record('warn', {
			kind: 'server-crashed', server: lifetime.id, atWork: atWork.length,
			suspects: named.map(({mark}) => mark.getFingerprint()), calls: named.map(({id}) => id),
		});
		context.quarantine.noteCrash(lifetime, atWork.map(({mark}) => mark));
		context.handleUnreachable(lifetime, 'it crashed');
	};

	const crashWatch = createCrashWatch<SentCall>({
		hasEnded: async () => hasCrashed || (!isEnded && !context.isLeaving() && isRefusingConnections(announcement.address, askMs)),
		handleCrash,
	});

	/** Nothing else may have been in work when it ended. */
	const checkGivenUp = (): void => {
		for (const call of takeGivenUp()) {
			void crashWatch.noteLost(call);
		}
	};

	const noteOutcome = (hasFailed: boolean): void => {
		failureShare = (failureShare * (1 - failureWeight)) + (hasFailed ? failureWeight : 0);
	};

	const judgeFailure = (failure: ExchangeFailure): ForwardFailure => {
		if (isEnded && !failure.isSent) {
			return endedFailure;
		}

		switch (failure.reason) {
			case 'unreachable': {
				checkGivenUp();
				context.handleUnreachable(lifetime, failure.detail);
				return createNotRun('server-unreachable', failure.detail, doubtMs);
			}

			case 'connection-lost':
			case 'wrong-answer': {
				noteOutcome(true);
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
	const judgeLost = async ({id}: SessionCall, mark: RequestMark, failure: ExchangeFailure): Promise<ForwardFailure> => {
		const isCrash = await crashWatch.noteLost({id, mark});
		const judged = judgeFailure(failure);
		return isCrash && context.quarantine.judge(mark).type !== 'free' ? {...judged, reason: 'server-crashed'} : judged;
	};

	const judgeAnswer = (answer: ExchangeAnswer, mark: RequestMark): ForwardResult => {
		if (answer.status === 421) {
			// Another server has the address: it is not asked again before it has said who it is.
			context.handleStranger(lifetime);
			return {...createNotRun('gone', 'another backend server has the address'), hasArrived: true};
		}

		if (answer.headers[wire.notRun] !== undefined) {
			noteOutcome(true);
			return {...createNotRun('shed', `the backend server answered ${answer.status} and did not run it`), hasArrived: true};
		}

		if (answer.status >= 200 && answer.status < 300 && answer.headers[wire.signature] === undefined) {
			noteOutcome(true);
			return createMayHaveRun('wrong-answer', 'a success without the signature of a backend server');
		}

		const hasFailed = answer.status >= 500;
		noteOutcome(hasFailed);
		// A failure says nothing for a request: a server may give up on one, or a call of its may fail, before it comes to what crashes it.
		if (!hasFailed) {
			context.quarantine.noteAnswered(mark);
		}

		return {
			type: 'answered', status: answer.status, headers: removeHopByHopHeaders(answer.headers), body: answer.body,
		};
	};

	const createOwnAnswerCheck = (call: SessionCall) => (headers: IncomingHttpHeaders, status: number): boolean => {
		const id = getStringHeader(headers, wire.callId);
		const isRefusal = headers[wire.notRun] !== undefined || status === 421;
		return id === call.id || (id === undefined && isRefusal);
	};

	const send = async (call: SessionCall, body: Uint8Array | undefined): Promise<ForwardResult> => {
		const mark = createCallMark(call, body);
		const settled = context.quarantine.settle(mark);
		if (settled !== undefined) {
			await settled;
		}

		const now = readSteadyMs();
		const leftMs = Math.floor(call.scope.deadlineAt - now - passOnMs);
		const ended = call.scope.getEndReason();
		if (ended !== undefined || leftMs <= 0) {
			return createNotRun(ended ?? 'timeout', 'its time was over before it could be sent');
		}

		if (isEnded) {
			return endedFailure;
		}

		if (silence.areSuspected(slots.describe().serviceMs, now)) {
			connections.renew();
			log.record('info', {kind: 'connections-renewed', server: lifetime.id, reason: 'a request has waited for far longer than requests take'});
		}

		const admission = context.quarantine.admitRun(mark);
		if (admission.type === 'refused') {
			return createNotRun('quarantined', admission.detail, admission.retryAfterMs);
		}

		const handleEnd = silence.recordRequest(now);
		const answer = await runExchange({
			connections, id: call.id, method: call.method, target: call.target, body, scope: call.scope,
			headers: {
				...call.headers as Record<string, string | string[]>,
				[wire.callId]: call.id,
				[wire.timeLeft]: String(leftMs),
				[wire.expectedServer]: lifetime.id,
				[wire.callerService]: call.callerService,
				...body === undefined ? {} : {'content-length': String(body.length)},
			},
			isOwnAnswer: createOwnAnswerCheck(call),
			readCallId: headers => getStringHeader(headers, wire.callId),
		});
		handleEnd();
		admission.end();
		if (answer.type === 'failed' && answer.isSent && answer.reason !== 'connection-lost' && answer.reason !== 'wrong-answer') {
			keepGivenUp(call, mark);
		}

		if (answer.type === 'failed') {
			return answer.reason === 'connection-lost' ? judgeLost(call, mark, answer) : judgeFailure(answer);
		}

		return judgeAnswer(answer, mark);
	};

	const stopTaking = (): void => {
		isEnded = true;
		slots.end();
		connections.renew();
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
			slots.resize(countPlaces(count));
		},
		describe: () => ({...slots.describe(), failureShare}),
		noteCrashed() {
			hasCrashed = true;
			crashWatch.noteReplaced();
			checkGivenUp();
		},
		retire: stopTaking,
		end() {
			stopTaking();
			connections.dispose();
		},
	};
}
