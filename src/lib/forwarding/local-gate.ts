/**
 * The gate before the backend server beside this node: the only way to it.
 * Because every request passes here, the number in work is exact, and what is
 * turned away here has certainly not run.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {createSlotKeeper, type SlotOutcome, type SlotRequest} from '../admission/slot-keeper.js';
import {readSteadyMs} from '../common/clock.js';
import {type BackendServerId} from '../common/ids.js';
import {
	acceptAnnouncement, acceptLeave, doubtServer, forgetServer, noLocalServer,
	type LocalServer, type LocalServerState, type ServerAnnouncement, type ServerStep,
} from '../local-server/local-server.js';
import {type ServerReport, type ServerState} from '../peers/peer-report.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {endGraceMs, type CallScope} from './call-scope.js';
import {filterCallHeaders, getText, type WireHeaders} from './call-headers.js';
import {runExchange, type ExchangeAnswer, type ExchangeFailure} from './exchange.js';
import {
	createMayHaveRun, createNotRun, type ForwardFailure, type ForwardResult, type GateLoad, type GateResult,
} from './forward-result.js';
import {createServerConnections, type ServerConnections} from './server-connections.js';
import {createSilentConnections} from './silent-connections.js';
import {createTransferLimit} from './transfer-limit.js';

/** A request at the gate. @internal */
export type GateCall = {
	readonly id: string;
	/** Which backend server the sender means. */
	readonly server: BackendServerId;
	readonly method: string;
	readonly target: string;
	/** Headers to pass on. */
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	/** Reads the body, once a slot is held. */
	readonly readBody: () => Promise<Uint8Array | undefined>;
	readonly callerService: string;
	/** 0 goes first. */
	readonly rank: number;
	/** Milliseconds that it may wait for a slot. */
	readonly mayWaitMs: number;
	/** Its body is large and comes from another VM. */
	readonly isTransfer: boolean;
	readonly scope: CallScope;
};

/** @internal */
export type LocalGateContext = {
	readonly wire: WireHeaders;
	readonly log: MeshLog;
	/** Told whenever the other nodes should hear of a change at once. */
	readonly handleChange: () => void;
	/** Connections that the backend server accepts from this node. */
	readonly getMaxConnections: (service: string) => number;
	readonly isLeaving: () => boolean;
	/** Megabits a second of this VM's link. */
	readonly linkMbps: number;
};

/** @internal */
export type LocalGate = {
	readonly run: (call: GateCall) => Promise<GateResult>;
	readonly announce: (announcement: ServerAnnouncement) => void;
	/** The server leaves; from here on it gets no new work. */
	readonly leave: (id: BackendServerId) => void;
	readonly describe: () => ServerReport | undefined;
	readonly countRequests: () => number;
	readonly dispose: () => void;
};

/** Idle connections to the backend server are closed after this, in milliseconds, if it does not say how long it keeps them: the shortest limit seen is some seconds. */
const idleConnectionMs = 4000;

/** A backend server on the same VM answers a connection in well under a millisecond. */
const connectMs = 400;

/** A server that could not be reached is tried again after this, in milliseconds: a restart takes about as long. */
const doubtMs = 500;

/** A server that has been silent for this many milliseconds is named in the log; it goes on being used while it answers. */
const silentMs = 8000;

/** Weight of the newest request in the share of failures: some ten requests make it. */
const failureWeight = 0.1;

/** Time that is taken off what is left when it is passed on, in milliseconds: the grace of the scope, and the way to the server. */
const passOnMs = endGraceMs + 1;

/** A refusal leaves this long before the time is over, in milliseconds, so that it arrives as one. */
const lastRefusalMs = 40;

/** One request more than there are slots is at the server for so many of them. It waits there for as long as an eighth of a request takes, where no rank counts. */
const slotsPerRequestAhead = 8;

/**
 * Counts the requests that may be at a server at once. A slot that comes free would stand idle while its answer
 * comes to the gate and the next request goes back, some three milliseconds under load; a request that
 * is there already takes it at once. Under overload, with 13 slots, 1.02 times as much of the credit is earned (0.753 to 0.741, one day).
 */
const countPlaces = (slots: number): number => slots + Math.floor(slots / slotsPerRequestAhead);

/**
 * Creates the gate; it turns everything away until a server announces itself.
 *
 * @param context - What it works with.
 * @returns The gate.
 * @internal
 */
