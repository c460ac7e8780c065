/**
 * The backend server beside a node of a soak: it sends heartbeats, crashes,
 * restarts under the same or a new id, drains and leaves.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type PlatformServerBehaviour} from '../stand-ins/platform-server/apply-behaviour.js';
import {type HangingQueue} from '../stand-ins/platform-server/hanging-queue.js';
import {startPlatformServer, type PlatformServer} from '../stand-ins/platform-server/platform-server.js';
import {sendHeartbeat, sendLeave} from '../stand-ins/platform-server/server-messages.js';
import {startLinkProxy, type LinkMode} from './link-proxy.js';
import {createNestedCalls} from './nested-calls.js';
import {
	type CallRecord, type DrainRecord, type HangRecord, type LimitRecord, type RunRecord,
} from './record.js';
import {type SoakNode} from './soak-node.js';
import {type Service} from './soak-config.js';

export type SoakServer = {
	readonly listRuns: () => readonly RunRecord[];
	readonly listDrains: () => readonly DrainRecord[];
	readonly listLimits: () => readonly LimitRecord[];
	/** Lists the requests that the server never responded to since `hangWhenFull`. */
	readonly listHangs: () => readonly HangRecord[];
	/** Counts the executions since a time, in Unix milliseconds, by the server that runs now. */
	readonly countRunsSince: (at: number) => number;
	/** Closes the server without notice, and starts a new one after `downMs`. */
	readonly crash: (downMs: number, keepsId: boolean) => Promise<void>;
	/** Announces draining (or, without `saysDraining`, only the leave), serves for a while, and starts a server with a new id after `downMs`. */
	readonly drain: (saysDraining: boolean, downMs: number) => Promise<void>;
	/** Sets the processing time of each request to `workMs`, for `forMs`. */
	readonly slowDown: (workMs: number, forMs: number) => Promise<void>;
	/** Sets the behaviours of the next requests, one for each. */
	readonly misbehave: (behaviours: readonly PlatformServerBehaviour[]) => void;
	/** Names a limit in all responses, for `forMs`. */
	readonly nameLimit: (perSecond: number, forMs: number) => Promise<void>;
	/** Makes the server hang when it is full, until it ends. After half of `forMs` it loses a request, and then works slowly for the other half. */
	readonly hangWhenFull: (forMs: number) => Promise<void>;
	/** Announces more slots than the server has, for `forMs`. */
	readonly claimExtraSlots: (forMs: number) => Promise<void>;
	readonly delayHeartbeats: (delayMs: number, forMs: number) => Promise<void>;
	readonly stopHeartbeats: (forMs: number) => Promise<void>;
	readonly setLinkMode: (mode: LinkMode, forMs: number) => Promise<void>;
	readonly close: () => Promise<void>;
};

/** One process of the server, from its start to its end. */
type ServerLifetime = {
	readonly id: string;
	/** Unix milliseconds. */
	readonly startedAt: number;
	readonly server: PlatformServer;
	drainAckedAt: number | undefined;
	isDraining: boolean;
	/** Set if the server hangs when it is full. */
	queue: HangingQueue | undefined;
	/** Whether the server names a limit. */
	isLimited: boolean;
	/** Whether the server has sent its leave; it sends no heartbeats afterwards. */
	hasLeft: boolean;
	sequence: number;
};

/** Maximum number of requests that the server executes at the same time. */
const slots = 4;

/** Slots that the server announces while it overstates them. */
const claimedSlots = 32;

/** Requests that wait at a server that hangs when it is full. */
const places = 2;

/** Time that a request takes at such a server: so long that the callers of the mesh fill it. */
const hangingWorkMs = 150;

/** Time after which the next request has arrived at a server and its loss has been noticed. */
const lostRequestMs = 1000;

/** Time that a request takes when no fault slows the server down. */
const defaultWorkMs = 20;

const heartbeatIntervalMs = 1000;

/** How long a server continues to serve after its draining was acknowledged. */
const drainPeriodMs = 2500;

/** How long a server repeats its announcement of draining until it is acknowledged, and how long it then waits for requests in flight before it closes. */
const drainTimeoutMs = 5000;
const pollIntervalMs = 50;

