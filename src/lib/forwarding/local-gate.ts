/**
 * The gate before the backend server beside this node: the only way to it.
 * Because every request passes here, the number in work is exact, and what is
 * turned away here has certainly not run.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {type SlotOutcome, type SlotRequest} from '../admission/slot-keeper.js';
import {readSteadyMs} from '../common/clock.js';
import {type BackendServerId} from '../common/ids.js';
import {isSameLifetime} from '../common/server-lifetime.js';
import {
	acceptAnnouncement, acceptLeave, doubtServer, forgetServer, isAmbiguousLeave,
} from '../local-server/accept-word.js';
import {type CallRefusal} from '../local-server/call-refusal.js';
import {
	noLocalServer, type LocalServer, type LocalServerState, type ServerAnnouncement, type ServerLeave, type ServerStep,
} from '../local-server/local-server.js';
import {createLinkDemand} from '../decisions/link-demand.js';
import {describeRefusal as describeQuarantine, type Quarantine} from '../quarantine/quarantine.js';
import {type ServerReport, type ServerState} from '../peers/peer-report.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type CallHeaderNames} from './call-headers.js';
import {
	createNotRun, type ForwardFailure, type ForwardResult, type GateLoad, type GateResult,
} from './forward-result.js';
import {
	countPlaces, createCallMark, doubtMs, openServerSession, type ServerSession, type ServerSessionContext, type SessionCall,
} from './server-session.js';
import {createTransferLimit} from './transfer-limit.js';

/** A request at the gate. @internal */
export type GateCall = SessionCall & {
	/** Which backend server the sender means. Whichever lifetime of it runs takes the request: it was sent to no earlier one. */
	readonly server: BackendServerId;
	/** 0 goes first. */
	readonly rank: number;
	/** Milliseconds that it may wait for a slot. */
	readonly mayWaitMs: number;
	/** Whether it has a body, which is there once a slot is held. */
	readonly hasBody: boolean;
	/** Its body is large and comes from another VM. */
	readonly isTransfer: boolean;
	/** Milliseconds that its answer may be expected to wait for the link, if it is large and goes to another VM. */
	readonly answerMayWaitMs?: number | undefined;
};

/** @internal */
export type LocalGateContext = {
	readonly wire: CallHeaderNames;
	readonly log: MeshLog;
	/** Told whenever the other nodes should hear of a change at once. */
	readonly handleChange: () => void;
	/** Connections that the backend server accepts from this node. */
	readonly getMaxConnections: (service: string) => number;
	readonly isLeaving: () => boolean;
	readonly quarantine: ServerSessionContext['quarantine'] & Pick<Quarantine, 'countSuspects'>;
	/** Megabits a second of this VM's link. */
	readonly linkMbps: number;
	/** Bytes of answers that wait for the link. */
	readonly countHeldBytes: () => number;
};

/** @internal */
export type LocalGate = {
	readonly run: (call: GateCall) => Promise<GateResult>;
	readonly announce: (announcement: ServerAnnouncement) => void;
	/** The server leaves; from here on it gets no new work. One that may be an earlier start's late word is refused, so that nobody relies on it. */
	readonly leave: (leave: ServerLeave) => Result<undefined, CallRefusal>;
	readonly describe: () => ServerReport | undefined;
	readonly countRequests: () => number;
	readonly dispose: () => void;
};

/** A server that has been silent for this many milliseconds is named in the log; it goes on being used while it answers. */
const silentMs = 8000;

/** A refusal leaves this long before the time is over, in milliseconds, so that it arrives as one. */
const lastRefusalMs = 40;

/**
 * Creates the gate; it turns everything away until a server announces itself.
 *
 * @param context - What it works with.
 * @returns The gate.
 * @internal
 */
