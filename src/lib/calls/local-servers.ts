/**
 * The backend servers beside this node: their announcements, gates and connections.
 *
 * @module
 */
import {randomUUID} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {
	createGate, type Gate, type GateRefusal, type Slot, type SlotRequest,
} from '../admission/gate.js';
import {readNow, waitFor} from '../common/clock.js';
import {type BackendServerId} from '../common/ids.js';
import {type BackendServer} from '../directory/node-record.js';
import {type AdmissionSettings} from '../settings/settings.js';
import {type Timeline} from '../timeline/timeline.js';
import {createFailure, type Attempt, type AttemptResult} from './attempt.js';
import {createServerSender, type LimitedAttempt, type ServerSender} from './server-sender.js';
import {type RunQuarantine} from './run-tracker.js';

/** The description that a backend server periodically sends of itself. @public */
export type Announcement = Omit<BackendServer, 'startedAt' | 'isDraining' | 'isLeaving'>;

/** @public */
export type LocalServers = {
	readonly announce: (announcement: Announcement) => void;
	/** Stops giving new requests to the server, also after a restart of this node. Returns whether the server is known. */
	readonly drain: (id: BackendServerId) => boolean;
	/** Stops giving new requests to all servers until this node ends. */
	readonly drainAll: () => void;
	/** Drains servers that were leaving in earlier runs of this node, once they announce themselves. */
	readonly restoreDrains: (ids: readonly BackendServerId[]) => void;
	/** Removes a server that has withdrawn or has stopped announcing itself. */
	readonly withdraw: (id: BackendServerId, reason: string) => void;
	readonly has: (id: BackendServerId) => boolean;
	readonly send: (id: BackendServerId, attempt: Attempt) => Promise<AttemptResult>;
	/** Reserves a slot for a request that follows later; resolves with the ticket of the slot. */
	readonly reserve: (id: BackendServerId, request: SlotRequest & LimitedAttempt) => Promise<Result<string, ReserveRefusal>>;
	readonly list: () => readonly LocalServer[];
	/** Waits until no request is in flight or queued. Resolves with `false` if the timeout passes first. */
	readonly waitUntilIdle: (timeoutMs: number) => Promise<boolean>;
	readonly dispose: () => Promise<void>;
};

/** Why no slot was reserved. */
type ReserveRefusal = Pick<GateRefusal, 'retryAfterMs'> & {readonly type: GateRefusal['type'] | 'limited'};

/** @public */
export type LocalServer = {
	readonly server: BackendServer;
	readonly requests: number;
};

type Entry = {
	readonly server: BackendServer;
	readonly gate: Gate;
	readonly sender: ServerSender;
	readonly lastAnnouncedAt: number;
};

type Ticket = {readonly slot: Slot; readonly timer: NodeJS.Timeout};

/** A reserved slot is released if its request does not arrive within this time. */
const ticketTtlMs = 5000;

const sweepsPerAnnouncementTtl = 4;
const idlePollMs = 20;

const unknownServerRefusal: GateRefusal = {type: 'draining', retryAfterMs: 1000};

/**
 * Creates the registry of the backend servers beside this node. It is empty until a server announces itself.
 *
 * @param settings - Limits of the gates, and the time after which an announcement expires.
 * @param quarantine - Decides which requests may be sent to the servers.
 * @param timeline - Records when a server is announced, draining or withdrawn.
 * @param handleChange - Called with all servers after each change that must be published to the mesh.
 * @returns The registry.
 * @internal
 */