/** How long after its start the server stays slow, as its heartbeats state it. */
const coldMs = 0;

/**
 * Starts a backend server, and a proxy in front of it.
 *
 * @param node - The node beside the server.
 * @param service - The service of the server.
 * @param handleNestedCall - Called with each call of the server when it has ended.
 * @returns The server.
 */
export async function startSoakServer(node: SoakNode, service: Service, handleNestedCall: (call: CallRecord) => void): Promise<SoakServer> {
	const callNested = createNestedCalls(node, handleNestedCall);
	const address = `${node.parameters.host}:7011`;
	const link = await startLinkProxy(address);
	const lifetimes: ServerLifetime[] = [];
	const limits: LimitRecord[] = [];
	let current: ServerLifetime | undefined;
	let lastIdNumber = 0;
	let isClaimingExtraSlots = false;
	let areHeartbeatsStopped = false;
	let heartbeatDelayMs = 0;
	let isClosed = false;

	const createNextId = (): string => {
		lastIdNumber++;
		return `i-${node.name}-${lastIdNumber}`;
	};

	const formatLifetimeId = ({id, startedAt}: ServerLifetime): string => `${id}@${startedAt}`;

	const sendAnnouncement = async (lifetime: ServerLifetime): Promise<boolean> => {
		lifetime.sequence++;
		const heartbeat = {
			id: lifetime.id, born: lifetime.startedAt, address, service, failureDomain: node.parameters.failureDomain, slots: isClaimingExtraSlots ? claimedSlots : slots,
			isDraining: lifetime.isDraining, sequence: lifetime.sequence, coldMs,
		};
		await sleep(heartbeatDelayMs);
		const isAcknowledged = await sendHeartbeat(node.announcementAddress, heartbeat);
		if (isAcknowledged && heartbeat.isDraining) {
			lifetime.drainAckedAt ??= Date.now();
		}

		return isAcknowledged;
	};

	/** Sends heartbeats until the lifetime ends. A heartbeat does not wait for the response to the previous one, so delayed heartbeats may arrive out of order. */
	const announcePeriodically = async (lifetime: ServerLifetime): Promise<void> => {
		while (current === lifetime && !lifetime.hasLeft && !isClosed) {
			if (!areHeartbeatsStopped) {
				void sendAnnouncement(lifetime);
			}

			await sleep(heartbeatIntervalMs);
		}
	};

	const start = async (id: string): Promise<void> => {
		const server = await startPlatformServer(id);
		server.setWorkMs(defaultWorkMs);
		server.setSlots(slots);
		server.setNestedCall(callNested);
		current = {
			id, startedAt: Date.now(), server, drainAckedAt: undefined, isDraining: false, queue: undefined, isLimited: false, hasLeft: false, sequence: 0,
		};
		lifetimes.push(current);
		link.setTarget(server.address);
		void announcePeriodically(current);
	};

	const stopServer = async (lifetime: ServerLifetime): Promise<void> => {
		current = undefined;
		link.setTarget(undefined);
		await lifetime.server.close();
	};

	const startAfterDelay = async (id: string, downMs: number): Promise<void> => {
		await sleep(downMs);
		if (!isClosed) {
			await start(id);
		}
	};

	/** Repeats a message until the node acknowledges it or the timeout is over. */
	const retryUntilAcknowledged = async (send: () => Promise<boolean>): Promise<void> => {
		const deadlineAt = Date.now() + drainTimeoutMs;
		while (Date.now() < deadlineAt && !(await send())) {
			await sleep(pollIntervalMs);
		}
	};

	const announceLeave = async (lifetime: ServerLifetime): Promise<boolean> => {
		lifetime.hasLeft = true;
		const isAcknowledged = await sendLeave(node.announcementAddress, lifetime.id);
		if (isAcknowledged) {
			lifetime.drainAckedAt ??= Date.now();
		}

		return isAcknowledged;
	};

	const changeTemporarily = async (forMs: number, change: (isOn: boolean) => void): Promise<void> => {
		change(true);
		await sleep(forMs);
		change(false);
	};

	await start(createNextId());
	return {
		listRuns: () => lifetimes.flatMap(lifetime => lifetime.server.runs.map(run => ({
			...run, server: formatLifetimeId(lifetime), service, node: node.name,
		}))),
		listDrains: () => lifetimes.flatMap(lifetime => lifetime.drainAckedAt === undefined ? [] : [{server: formatLifetimeId(lifetime), node: node.name, ackedAt: lifetime.drainAckedAt}]),
		listLimits: () => limits,
		listHangs: () => lifetimes.flatMap(lifetime => (lifetime.queue?.hung ?? []).map(request => ({...request, server: formatLifetimeId(lifetime), node: node.name}))),
		countRunsSince: at => current?.server.runs.filter(run => run.at >= at).length ?? 0,
		async crash(downMs, keepsId) {
			const lifetime = current;
			// A server that announced draining or its leave must not restart under the same id.
			if (lifetime === undefined || lifetime.isDraining || lifetime.hasLeft) {
				return;
			}

			await stopServer(lifetime);
			await startAfterDelay(keepsId ? lifetime.id : createNextId(), downMs);
		},
		async drain(saysDraining, downMs) {
			const lifetime = current;
			if (lifetime === undefined || lifetime.isDraining || lifetime.hasLeft) {
				return;
			}

			lifetime.isDraining = saysDraining;
			lifetime.server.setLeaving(true);
			await retryUntilAcknowledged(async () => saysDraining ? sendAnnouncement(lifetime) : announceLeave(lifetime));
			await sleep(drainPeriodMs);
			if (saysDraining) {
				await announceLeave(lifetime);
			}

			const deadlineAt = Date.now() + drainTimeoutMs;
			while (lifetime.server.countInFlight() > 0 && Date.now() < deadlineAt) {
				await sleep(pollIntervalMs);
			}

			await stopServer(lifetime);
			await startAfterDelay(createNextId(), downMs);
		},
		async slowDown(workMs, forMs) {
			const lifetime = current;
			await changeTemporarily(forMs, isOn => {
				lifetime?.server.setWorkMs(isOn ? workMs : defaultWorkMs);
			});
		},
		misbehave(behaviours) {
			current?.server.planBehaviours(...behaviours);
		},
		async nameLimit(perSecond, forMs) {
			const lifetime = current;
			// The end of a limit would end another one that overlaps it.
			if (lifetime === undefined || lifetime.isLimited) {
				return;
			}

			const from = Date.now();
			lifetime.isLimited = true;
			lifetime.server.setLimit(perSecond);
			await sleep(forMs);
			lifetime.server.setLimit(undefined);
			lifetime.isLimited = false;
			limits.push({
				server: formatLifetimeId(lifetime), perSecond, from, to: Date.now(),
			});
		},
		async hangWhenFull(forMs) {
			const lifetime = current;
			if (lifetime === undefined || lifetime.queue !== undefined) {
				return;
			}

			const queue = lifetime.server.hangWhenFull({slots, places});
			lifetime.queue = queue;
			await sleep(forMs / 2);
			queue.loseNext(1);
			await sleep(lostRequestMs);
			lifetime.server.setWorkMs(hangingWorkMs);
			await sleep(forMs / 2);
			lifetime.server.setWorkMs(defaultWorkMs);
		},
		async claimExtraSlots(forMs) {
			await changeTemporarily(forMs, isOn => {
				isClaimingExtraSlots = isOn;
			});
		},
		async delayHeartbeats(delayMs, forMs) {
			await changeTemporarily(forMs, isOn => {
				heartbeatDelayMs = isOn ? delayMs : 0;
			});
		},
		async stopHeartbeats(forMs) {
			await changeTemporarily(forMs, isOn => {
				areHeartbeatsStopped = isOn;
			});
		},
		async setLinkMode(mode, forMs) {
			await changeTemporarily(forMs, isOn => {
				link.setMode(isOn ? mode : 'pass');
			});
		},
		async close() {
			isClosed = true;
			if (current !== undefined) {
				await stopServer(current);
			}

			await link.close();
		},
	};
}
