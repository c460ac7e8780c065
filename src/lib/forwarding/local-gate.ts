/**
 * The gate: admission control for the backend server beside this node. Every request
 * to that server passes the gate, so its count of running requests is exact, and a
 * request that it refuses has certainly not been executed.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {type SlotOutcome, type SlotRequest} from '../admission/slot-pool.js';
import {readSteadyMs} from '../common/clock.js';
import {type BackendServerId} from '../common/ids.js';
import {isSameLifetime} from '../common/server-lifetime.js';
import {
	acceptAnnouncement, acceptLeave, noteServerUnreachable, forgetServer, isAmbiguousLeave,
} from '../local-server/local-server-updates.js';
import {type AnnouncementRefusal} from '../local-server/announcement-refusal.js';
import {
	noLocalServer, type LocalServer, type LocalServerState, type ServerAnnouncement, type ServerLeave, type ServerTransition,
} from '../local-server/local-server.js';
import {type FullCause} from '../decisions/slot-queue.js';
import {createLinkDemand} from '../decisions/link-demand.js';
import {describeRefusal as describeQuarantine, type Quarantine} from '../quarantine/quarantine.js';
import {type GateRollouts} from '../rollout/rollouts.js';
import {type ServerReport, type ServerState} from '../peers/peer-report.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {type CallHeaderNames} from './call-headers.js';
import {
	createNotRun, type ForwardFailure, type ForwardResult, type GateLoad, type GateResult,
} from './forward-result.js';
import {
	computeConcurrencyLimit, createCallFingerprint, unreachableBackoffMs, openServerSession, type ServerSession, type ServerSessionContext, type SessionCall,
} from './server-session.js';
import {createUploadLimit} from './upload-limit.js';

/** A request at the gate. @internal */
export type GateCall = SessionCall & {
	/** Backend server that the sender chose. Any lifetime of this server may execute the request, since the request has not been sent to an earlier lifetime. */
	readonly server: BackendServerId;
	/** Limit of the server that the sender knows, in requests per second; `undefined` if it knows of none. */
	readonly limitPerSecond?: number | undefined;
	/** Whether the request has a body, which is read once it holds a slot. */
	readonly hasBody: boolean;
	/** Whether the body is large and comes from another VM. */
	readonly isLargeUpload: boolean;
	/** Whether the sender counts the request as one that may go to a version under test. */
	readonly isCounted: boolean;
	/** Maximum expected wait of the response for the link, in milliseconds; `undefined` unless the response is large and goes to another VM. */
	readonly answerMayWaitMs?: number | undefined;
};

/** @internal */
export type LocalGateContext = {
	readonly headerNames: CallHeaderNames;
	readonly log: MeshLog;
	readonly refusals: Pick<RefusalLog, 'record'>;
	/** Called when a change should be announced to the other nodes immediately. */
	readonly handleChange: () => void;
	/** Returns the maximum number of connections that the backend server accepts from this node. */
	readonly getMaxConnections: (service: string) => number;
	readonly isLeaving: () => boolean;
	readonly quarantine: ServerSessionContext['quarantine'] & Pick<Quarantine, 'countSuspects'>;
	readonly rollouts: GateRollouts;
	readonly countLimited: ServerSessionContext['countLimited'];
	/** Returns the name of the route of a request; `undefined` if none matches. */
	readonly findRouteName: (host: string, target: string) => string | undefined;
	/** Bandwidth of this VM's link, in megabits per second. */
	readonly linkMbps: number;
	/** Returns the response bytes queued for the link. */
	readonly countQueuedBytes: () => number;
};

/** @internal */
export type LocalGate = {
	readonly run: (call: GateCall) => Promise<GateResult>;
	readonly announce: (announcement: ServerAnnouncement) => void;
	/** Handles a leave of the server, which gets no new requests from then on. Returns a refusal if the leave may be a late message of an earlier lifetime. */
	readonly leave: (leave: ServerLeave) => Result<undefined, AnnouncementRefusal>;
	readonly describe: () => ServerReport | undefined;
	readonly countRequests: () => number;
	/** Returns the requests per second that the server takes; `undefined` if it names no limit, or if there is no server. */
	readonly getLimit: () => number | undefined;
	readonly dispose: () => void;
};

/** Time without an announcement after which a warning is logged. The server stays in use while it responds to requests. */
const silenceWarningMs = 8000;

