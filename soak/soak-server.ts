/**
 * The backend server beside a node of a soak: it announces itself, crashes,
 * comes back under its id or another, and leaves.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {startPlatformServer, type PlatformServerBehaviour, type PlatformServer} from '../stand-ins/platform-server/platform-server.js';
import {sendHeartbeat, sendLeave} from '../stand-ins/platform-server/server-messages.js';
import {startLinkProxy, type LinkMode} from './link-proxy.js';
import {type DrainRecord, type RunRecord} from './record.js';
import {type SoakNode} from './soak-node.js';
import {type Service} from './soak-config.js';

export type SoakServer = {
	readonly listRuns: () => readonly RunRecord[];
	readonly listDrains: () => readonly DrainRecord[];
	/** Runs of the server that is there now. */
	readonly countRunsSince: (at: number) => number;
	readonly crash: (downMs: number, keepsId: boolean) => Promise<void>;
	readonly drain: (saysDraining: boolean, downMs: number) => Promise<void>;
	readonly slowDown: (workMs: number, forMs: number) => Promise<void>;
	readonly misbehave: (behaviours: readonly PlatformServerBehaviour[]) => void;
	readonly lie: (forMs: number) => Promise<void>;
	readonly delayHeartbeats: (delayMs: number, forMs: number) => Promise<void>;
	readonly keepSilent: (forMs: number) => Promise<void>;
	readonly harmLink: (mode: LinkMode, forMs: number) => Promise<void>;
	readonly close: () => Promise<void>;
};

/** One start of the server. */
type Incarnation = {
	readonly id: string;
	readonly born: number;
	readonly wire: PlatformServer;
	drainAckedAt: number | undefined;
	isDraining: boolean;
	/** It withdrew, and says nothing more. */
	hasLeft: boolean;
	sequence: number;
};

/** Requests that the server works on at once. */
const slots = 4;

/** Slots that a server which lies claims to have. */
const claimedSlots = 32;

/** Milliseconds of work for a request when the server is well. */
const usualWorkMs = 20;

/** Milliseconds between two heartbeats. */
const heartbeatMs = 1000;

/** For how long a server goes on serving after its draining was acknowledged. Milliseconds. */
const drainMs = 2500;

/** How long a server tries to have its draining acknowledged, and how long it waits for requests at work at its end. Milliseconds. */
const patienceMs = 5000;
const pollMs = 50;

/** For how long a server says that it stays slow after its start. Milliseconds. */
const coldMs = 0;

/**
 * Starts a server and the link to it.
 *
 * @param node - The node beside it.
 * @param service - Its service.
 * @returns The server.
 */
