/**
 * The gate: admission control for the backend server beside this node. Every request
 * to that server passes the gate, so its count of running requests is exact, and a
 * request that it refuses has certainly not been executed.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type SlotOutcome, type SlotRequest} from '../admission/slot-pool.js';
import {readSteadyMs} from '../common/clock.js';
import {type BackendServerId} from '../common/ids.js';
import {type ServerLifetime} from '../common/server-lifetime.js';
import {type AnnouncementRefusal} from '../local-server/announcement-refusal.js';
import {type FullCause} from '../decisions/slot-queue.js';
import {type ServerAnnouncement, type ServerLeave} from '../local-server/local-server.js';
import {createDefaultLedger, type MemoryLedger} from '../memory/memory-ledger.js';
import {createLinkDemand} from '../decisions/link-demand.js';
import {describeRefusal as describeQuarantine, type Quarantine} from '../quarantine/quarantine.js';
import {type GateRollouts} from '../rollout/rollouts.js';
import {type ServerReport} from '../peers/peer-report.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {type CallHeaderNames} from './call-headers.js';
import {
	createNotRun, type ForwardFailure, type ForwardResult, type GateLoad, type GateResult,
} from './forward-result.js';
import {createLocalSessions} from './local-sessions.js';
import {
	createCallFingerprint, unreachableBackoffMs, type ServerSession, type ServerSessionContext, type SessionCall,
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
	/** The request is turned away if the server is slower than this at the moment, as a factor of its average service time; `undefined` if it must not be. */
	readonly maxSlowness?: number | undefined;
};

/** @internal */
export type LocalGateContext = {
	readonly headerNames: CallHeaderNames;
	readonly log: MeshLog;
	readonly refusals: Pick<RefusalLog, 'record'>;
	/** Called when a change should be announced to the other nodes immediately. */
	readonly handleChange: () => void;
	/** Called with lifetimes that are excluded from requests for good, before this is acknowledged; not called if omitted. */
	readonly handleDeparted?: ((lifetimes: readonly ServerLifetime[]) => void) | undefined;
	/** Returns the maximum number of connections that the backend server accepts from this node. */
	readonly getMaxConnections: (service: string) => number;
	readonly isLeaving: () => boolean;
	/** How long a server takes requests after it began to drain, in milliseconds. */
	readonly drainMs: number;
	readonly quarantine: ServerSessionContext['quarantine'] & Pick<Quarantine, 'countSuspects'>;
	readonly rollouts: GateRollouts;
	readonly countLimited: ServerSessionContext['countLimited'];
	/** Returns the name of the route of a request; `undefined` if none matches. */
	readonly findRouteName: (host: string, target: string) => string | undefined;
	/** Returns whether the requests of a route may be run twice; false for all requests if omitted. */
	readonly isRepeatableRoute?: ((host: string, target: string) => boolean) | undefined;
	/** Bandwidth of this VM's link, in megabits per second. */
	readonly linkMbps: number;
	/** Returns the response bytes queued for the link. */
	readonly countQueuedBytes: () => number;
	/** What this process holds for its clients; that of the smallest machines if omitted. */
	readonly ledger?: MemoryLedger;
};

/** @internal */
export type LocalGate = {
	readonly run: (call: GateCall) => Promise<GateResult>;
	readonly announce: (announcement: ServerAnnouncement) => void;
	/** Handles a leave of the server, which gets no new requests from then on. Returns a refusal if the leave may be a late message of an earlier lifetime. */
	readonly leave: (leave: ServerLeave) => Result<undefined, AnnouncementRefusal>;
	/** Handles the departure of a lifetime that an earlier run of this node acknowledged. */
	readonly applyDeparture: (lifetime: ServerLifetime) => void;
	readonly describe: () => ServerReport | undefined;
	readonly countRequests: () => number;
	/** Returns until when servers beside this node may work on the requests that they have, in milliseconds of the steady clock; negative infinity if they have none. */
	readonly getServerWorksUntil: () => number;
	/** Returns the requests per second that the server takes; `undefined` if it names no limit, or if there is no server. */
	readonly getLimit: () => number | undefined;
	/** Returns how many requests may be at the server at the same time; `undefined` if there is no server. */
	readonly getSlotLimit: () => number | undefined;
	/** Returns how slow the VM of the server was at its last report, as a factor of the usual time; `undefined` if the server does not say, or if there is none. */
	readonly getSlowness: () => number | undefined;
	readonly dispose: () => void;
};