/** How long before the deadline a waiting request is refused, so that the refusal arrives before the caller times out. */
const refusalMarginMs = 40;

/** Computes how much longer a server is slow after its start, in milliseconds. */
const computeColdMs = ({announcement, heardAt}: LocalServer): number => Math.max(0, announcement.coldMs - (readSteadyMs() - heardAt));

/**
 * Creates the gate. It refuses every request until a server announces itself.
 *
 * @param context - The dependencies of the gate.
 * @returns The gate.
 * @internal
 */
export function createLocalGate(context: LocalGateContext): LocalGate {
	const {headerNames, log, handleChange, quarantine, rollouts} = context;
	let state: LocalServerState = noLocalServer;
	let session: ServerSession | undefined;
	/** The server of the session, kept after the state has forgotten that server. */
	let sessionServer: LocalServer | undefined;
	/** Sessions of servers with other ids that may still have running requests. */
	let retiredSessions: readonly ServerSession[] = [];
	const uploadLimit = createUploadLimit(context.linkMbps);
	const linkDemand = createLinkDemand(context.linkMbps);
	let requests = 0;
	let isSilent = false;

	const getLoad = (arrivedAt: number): GateLoad | undefined => {
		if (session === undefined) {
			return undefined;
		}

		const {running, waiting, serviceMs, leastUrgent, waitingByPriority} = session.describe();
		return {
			running, waiting, serviceMs, tookMs: readSteadyMs() - arrivedAt, leastUrgent, waitingByPriority,
		};
	};

	/**
	 * Closes the session of a replaced server. A server that restarted has lost its running requests. A server with another id may still finish its running
	 * requests: it may have left in order, or the announcement of the new server was a late message.
	 */
	const closeSession = (closed: ServerSession, before: LocalServer, next: LocalServer): void => {
		const hasSameId = before.announcement.lifetime.id === next.announcement.lifetime.id;
		if (!before.isLeaving && (hasSameId || before.announcement.address === next.announcement.address)) {
			closed.recordCrash();
		}

		if (hasSameId) {
			closed.end();
			return;
		}

		closed.retire();
		retiredSessions = [...retiredSessions.filter(retired => retired.describe().running > 0), closed];
	};

	/** Counts an outcome during a rollout of the service. */
	const recordOutcome = (server: Pick<ServerReport, 'service' | 'lifetime'>, {headers, target}: SessionCall, hasFailed: boolean, tookMs: number): void => {
		const {current} = state;
		if (session === undefined || current === undefined || !rollouts.isCounting(server.service)) {
			return;
		}

		const route = context.findRouteName(typeof headers.host === 'string' ? headers.host : '', target);
		if (route !== undefined) {
			rollouts.recordOutcome(server, {
				route, hasFailed, tookMs, isCold: computeColdMs(current) > 0, isFullyLoaded: session.describe().running >= current.announcement.slots,
			});
		}
	};

	const openSession = ({announcement}: LocalServer): ServerSession => {
		const {lifetime, service, version, slots, coldMs} = announcement;
		log.record('info', {
			kind: 'server-announced', server: lifetime.id, startedAt: lifetime.startedAt, service, version, slots, coldMs,
		});
		return openServerSession(announcement, {
			headerNames,
			log,
			refusals: context.refusals,
			maxConnections: context.getMaxConnections(service),
			quarantine,
			isLeaving: () => context.isLeaving() || (state.current?.isLeaving ?? false),
			handleOutcome(call, hasFailed, tookMs) {
				recordOutcome({lifetime, service}, call, hasFailed, tookMs);
			},
			handleUnreachable(contacted, reason) {
				state = noteServerUnreachable(state, contacted, readSteadyMs() + unreachableBackoffMs);
				log.record('warn', {kind: 'server-doubted', server: contacted.id, reason});
				handleChange();
			},
			countLimited: context.countLimited,
			handleLeaving(contacted) {
				applyStep(acceptLeave(state, contacted, readSteadyMs()), 'server said in a response that it leaves');
			},
			handleMisdirected(contacted) {
				state = forgetServer(state, contacted, readSteadyMs());
				handleChange();
			},
		});
	};

	const applyStep = (step: ServerTransition, how: string): void => {
		const before = state.current;
		state = step.state;
		const {current} = state;
		if (current === undefined) {
			return;
		}

		isSilent = false;
		if (before === undefined || !isSameLifetime(before.announcement.lifetime, current.announcement.lifetime)) {
			if (session !== undefined && sessionServer !== undefined) {
				closeSession(session, sessionServer, current);
			}

			session = openSession(current);
		}

		sessionServer = current;

		if (step.change === 'draining') {
			log.record('info', {kind: 'server-draining', server: current.announcement.lifetime.id, how});
		}

		if (step.change === 'changed') {
			session?.resize(current.announcement.slots);
		}

		if (step.change !== 'none') {
			handleChange();
		}
	};

	/** Returns the session for a call, or the reason why its server does not take it. */
	const findSession = (call: GateCall): ServerSession | ForwardFailure => {
		const {current} = state;
		if (session === undefined || current?.announcement.lifetime.id !== call.server) {
			return createNotRun('gone', `backend server ${call.server} does not run beside this node`);
		}

		if (current.isLeaving || context.isLeaving()) {
			return createNotRun('draining', `backend server ${call.server} is draining and accepts no new requests`);
		}

		const admission = rollouts.admit(current.announcement, call.isCounted);
		if (admission.type !== 'admitted') {
			return createNotRun('version-withheld', admission.detail);
		}

		if (current.avoidUntil > readSteadyMs()) {
			return createNotRun('server-unreachable', `backend server ${call.server} refused or timed out a recent connection`, unreachableBackoffMs);
		}

		return session.refuseLimited(call) ?? session;
	};

	const refuse = (call: GateCall, failure: ForwardFailure, cause?: FullCause): ForwardFailure => {
		const {running = 0, waiting = 0, serviceMs = 0} = session?.describe() ?? {};
		log.record('info', {
			kind: 'gate-refused', call: call.id, server: call.server, reason: failure.reason, rank: call.rank,
			running, waiting, serviceMs: Math.round(serviceMs), mayWaitMs: Math.round(call.mayWaitMs),
			...failure.reason === 'limited' ? {limitPerSecond: session?.getLimit(), caller: call.callerService} : {},
			...cause === undefined ? {} : {fullCause: cause},
			...call.workspace === undefined ? {} : {workspace: call.workspace},
		});
		return failure;
	};

	const createSlotRequest = ({rank, mayWaitMs, scope, workspace}: GateCall): SlotRequest => ({
		rank, mayWaitMs, workspace, lastAt: scope.deadlineAt - refusalMarginMs, listenForCancel: scope.subscribe,
	});

	const handleSlotRefusal = (call: GateCall, outcome: Exclude<SlotOutcome, {readonly type: 'run'}>, reason: string): ForwardFailure => {
		switch (outcome.type) {
			case 'full': {
				return refuse(call, createNotRun(outcome.cause === 'over-share' ? 'over-share' : 'full', reason, outcome.retryAfterMs), outcome.cause);
			}

			case 'gone': {
				return refuse(call, createNotRun('gone', `backend server ${call.server} has restarted or was replaced`));
			}

			case 'cancelled': {
				return createNotRun(call.scope.getEndReason() ?? 'cancelled', 'call was cancelled');
			}
		}
	};

	/** Refuses a quarantined request before it takes a slot or a place in the wait queue. A request with a body is checked later, since its fingerprint depends on the body. */
	const checkQuarantine = async (call: GateCall): Promise<ForwardFailure | undefined> => {
		if (call.hasBody) {
			return undefined;
		}

		const fingerprint = createCallFingerprint(call, undefined);
		await quarantine.waitForTrial(fingerprint);
		const decision = quarantine.check(fingerprint);
		return decision.type === 'refused' ? refuse(call, createNotRun('quarantined', describeQuarantine(decision), decision.retryAfterMs)) : undefined;
	};

	/** Runs a call with a large body. It waits for the link before it takes a slot, so that no slot is idle while bodies queue for the link. */
	const runLargeUpload = async (call: GateCall): Promise<ForwardResult> => {
		const found = findSession(call);
		if ('type' in found) {
			return refuse(call, found);
		}

		const upload = await uploadLimit.acquire(createSlotRequest(call));
		if ('type' in upload) {
			return handleSlotRefusal(call, upload, 'maximum number of concurrent large uploads over the link reached');
		}

		const readBody = async (): Promise<Uint8Array | undefined> => {
			const body = await call.readBody();
			upload.end(true);
			return body;
		};

		try {
			return await admitAndRun({...call, readBody});
		} finally {
			upload.end(false);
		}
	};

	/** Estimates how long the response to a call waits for the link, in milliseconds; 0 for a small response. */
	const computeLinkWaitMs = (target: ServerSession, {answerMayWaitMs}: GateCall): number =>
		answerMayWaitMs === undefined ? 0 : linkDemand.estimateWaitMs(context.countQueuedBytes(), target.describe().serviceMs);

	/** Runs a call and counts its large response towards the demand on the link. */
	const runWithLargeResponse = async (target: ServerSession, call: GateCall): Promise<ForwardResult> => {
		const end = linkDemand.begin();
		let bytes = 0;
		try {
			const result = await target.run(call);
			bytes = result.type === 'answered' ? result.body.length : 0;
			return result;
		} finally {
			end(bytes);
		}
	};

	const admitAndRun = async (call: GateCall): Promise<ForwardResult> => {
		const found = findSession(call);
		if ('type' in found) {
			return refuse(call, found);
		}

		const linkWaitMs = computeLinkWaitMs(found, call);
		if (linkWaitMs > (call.answerMayWaitMs ?? 0)) {
			return refuse(call, createNotRun('full', 'large responses queued for the link exceed the maximum wait of the response', linkWaitMs));
		}

		const slot = await found.acquire(createSlotRequest(call));
		if (slot.type !== 'run') {
			return handleSlotRefusal(call, slot, slot.type === 'full' ? slot.reason : '');
		}

		// The server may have started to drain while the request waited. If it has restarted, its old session runs nothing.
		const current = findSession(call);
		if ('type' in current) {
			found.release();
			return refuse(call, current);
		}

		const result = await (call.answerMayWaitMs === undefined ? found.run(call) : runWithLargeResponse(found, call));
		return result.type === 'failed' && result.reason === 'limited' ? refuse(call, result) : result;
	};

	/** Applies the limit that the sender knows, since this node may have restarted and not know it yet. */
	const applyKnownLimit = ({server, limitPerSecond}: GateCall): void => {
		if (limitPerSecond !== undefined && state.current?.announcement.lifetime.id === server) {
			session?.suggestLimit(limitPerSecond);
		}
	};

	const getServerState = (server: LocalServer): ServerState => {
		if (server.isLeaving || rollouts.isWithheld(server.announcement)) {
			return 'draining';
		}

		return server.avoidUntil > readSteadyMs() ? 'down' : 'ready';
	};

	const reportSilence = ({announcement, heardAt}: LocalServer): void => {
		const heardMsAgo = readSteadyMs() - heardAt;
		if (heardMsAgo > silenceWarningMs && !isSilent) {
			isSilent = true;
			log.record('warn', {kind: 'server-silent', server: announcement.lifetime.id, heardMsAgo: Math.round(heardMsAgo)});
		}
	};

	return {
		async run(call) {
			const arrivedAt = readSteadyMs();
			requests++;
			applyKnownLimit(call);
			try {
				const refusal = quarantine.countSuspects() === 0 ? undefined : await checkQuarantine(call);
				const result = refusal ?? await (call.isLargeUpload ? runLargeUpload(call) : admitAndRun(call));
				return {result, load: getLoad(arrivedAt)};
			} finally {
				requests--;
			}
		},
		announce(announcement) {
			applyStep(acceptAnnouncement(state, announcement, readSteadyMs()), 'server announced that it is draining');
		},
		leave(leave) {
			const now = readSteadyMs();
			if (isAmbiguousLeave(state, leave, now)) {
				return err({cause: 'start', text: `start: found nothing, must be the start time of ${leave.id} that leaves, since it restarted a moment ago`});
			}

			applyStep(acceptLeave(state, leave, now), 'server announced that it leaves');
			return ok(undefined);
		},
		describe() {
			const {current} = state;
			if (current === undefined || session === undefined) {
				return undefined;
			}

			reportSilence(current);
			const {announcement} = current;
			return {
				lifetime: announcement.lifetime,
				service: announcement.service,
				slots: computeConcurrencyLimit(announcement.slots),
				state: getServerState(current),
				version: announcement.version,
				coldMs: computeColdMs(current),
				tally: rollouts.getTally(announcement),
				...session.describe(),
			};
		},
		countRequests: () => requests,
		getLimit: () => session?.getLimit(),
		dispose() {
			for (const retired of retiredSessions) {
				retired.end();
			}

			session?.end();
		},
	};
}