export function createLocalServers(settings: AdmissionSettings, quarantine: RunQuarantine, timeline: Timeline, handleChange: (servers: readonly BackendServer[]) => void): LocalServers {
	const entries = new Map<BackendServerId, Entry>();
	const tickets = new Map<string, Ticket>();
	/** Servers that were leaving in an earlier run of this node and have not announced themselves in this one. */
	const leavingBefore = new Set<BackendServerId>();
	let isClosing = false;

	const publish = (): void => {
		handleChange([...entries.values()].map(entry => entry.server));
	};

	const startDraining = (entry: Entry, isLeaving: boolean): void => {
		const {server, gate} = entry;
		if (server.isDraining && (server.isLeaving === true || !isLeaving)) {
			return;
		}

		// The gate closes before the change is published: requests that other nodes still send are rejected and not executed, however late these nodes learn of it.
		gate.startDraining();
		entries.set(server.id, {...entry, server: {...server, isDraining: true, ...isLeaving ? {isLeaving} : {}}});
		timeline.record({kind: 'server-draining', server: server.id});
		publish();
	};

	const drain = (id: BackendServerId): boolean => {
		const entry = entries.get(id);
		if (entry === undefined) {
			return false;
		}

		startDraining(entry, true);
		return true;
	};

	const withdraw = (id: BackendServerId, reason: string): void => {
		leavingBefore.delete(id);
		const entry = entries.get(id);
		if (entry === undefined) {
			return;
		}

		entry.gate.startDraining();
		entries.delete(id);
		timeline.record({kind: 'server-withdrawn', server: id, reason});
		publish();
		void closeWhenIdle(entry);
	};

	const closeWhenIdle = async (entry: Entry): Promise<void> => {
		while (entry.gate.countRequests() > 0 && !isClosing) {
			await waitFor(idlePollMs);
		}

		entry.gate.dispose();
		await entry.sender.dispose();
	};

	const createSender = (server: BackendServer, gate: Gate): ServerSender => createServerSender(server, gate, {
		quarantine,
		maxLimitWaitMs: settings.targetWaitMs,
		timeline,
		handleLeaving() {
			if (entries.get(server.id)?.gate === gate) {
				drain(server.id);
			}
		},
	});

	const addServer = (announcement: Announcement): void => {
		const isLeaving = leavingBefore.delete(announcement.id);
		const server: BackendServer = {
			...announcement, startedAt: readNow(), isDraining: isLeaving, ...isLeaving ? {isLeaving} : {},
		};
		const gate = createGate(server.slots, settings);
		if (isLeaving) {
			gate.startDraining();
		}

		entries.set(server.id, {
			server, gate, sender: createSender(server, gate), lastAnnouncedAt: readNow(),
		});
		timeline.record({kind: 'server-announced', server: server.id, service: server.service});
		publish();
	};

	const takeTicket = (attempt: Attempt): Slot | undefined => {
		const ticket = attempt.ticket === undefined ? undefined : tickets.get(attempt.ticket);
		if (ticket !== undefined && attempt.ticket !== undefined) {
			clearTimeout(ticket.timer);
			tickets.delete(attempt.ticket);
		}

		return ticket?.slot;
	};

	const sweepTimer = setInterval(() => {
		const expiredBefore = readNow() - settings.announcementLifeMs;
		for (const [id, entry] of entries) {
			if (entry.lastAnnouncedAt < expiredBefore) {
				withdraw(id, 'it stopped announcing itself');
			}
		}
	}, settings.announcementLifeMs / sweepsPerAnnouncementTtl);

	return {
		announce(announcement) {
			const entry = entries.get(announcement.id);
			const isSame = entry?.server.address === announcement.address && entry.server.service === announcement.service && entry.server.connections === announcement.connections;
			if (entry === undefined) {
				addServer(announcement);
				return;
			}

			if (!isSame) {
				withdraw(announcement.id, 'it announced itself anew');
				addServer(announcement);
				return;
			}

			const hasNewSlots = entry.server.slots !== announcement.slots;
			entries.set(announcement.id, {...entry, lastAnnouncedAt: readNow(), server: {...entry.server, slots: announcement.slots}});
			if (hasNewSlots) {
				entry.gate.setSlots(announcement.slots);
				publish();
			}
		},
		drain,
		drainAll() {
			for (const entry of entries.values()) {
				startDraining(entry, false);
			}
		},
		restoreDrains(ids) {
			for (const id of ids) {
				if (!drain(id)) {
					leavingBefore.add(id);
				}
			}
		},
		withdraw,
		has: id => entries.has(id),
		async send(id, attempt) {
			const entry = entries.get(id);
			const slot = takeTicket(attempt);
			if (entry === undefined) {
				slot?.release();
				return createFailure('not-run', 'no-server', `backend server ${id} does not run beside this node any more`);
			}

			if (attempt.ticket !== undefined && slot === undefined) {
				return createFailure('not-run', 'shed', 'the reserved slot expired before the request body arrived');
			}

			return entry.sender.send(attempt, slot);
		},
		async reserve(id, request) {
			const entry = entries.get(id);
			if (entry === undefined) {
				return err(unknownServerRefusal);
			}

			const refusal = entry.sender.checkLimit(request);
			if (refusal !== undefined) {
				return err({type: 'limited', retryAfterMs: refusal.retryAfterMs});
			}

			const slot: Result<Slot, ReserveRefusal> = await entry.gate.acquire(request);
			return slot.andThen(reserved => {
				const ticket = randomUUID();
				const timer = setTimeout(() => {
					tickets.delete(ticket);
					reserved.release();
				}, ticketTtlMs);
				tickets.set(ticket, {slot: reserved, timer});
				return ok(ticket);
			});
		},
		list: () => [...entries.values()].map(({server, gate}) => ({server, requests: gate.countRequests()})),
		async waitUntilIdle(timeoutMs) {
			const deadline = readNow() + timeoutMs;
			const isIdle = (): boolean => [...entries.values()].every(entry => entry.gate.countRequests() === 0);
			while (!isIdle() && readNow() < deadline) {
				await waitFor(idlePollMs);
			}

			return isIdle();
		},
		async dispose() {
			isClosing = true;
			clearInterval(sweepTimer);
			for (const {timer, slot} of tickets.values()) {
				clearTimeout(timer);
				slot.release();
			}

			await Promise.all([...entries.values()].map(async ({gate, sender}) => {
				gate.dispose();
				await sender.dispose();
			}));
		},
	};
}