export function createLocalGate(context: LocalGateContext): LocalGate {
	const {wire, log, handleChange} = context;
	let state: LocalServerState = noLocalServer;
	const slots = createSlotKeeper();
	const transfers = createTransferLimit(context.linkMbps);
	const connections = createSilentConnections();
	let lines: ServerConnections | undefined;
	let failureShare = 0;
	let isSilent = false;

	const getLoad = (arrivedAt: number): GateLoad => ({
		...slots.describe(), tookMs: readSteadyMs() - arrivedAt,
	});

	const replaceServer = ({announcement}: LocalServer): void => {
		lines?.dispose();
		lines = createServerConnections({
			address: announcement.address, maxConnections: context.getMaxConnections(announcement.service), idleMs: idleConnectionMs, connectMs,
		});
		slots.restart(countPlaces(announcement.slots));
		failureShare = 0;
		log.record('info', {
			kind: 'server-announced', server: announcement.id, service: announcement.service, slots: announcement.slots, coldMs: announcement.coldMs,
		});
	};

	const apply = (step: ServerStep, how: string): void => {
		const before = state.current?.announcement.id;
		state = step.state;
		const {current} = state;
		if (current === undefined) {
			return;
		}

		isSilent = false;
		if (before !== current.announcement.id) {
			replaceServer(current);
		}

		if (step.news === 'draining') {
			log.record('info', {kind: 'server-draining', server: current.announcement.id, how});
		}

		if (step.news === 'changed') {
			slots.resize(countPlaces(current.announcement.slots));
		}

		if (step.news !== 'none') {
			handleChange();
		}
	};

	const noteOutcome = (hasFailed: boolean): void => {
		failureShare = (failureShare * (1 - failureWeight)) + (hasFailed ? failureWeight : 0);
	};

	const doubt = (reason: string): void => {
		state = doubtServer(state, readSteadyMs() + doubtMs);
		log.record('warn', {kind: 'server-doubted', server: state.current?.announcement.id ?? '', reason});
		handleChange();
	};

	const judgeFailure = (failure: ExchangeFailure): ForwardFailure => {
		switch (failure.reason) {
			case 'unreachable': {
				doubt(failure.detail);
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

	const judgeAnswer = (answer: ExchangeAnswer, server: BackendServerId): ForwardResult => {
		if (answer.status === 421) {
			// Another server has the address: it is not asked again before it has said who it is.
			state = forgetServer(state, server);
			handleChange();
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

		noteOutcome(answer.status >= 500);
		return {
			type: 'answered', status: answer.status, headers: filterCallHeaders(answer.headers), body: answer.body,
		};
	};

	const createOwnAnswerCheck = (call: GateCall) => (headers: IncomingHttpHeaders, status: number): boolean => {
		const id = getText(headers, wire.callId);
		const isRefusal = headers[wire.notRun] !== undefined || status === 421;
		return id === call.id || (id === undefined && isRefusal);
	};

	const send = async (call: GateCall, server: LocalServer, body: Uint8Array | undefined): Promise<ForwardResult> => {
		const {announcement} = server;
		const leftMs = Math.floor(call.scope.endsAt - readSteadyMs() - passOnMs);
		const ended = call.scope.getEnd();
		if (lines === undefined || ended !== undefined || leftMs <= 0) {
			return createNotRun(ended ?? 'timeout', 'its time was over before it could be sent');
		}

		const now = readSteadyMs();
		if (connections.areDoubtful(slots.describe().serviceMs, now)) {
			lines.renew();
			log.record('info', {kind: 'connections-renewed', server: announcement.id, reason: 'a request has waited for far longer than requests take'});
		}

		const handleEnd = connections.begin(now);
		const answer = await runExchange({
			connections: lines, method: call.method, target: call.target, body, scope: call.scope,
			headers: {
				...call.headers as Record<string, string | string[]>,
				[wire.callId]: call.id,
				[wire.timeLeft]: String(leftMs),
				[wire.expectedServer]: announcement.id,
				[wire.callerService]: call.callerService,
				...body === undefined ? {} : {'content-length': String(body.length)},
			},
			isOwnAnswer: createOwnAnswerCheck(call),
		});
		handleEnd();
		return answer.type === 'failed' ? judgeFailure(answer) : judgeAnswer(answer, announcement.id);
	};

	const runWithSlot = async (call: GateCall, server: LocalServer): Promise<ForwardResult> => {
		const startedAt = readSteadyMs();
		let result: ForwardResult = createNotRun('cancelled', 'the body did not arrive');
		try {
			const body = await call.readBody();
			result = await send(call, server, body);
		} catch (error) {
			result = createNotRun('cancelled', `the body did not arrive: ${(error as Error).message}`);
		} finally {
			slots.release(result.type === 'answered' && result.status < 500 ? readSteadyMs() - startedAt : undefined);
		}

		return result;
	};

	const findServer = (call: GateCall): LocalServer | ForwardFailure => {
		const {current} = state;
		if (current?.announcement.id !== call.server) {
			return createNotRun('gone', `${call.server} is not beside this node`);
		}

		if (current.isLeaving || context.isLeaving()) {
			return createNotRun('draining', `${call.server} takes no new work`);
		}

		if (current.doubtedUntil > readSteadyMs()) {
			return createNotRun('server-unreachable', `${call.server} could not be reached a moment ago`, doubtMs);
		}

		return current;
	};

	const refuse = (call: GateCall, failure: ForwardFailure): ForwardFailure => {
		const {running, waiting, serviceMs} = slots.describe();
		log.record('info', {
			kind: 'gate-refused', call: call.id, server: call.server, reason: failure.reason, rank: call.rank,
			running, waiting, serviceMs: Math.round(serviceMs), mayWaitMs: Math.round(call.mayWaitMs),
		});
		return failure;
	};

	const describeWait = ({rank, mayWaitMs, scope}: GateCall): SlotRequest => ({
		rank, mayWaitMs, lastAt: scope.endsAt - lastRefusalMs, listenForEnd: scope.subscribe,
	});

	const refuseWait = (call: GateCall, outcome: Exclude<SlotOutcome, {readonly type: 'run'}>, reason: string): ForwardFailure => outcome.type === 'full'
		? refuse(call, createNotRun('full', reason, outcome.retryAfterMs))
		: createNotRun(call.scope.getEnd() ?? 'cancelled', 'the caller has gone');

	/** Has a call wait for the link first if its body is large, so that no slot is held for bodies that wait. */
	const admitTransfer = async (call: GateCall): Promise<ForwardResult> => {
		const server = findServer(call);
		if ('type' in server) {
			return refuse(call, server);
		}

		const transfer = await transfers.acquire(describeWait(call));
		if ('type' in transfer) {
			return refuseWait(call, transfer, 'the link carries as many large bodies as it can');
		}

		const readBody = async (): Promise<Uint8Array | undefined> => {
			const body = await call.readBody();
			transfer.end(true);
			return body;
		};

		try {
			return await admitAndRun({...call, readBody});
		} finally {
			transfer.end(false);
		}
	};

	const admitAndRun = async (call: GateCall): Promise<ForwardResult> => {
		const server = findServer(call);
		if ('type' in server) {
			return refuse(call, server);
		}

		const slot = await slots.acquire(describeWait(call));
		if (slot.type !== 'run') {
			return refuseWait(call, slot, slot.type === 'full' ? slot.reason : '');
		}

		// It may have begun to leave while the request waited.
		const still = findServer(call);
		if ('type' in still) {
			slots.release(undefined);
			return refuse(call, still);
		}

		return runWithSlot(call, still);
	};

	const getServerState = (server: LocalServer): ServerState => {
		if (server.isLeaving) {
			return 'draining';
		}

		return server.doubtedUntil > readSteadyMs() ? 'down' : 'ready';
	};

	const noteSilence = ({announcement, heardAt}: LocalServer): void => {
		const heardMsAgo = readSteadyMs() - heardAt;
		if (heardMsAgo > silentMs && !isSilent) {
			isSilent = true;
			log.record('warn', {kind: 'server-silent', server: announcement.id, heardMsAgo: Math.round(heardMsAgo)});
		}
	};

	return {
		async run(call) {
			const arrivedAt = readSteadyMs();
			const result = await (call.isTransfer ? admitTransfer(call) : admitAndRun(call));
			return {result, load: getLoad(arrivedAt)};
		},
		announce(announcement) {
			apply(acceptAnnouncement(state, announcement, readSteadyMs()), 'it said that it drains');
		},
		leave(id) {
			apply(acceptLeave(state, id), 'it said that it leaves');
		},
		describe() {
			const {current} = state;
			if (current === undefined) {
				return undefined;
			}

			noteSilence(current);
			const {announcement, heardAt} = current;
			return {
				id: announcement.id,
				service: announcement.service,
				slots: countPlaces(announcement.slots),
				state: getServerState(current),
				coldMs: Math.max(0, announcement.coldMs - (readSteadyMs() - heardAt)),
				...slots.describe(),
				failureShare,
			};
		},
		countRequests() {
			const {running, waiting} = slots.describe();
			return running + waiting;
		},
		dispose() {
			lines?.dispose();
		},
	};
}