export async function startSoakServer(node: SoakNode, service: Service): Promise<SoakServer> {
	const address = `${node.place.host}:7011`;
	const link = await startLinkProxy(address);
	const incarnations: Incarnation[] = [];
	let current: Incarnation | undefined;
	let names = 0;
	let isLying = false;
	let isSilent = false;
	let lateMs = 0;
	let isClosed = false;

	const createNextId = (): string => {
		names++;
		return `i-${node.name}-${names}`;
	};

	const describe = ({id, born}: Incarnation): string => `${id}@${born}`;

	const announce = async (own: Incarnation): Promise<boolean> => {
		own.sequence++;
		const heartbeat = {
			id: own.id, born: own.born, address, service, failureDomain: node.place.failureDomain, slots: isLying ? claimedSlots : slots,
			isDraining: own.isDraining, sequence: own.sequence, coldMs,
		};
		await sleep(lateMs);
		const isAcknowledged = await sendHeartbeat(node.announcements, heartbeat);
		if (isAcknowledged && heartbeat.isDraining) {
			own.drainAckedAt ??= Date.now();
		}

		return isAcknowledged;
	};

	/** Heartbeats do not wait for one another: late ones may overtake. */
	const announceOften = async (own: Incarnation): Promise<void> => {
		while (current === own && !own.hasLeft && !isClosed) {
			if (!isSilent) {
				void announce(own);
			}

			await sleep(heartbeatMs);
		}
	};

	const start = async (id: string): Promise<void> => {
		const wire = await startPlatformServer(id);
		wire.setWorkMs(usualWorkMs);
		wire.setSlots(slots);
		current = {
			id, born: Date.now(), wire, drainAckedAt: undefined, isDraining: false, hasLeft: false, sequence: 0,
		};
		incarnations.push(current);
		link.setTarget(wire.address);
		void announceOften(current);
	};

	const end = async (own: Incarnation): Promise<void> => {
		current = undefined;
		link.setTarget(undefined);
		await own.wire.close();
	};

	const startAgain = async (id: string, downMs: number): Promise<void> => {
		await sleep(downMs);
		if (!isClosed) {
			await start(id);
		}
	};

	/** Repeats a word until the node has acknowledged it. */
	const retry = async (say: () => Promise<boolean>): Promise<void> => {
		const due = Date.now() + patienceMs;
		while (Date.now() < due && !(await say())) {
			await sleep(pollMs);
		}
	};

	const leave = async (own: Incarnation): Promise<boolean> => {
		own.hasLeft = true;
		const isAcknowledged = await sendLeave(node.announcements, own.id);
		if (isAcknowledged) {
			own.drainAckedAt ??= Date.now();
		}

		return isAcknowledged;
	};

	const changeFor = async (forMs: number, change: (isOn: boolean) => void): Promise<void> => {
		change(true);
		await sleep(forMs);
		change(false);
	};

	await start(createNextId());
	return {
		listRuns: () => incarnations.flatMap(own => own.wire.runs.map(run => ({
			...run, server: describe(own), service, node: node.name,
		}))),
		listDrains: () => incarnations.flatMap(own => own.drainAckedAt === undefined ? [] : [{server: describe(own), node: node.name, ackedAt: own.drainAckedAt}]),
		countRunsSince: at => current?.wire.runs.filter(run => run.at >= at).length ?? 0,
		async crash(downMs, keepsId) {
			const own = current;
			// A server whose leaving was said does not come back as itself.
			if (own === undefined || own.isDraining || own.hasLeft) {
				return;
			}

			await end(own);
			await startAgain(keepsId ? own.id : createNextId(), downMs);
		},
		async drain(saysDraining, downMs) {
			const own = current;
			if (own === undefined || own.isDraining || own.hasLeft) {
				return;
			}

			own.isDraining = saysDraining;
			await retry(async () => saysDraining ? announce(own) : leave(own));
			await sleep(drainMs);
			if (saysDraining) {
				await leave(own);
			}

			const due = Date.now() + patienceMs;
			while (own.wire.countInFlight() > 0 && Date.now() < due) {
				await sleep(pollMs);
			}

			await end(own);
			await startAgain(createNextId(), downMs);
		},
		async slowDown(workMs, forMs) {
			const own = current;
			await changeFor(forMs, isOn => {
				own?.wire.setWorkMs(isOn ? workMs : usualWorkMs);
			});
		},
		misbehave(behaviours) {
			current?.wire.planBehaviours(...behaviours);
		},
		async lie(forMs) {
			await changeFor(forMs, isOn => {
				isLying = isOn;
			});
		},
		async delayHeartbeats(delayMs, forMs) {
			await changeFor(forMs, isOn => {
				lateMs = isOn ? delayMs : 0;
			});
		},
		async keepSilent(forMs) {
			await changeFor(forMs, isOn => {
				isSilent = isOn;
			});
		},
		async harmLink(mode, forMs) {
			await changeFor(forMs, isOn => {
				link.setMode(isOn ? mode : 'pass');
			});
		},
		async close() {
			isClosed = true;
			if (current !== undefined) {
				await end(current);
			}

			await link.close();
		},
	};
}