/** Room that a request needs for its answer. Longer answers are read as room becomes free. */
const minAnswerBytes = 65_536;

/** Retry delay for a request that is refused because the memory for answers is in use. */
const memoryRetryMs = 1000;

/** How long before the deadline a waiting request is refused, so that the refusal arrives before the caller times out. */
const refusalMarginMs = 40;

/**
 * Creates the gate. It refuses every request until a server announces itself.
 *
 * @param context - The dependencies of the gate.
 * @returns The gate.
 * @internal
 */
export function createLocalGate(context: LocalGateContext): LocalGate {
	const {log, quarantine, rollouts, ledger = createDefaultLedger()} = context;
	const sessions = createLocalSessions({...context, ledger});
	const uploadLimit = createUploadLimit(context.linkMbps);
	const linkDemand = createLinkDemand(context.linkMbps);
	let requests = 0;

	const getLoad = (arrivedAt: number): GateLoad | undefined => {
		const session = sessions.getSession();
		if (session === undefined) {
			return undefined;
		}

		const {running, waiting, serviceMs, slowness, leastUrgent, waitingByPriority} = session.describe();
		return {
			running, waiting, serviceMs, tookMs: readSteadyMs() - arrivedAt, slowness, leastUrgent, waitingByPriority,
		};
	};

	/** Returns the session for a call, or the reason why its server does not take it. */
	const findSession = (call: GateCall): ServerSession | ForwardFailure => {
		const current = sessions.getServer();
		const session = sessions.getSession();
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
		const session = sessions.getSession();
		const {running = 0, waiting = 0, serviceMs = 0, slowness} = session?.describe() ?? {};
		// The entry sends a request that meets a slow server to another one, so that it needs no line of its own.
		log.record(failure.reason === 'slow' ? 'debug' : 'info', {
			kind: 'gate-refused', call: call.id, server: call.server, reason: failure.reason, rank: call.rank,
			running, waiting, serviceMs: Math.round(serviceMs), mayWaitMs: Math.round(call.mayWaitMs),
			...slowness === undefined ? {} : {slowness: Math.round(slowness * 100) / 100},
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

		if (!ledger.clearRoom('buffers', minAnswerBytes)) {
			return refuse(call, createNotRun('full', 'the memory for answers is in use by other requests', memoryRetryMs));
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

	/** Turns a request away whose server has become slow, before it takes a slot or a place in the wait queue. */
	const refuseSlow = ({server, maxSlowness}: GateCall): ForwardFailure | undefined => {
		const slowness = maxSlowness === undefined || sessions.getServer()?.announcement.lifetime.id !== server ? undefined : sessions.getSession()?.describe().slowness;
		return slowness !== undefined && slowness > maxSlowness! ? createNotRun('slow', `the VM of the backend server takes ${slowness.toFixed(2)} times as long as on average`) : undefined;
	};

	/** Applies the limit that the sender knows, since this node may have restarted and not know it yet. */
	const applyKnownLimit = ({server, limitPerSecond}: GateCall): void => {
		if (limitPerSecond !== undefined && sessions.getServer()?.announcement.lifetime.id === server) {
			sessions.getSession()?.suggestLimit(limitPerSecond);
		}
	};

	return {
		async run(call) {
			const arrivedAt = readSteadyMs();
			requests++;
			applyKnownLimit(call);
			const slow = refuseSlow(call);
			if (slow !== undefined) {
				requests--;
				return {result: refuse(call, slow), load: getLoad(arrivedAt)};
			}

			try {
				const refusal = quarantine.countSuspects() === 0 ? undefined : await checkQuarantine(call);
				const result = refusal ?? await (call.isLargeUpload ? runLargeUpload(call) : admitAndRun(call));
				return {result, load: getLoad(arrivedAt)};
			} finally {
				requests--;
			}
		},
		announce: sessions.announce,
		leave: sessions.leave,
		applyDeparture: sessions.applyDeparture,
		describe: sessions.describe,
		countRequests: () => requests,
		getServerWorksUntil: sessions.getWorksUntil,
		getLimit: () => sessions.getSession()?.getLimit(),
		getSlotLimit: () => sessions.getSession()?.getSlotLimit(),
		getSlowness: () => sessions.getSession()?.getSlowness(),
		dispose: sessions.dispose,
	};
}