export function createLocalGate(context: LocalGateContext): LocalGate {
	const {wire, log, handleChange, quarantine} = context;
	let state: LocalServerState = noLocalServer;
	let session: ServerSession | undefined;
	/** Whose session it is, also once the server was forgotten. */
	let lastServer: LocalServer | undefined;
	/** Sessions of servers of other ids that are at work still. */
	let retired: readonly ServerSession[] = [];
	const transfers = createTransferLimit(context.linkMbps);
	const demand = createLinkDemand(context.linkMbps);
	let requests = 0;
	let isSilent = false;

	const getLoad = (arrivedAt: number): GateLoad | undefined => {
		if (session === undefined) {
			return undefined;
		}

		const {running, waiting, serviceMs} = session.describe();
		return {
			running, waiting, serviceMs, tookMs: readSteadyMs() - arrivedAt,
		};
	};

	/** A server that starts again has lost what it was at work on. One of another id may work on: it said that it leaves, or the new one's word was a late one. */
	const closeSession = (closed: ServerSession, before: LocalServer, next: LocalServer): void => {
		const hasSameId = before.announcement.lifetime.id === next.announcement.lifetime.id;
		if (!before.isLeaving && (hasSameId || before.announcement.address === next.announcement.address)) {
			closed.noteCrashed();
		}

		if (hasSameId) {
			closed.end();
			return;
		}

		closed.retire();
		retired = [...retired.filter(one => one.describe().running > 0), closed];
	};

	const openSession = ({announcement}: LocalServer): ServerSession => {
		const {lifetime, service, slots, coldMs} = announcement;
		log.record('info', {
			kind: 'server-announced', server: lifetime.id, startedAt: lifetime.startedAt, service, slots, coldMs,
		});
		return openServerSession(announcement, {
			wire,
			log,
			maxConnections: context.getMaxConnections(service),
			quarantine,
			isLeaving: () => context.isLeaving() || (state.current?.isLeaving ?? false),
			handleUnreachable(asked, reason) {
				state = doubtServer(state, asked, readSteadyMs() + doubtMs);
				log.record('warn', {kind: 'server-doubted', server: asked.id, reason});
				handleChange();
			},
			handleStranger(asked) {
				state = forgetServer(state, asked, readSteadyMs());
				handleChange();
			},
		});
	};

	const apply = (step: ServerStep, how: string): void => {
		const before = state.current;
		state = step.state;
		const {current} = state;
		if (current === undefined) {
			return;
		}

		isSilent = false;
		if (before === undefined || !isSameLifetime(before.announcement.lifetime, current.announcement.lifetime)) {
			if (session !== undefined && lastServer !== undefined) {
				closeSession(session, lastServer, current);
			}

			session = openSession(current);
		}

		lastServer = current;

		if (step.news === 'draining') {
			log.record('info', {kind: 'server-draining', server: current.announcement.lifetime.id, how});
		}

		if (step.news === 'changed') {
			session?.resize(current.announcement.slots);
		}

		if (step.news !== 'none') {
			handleChange();
		}
	};

	/** Finds what is held for the server that a call means, or why it cannot go there. */
	const findSession = (call: GateCall): ServerSession | ForwardFailure => {
		const {current} = state;
		if (session === undefined || current?.announcement.lifetime.id !== call.server) {
			return createNotRun('gone', `${call.server} is not beside this node`);
		}

		if (current.isLeaving || context.isLeaving()) {
			return createNotRun('draining', `${call.server} takes no new work`);
		}

		if (current.doubtedUntil > readSteadyMs()) {
			return createNotRun('server-unreachable', `${call.server} could not be reached a moment ago`, doubtMs);
		}

		return session;
	};

	const refuse = (call: GateCall, failure: ForwardFailure): ForwardFailure => {
		const {running = 0, waiting = 0, serviceMs = 0} = session?.describe() ?? {};
		log.record('info', {
			kind: 'gate-refused', call: call.id, server: call.server, reason: failure.reason, rank: call.rank,
			running, waiting, serviceMs: Math.round(serviceMs), mayWaitMs: Math.round(call.mayWaitMs),
		});
		return failure;
	};

	const describeWait = ({rank, mayWaitMs, scope}: GateCall): SlotRequest => ({
		rank, mayWaitMs, lastAt: scope.deadlineAt - lastRefusalMs, listenForEnd: scope.subscribe,
	});

	const refuseWait = (call: GateCall, outcome: Exclude<SlotOutcome, {readonly type: 'run'}>, reason: string): ForwardFailure => {
		switch (outcome.type) {
			case 'full': {
				return refuse(call, createNotRun('full', reason, outcome.retryAfterMs));
			}

			case 'gone': {
				return refuse(call, createNotRun('gone', `${call.server} has started again, or another server is there`));
			}

			case 'cancelled': {
				return createNotRun(call.scope.getEndReason() ?? 'cancelled', 'the caller has gone');
			}
		}
	};

	/** What may crash the server takes no slot, and no place among those that wait for one, before it may run. With a body that is known only once it is here. */
	const admitTrial = async (call: GateCall): Promise<ForwardFailure | undefined> => {
		if (call.hasBody) {
			return undefined;
		}

		const mark = createCallMark(call, undefined);
		await quarantine.settle(mark);
		const judgement = quarantine.judge(mark);
		return judgement.type === 'refused' ? refuse(call, createNotRun('quarantined', describeQuarantine(judgement), judgement.retryAfterMs)) : undefined;
	};

	/** Has a call wait for the link first if its body is large, so that no slot is held for bodies that wait. */
	const admitTransfer = async (call: GateCall): Promise<ForwardResult> => {
		const found = findSession(call);
		if ('type' in found) {
			return refuse(call, found);
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

	/** How long the answer to a call would wait for the link. A small one does not wait. */
	const computeLinkWait = (at: ServerSession, {answerMayWaitMs}: GateCall): number =>
		answerMayWaitMs === undefined ? 0 : demand.computeWaitMs(context.countHeldBytes(), at.describe().serviceMs);

	/** Counts the answer among those that the link has to carry. */
	const runForLink = async (at: ServerSession, call: GateCall): Promise<ForwardResult> => {
		const end = demand.begin();
		let bytes = 0;
		try {
			const result = await at.run(call);
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

		const linkWaitMs = computeLinkWait(found, call);
		if (linkWaitMs > (call.answerMayWaitMs ?? 0)) {
			return refuse(call, createNotRun('full', 'the link carries as many large answers as it can in time', linkWaitMs));
		}

		const slot = await found.acquire(describeWait(call));
		if (slot.type !== 'run') {
			return refuseWait(call, slot, slot.type === 'full' ? slot.reason : '');
		}

		// The server may have begun to leave while the request waited. If it has started again, its earlier session runs nothing.
		const still = findSession(call);
		if ('type' in still) {
			found.release();
			return refuse(call, still);
		}

		return call.answerMayWaitMs === undefined ? found.run(call) : runForLink(found, call);
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
			log.record('warn', {kind: 'server-silent', server: announcement.lifetime.id, heardMsAgo: Math.round(heardMsAgo)});
		}
	};

	return {
		async run(call) {
			const arrivedAt = readSteadyMs();
			requests++;
			try {
				const refusal = quarantine.countSuspects() === 0 ? undefined : await admitTrial(call);
				const result = refusal ?? await (call.isTransfer ? admitTransfer(call) : admitAndRun(call));
				return {result, load: getLoad(arrivedAt)};
			} finally {
				requests--;
			}
		},
		announce(announcement) {
			apply(acceptAnnouncement(state, announcement, readSteadyMs()), 'it said that it drains');
		},
		leave(leave) {
			const now = readSteadyMs();
			if (isAmbiguousLeave(state, leave, now)) {
				return err({cause: 'start', text: `start: found nothing, must be which start of ${leave.id} leaves, since it started again a moment ago`});
			}

			apply(acceptLeave(state, leave, now), 'it said that it leaves');
			return ok(undefined);
		},
		describe() {
			const {current} = state;
			if (current === undefined || session === undefined) {
				return undefined;
			}

			noteSilence(current);
			const {announcement, heardAt} = current;
			return {
				lifetime: announcement.lifetime,
				service: announcement.service,
				slots: countPlaces(announcement.slots),
				state: getServerState(current),
				coldMs: Math.max(0, announcement.coldMs - (readSteadyMs() - heardAt)),
				...session.describe(),
			};
		},
		countRequests: () => requests,
		dispose() {
			for (const one of retired) {
				one.end();
			}

			session?.end();
		},
	};
}
