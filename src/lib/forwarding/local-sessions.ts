/**
 * The backend server beside the node and its sessions: applies announcements and leaves,
 * opens a session for each lifetime, and closes the sessions of replaced servers.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {readNow, readSteadyMs} from '../common/clock.js';
import {isSameLifetime, type ServerLifetime} from '../common/server-lifetime.js';
import {
	acceptAnnouncement, acceptLeave, noteServerUnreachable, forgetServer, isAmbiguousLeave,
} from '../local-server/local-server-updates.js';
import {type AnnouncementRefusal} from '../local-server/announcement-refusal.js';
import {listNewlyDeparted} from '../local-server/list-departed.js';
import {
	noLocalServer, type LocalServer, type LocalServerState, type ServerAnnouncement, type ServerLeave, type ServerTransition,
} from '../local-server/local-server.js';
import {type GateRollouts} from '../rollout/rollouts.js';
import {type ServerReport, type ServerState} from '../peers/peer-report.js';
import {
	openServerSession, unreachableBackoffMs, type ServerSession, type ServerSessionContext, type SessionCall,
} from './server-session.js';

/** @internal */
export type LocalSessionsContext = Pick<ServerSessionContext, 'headerNames' | 'log' | 'refusals' | 'quarantine' | 'isLeaving' | 'countLimited' | 'ledger'> & {
	/** Called when a change should be announced to the other nodes immediately. */
	readonly handleChange: () => void;
	/** Called with lifetimes that are excluded from requests for good, before this is acknowledged; not called if omitted. */
	readonly handleDeparted?: ((lifetimes: readonly ServerLifetime[]) => void) | undefined;
	/** Returns the maximum number of connections that the backend server accepts from this node. */
	readonly getMaxConnections: (service: string) => number;
	readonly rollouts: Pick<GateRollouts, 'isCounting' | 'recordOutcome' | 'isWithheld' | 'getTally'>;
	/** How long a server takes requests after it began to drain, in milliseconds. */
	readonly drainMs: number;
	/** Returns the name of the route of a request; `undefined` if none matches. */
	readonly findRouteName: (host: string, target: string) => string | undefined;
	/** Returns whether the requests of a route may be run twice; false for all requests if omitted. */
	readonly isRepeatableRoute?: ((host: string, target: string) => boolean) | undefined;
};

/** @internal */
export type LocalSessions = {
	/** Returns the server that announced itself last; `undefined` if there is none. */
	readonly getServer: () => LocalServer | undefined;
	/** Returns the session of the server that announced itself last. It is kept when the server is forgotten. */
	readonly getSession: () => ServerSession | undefined;
	readonly announce: (announcement: ServerAnnouncement) => void;
	/** Handles a leave of the server, which gets no new requests from then on. Returns a refusal if the leave may be a late message of an earlier lifetime. */
	readonly leave: (leave: ServerLeave) => Result<undefined, AnnouncementRefusal>;
	/** Handles the departure of a lifetime that an earlier run of this node acknowledged. */
	readonly applyDeparture: (lifetime: ServerLifetime) => void;
	/** Returns until when the server, and those that it has replaced, may work on the requests that they have, in milliseconds of the steady clock; negative infinity if they have none. */
	readonly getWorksUntil: () => number;
	/** Returns the report of the server for the other nodes. */
	readonly describe: () => ServerReport | undefined;
	/** Ends all sessions. */
	readonly dispose: () => void;
};

/** Time without an announcement after which a warning is logged. The server stays in use while it responds to requests. */
const silenceWarningMs = 8000;

/** Computes how much longer a server is slow after its start, in milliseconds. */
const computeColdMs = ({announcement, heardAt}: LocalServer): number => Math.max(0, announcement.coldMs - (readSteadyMs() - heardAt));

/** Milliseconds by which a server is older than this node if an earlier run of the node has sent requests to it: a node takes about this long to start and to hear of its server. When a VM starts, both start together. */
const minEarlierRunMs = 1000;

/**
 * Creates the sessions of a node whose server has not announced itself.
 *
 * @param context - The dependencies of the sessions.
 * @returns The sessions.
 * @internal
 */
export function createLocalSessions(context: LocalSessionsContext): LocalSessions {
	const {headerNames, log, handleChange, quarantine, rollouts} = context;
	let state: LocalServerState = noLocalServer;
	let session: ServerSession | undefined;
	/** The server of the session, kept after the state has forgotten that server. */
	let sessionServer: LocalServer | undefined;
	/** Sessions of servers with other ids that may still have running requests. */
	let retiredSessions: readonly ServerSession[] = [];
	let isSilent = false;
	/** Milliseconds since the epoch, as the start times of servers. */
	const createdAt = readNow();

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
			drainMs: context.drainMs,
			ledger: context.ledger,
			isRepeatable: ({headers, target}) => context.isRepeatableRoute?.(typeof headers.host === 'string' ? headers.host : '', target) ?? false,
			// A server that is clearly older than this node may have requests of an earlier run of it.
			hasEarlierWork: session === undefined && lifetime.startedAt < createdAt - minEarlierRunMs,
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
		const departed = listNewlyDeparted(state, step.state);
		state = step.state;
		if (departed.length > 0) {
			context.handleDeparted?.(departed);
		}

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
		if (current.isLeaving) {
			session?.startDraining();
		}

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
		getServer: () => state.current,
		getSession: () => session,
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
		applyDeparture(lifetime) {
			applyStep(acceptLeave(state, lifetime, readSteadyMs()), 'server left during an earlier run of this node');
		},
		describe() {
			const {current} = state;
			if (current === undefined || session === undefined) {
				return undefined;
			}

			reportSilence(current);
			const {announcement} = current;
			return Object.assign(session.describe(), {
				lifetime: announcement.lifetime,
				service: announcement.service,
				state: getServerState(current),
				version: announcement.version,
				coldMs: computeColdMs(current),
				tally: rollouts.getTally(announcement),
			});
		},
		getWorksUntil: () => Math.max(session?.getWorksUntil() ?? Number.NEGATIVE_INFINITY, ...retiredSessions.map(retired => retired.getWorksUntil())),
		dispose() {
			for (const retired of retiredSessions) {
				retired.end();
			}

			session?.end();
		},
	};
}
