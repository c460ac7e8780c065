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
import {createServerSender, type ServerSender} from './server-sender.js';
import {type RunQuarantine} from './run-tracker.js';

/** What a backend server says of itself, again and again. @public */
export type Announcement = Omit<BackendServer, 'startedAt' | 'isDraining'>;

/** @public */
export type LocalServers = {
	readonly announce: (announcement: Announcement) => void;
	/** Gives the server no new work from this moment on. */
	readonly drain: (id: BackendServerId) => boolean;
	readonly drainAll: () => void;
	/** Ends a server's announcement, when it says so or has gone. */
	readonly withdraw: (id: BackendServerId, reason: string) => void;
	readonly has: (id: BackendServerId) => boolean;
	readonly send: (id: BackendServerId, attempt: Attempt) => Promise<AttemptResult>;
	/** Holds a slot for a request whose body is to follow. */
	readonly reserve: (id: BackendServerId, request: SlotRequest) => Promise<Result<string, GateRefusal>>;
	readonly list: () => readonly LocalServer[];
	/** Waits until no request is in work or waiting. */
	readonly waitUntilIdle: (timeoutMs: number) => Promise<boolean>;
	readonly dispose: () => Promise<void>;
};

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

/** A reserved slot whose body does not come is given back after this many milliseconds. */
const ticketTtlMs = 5000;

const sweepsPerAnnouncementTtl = 4;
const idlePollMs = 20;

const unknownServerRefusal: GateRefusal = {type: 'draining', retryAfterMs: 1000};

/**
 * Creates the set of servers beside a node; it is empty until one announces itself.
 *
 * @param settings - Limits of the gates.
 * @param quarantine - Judges what is sent to them.
 * @param timeline - Records who comes and goes.
 * @param handleChange - Told of the servers whenever the mesh should hear of a change.
 * @returns The servers.
 * @internal
 */
export function createLocalServers(settings: AdmissionSettings, quarantine: RunQuarantine, timeline: Timeline, handleChange: (servers: readonly BackendServer[]) => void): LocalServers {
	const entries = new Map<BackendServerId, Entry>();
	const tickets = new Map<string, Ticket>();
	let isClosing = false;

	const publish = (): void => {
		handleChange([...entries.values()].map(entry => entry.server));
	};

	const drain = (id: BackendServerId): boolean => {
		const entry = entries.get(id);
		if (entry === undefined || entry.server.isDraining) {
			return entry !== undefined;
		}

		// The gate closes first: what it turns away has not run, however long the news takes to reach the others.
		entry.gate.startDraining();
		entries.set(id, {...entry, server: {...entry.server, isDraining: true}});
		timeline.record({kind: 'server-draining', server: id});
		publish();
		return true;
	};

	const withdraw = (id: BackendServerId, reason: string): void => {
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

	const addServer = (announcement: Announcement): void => {
		const server: BackendServer = {...announcement, startedAt: readNow(), isDraining: false};
		const gate = createGate(server.slots, settings);
		entries.set(server.id, {
			server, gate, sender: createServerSender(server, gate, quarantine), lastAnnouncedAt: readNow(),
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
			for (const id of entries.keys()) {
				drain(id);
			}
		},
		withdraw,
		has: id => entries.has(id),
		async send(id, attempt) {
			const entry = entries.get(id);
			const slot = takeTicket(attempt);
			if (entry === undefined) {
				slot?.release();
				return createFailure('not-run', 'no-server', `${id} is not beside this node any more`);
			}

			if (attempt.ticket !== undefined && slot === undefined) {
				return createFailure('not-run', 'shed', 'the reserved slot was given back because the body came too late');
			}

			return entry.sender.send(attempt, slot);
		},
		async reserve(id, request) {
			const entry = entries.get(id);
			if (entry === undefined) {
				return err(unknownServerRefusal);
			}

			const slot = await entry.gate.acquire(request);
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
