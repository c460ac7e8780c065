/**
 * One VM of a loaded mesh: a node, the backend server beside it, and the links of its callers.
 *
 * @module
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {type PlatformStore} from '../../stand-ins/platform-store/platform-store.js';
import {sendHeartbeat, sendLeave} from '../../stand-ins/platform-server/server-messages.js';
import {waitUntil} from '../../stand-ins/wait-until.js';
import {startLinkProxy, type LinkMode} from '../link-proxy.js';
import {startSoakNode, type SoakNode} from '../soak-node.js';
import {createLinkWatch, type FindConnection} from './connection-watch.js';
import {type LoadedCall} from './loaded-callers.js';
import {type LoadedRun} from './loaded-run.js';
import {startLoadedServer, type LoadedServer} from './loaded-server.js';
import {gatePort, peerLinkPort} from './peer-links.js';
import {clockStepVariable} from './preloads/clock-step-variable.js';
import {startStranger} from './stranger.js';

/** How a server leaves. */
export type Departure = {
	/** Whether it announces that it drains before it announces its leave. */
	readonly saysDraining: boolean;
	/** How long it serves after that was acknowledged, in milliseconds. */
	readonly servesMs: number;
	/** Whether its node is stopped as soon as it has ended, as when a VM is taken away. */
	readonly stopsNode: boolean;
};

/** How a server ends without notice. */
export type Crash = {
	/** Whether it keeps its connections but no longer answers. */
	readonly isSilent: boolean;
	/** Whether its address is used by a server of another service until the next server starts. */
	readonly isAddressReused: boolean;
	/** Time until the next server starts, in milliseconds. */
	readonly downMs: number;
};

/** What the soak can disturb beside processes and servers. */
export type VmControls = {
	/** Whether the node reaches the store over a link that can be disturbed. */
	readonly hasStoreLink: boolean;
	/** Whether other nodes reach the node over such a link. */
	readonly hasPeerLink: boolean;
	/** Step of the clock in milliseconds when the soak asks for it; `undefined` if it does not. */
	readonly clockStepMs: number | undefined;
};

export type LoadedVm = {
	readonly node: SoakNode;
	/** Address of the link over which callers reach the node. */
	readonly callerAddress: string;
	/** Finds the connection to the node that the link made for a caller's socket. */
	readonly findConnection: FindConnection;
	readonly getServer: () => LoadedServer | undefined;
	/** Whether the platform gives the callers of this VM new work. */
	readonly isOfferedWork: () => boolean;
	/** Lets the server leave in order, and starts another one. */
	readonly replaceServer: (departure: Departure) => Promise<void>;
	/** Lets the server end without notice, and starts another one. */
	readonly crashServer: (crash: Crash) => Promise<void>;
	/** Sets how the link between the node and the store behaves. Without such a link, nothing happens. */
	readonly setStoreLinkMode: (mode: LinkMode) => void;
	/** Sets how the link from other nodes to this one behaves. Without such a link, nothing happens. */
	readonly setPeerLinkMode: (mode: LinkMode) => void;
	readonly close: () => Promise<void>;
};

/** What a VM needs. */
export type LoadedVmContext = {
	readonly store: PlatformStore;
	readonly folder: string;
	readonly name: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly host: string;
	readonly slots: number;
	readonly random: () => number;
	readonly runs: LoadedRun[];
	/** Names of the faults of answers that all servers have at present. */
	readonly answerFaultNames: ReadonlySet<string>;
	/** What the soak can disturb beside processes and servers. */
	readonly controls: VmControls;
	/** Called with each call of a server that has ended. */
	readonly handleCall: (call: LoadedCall) => void;
};

/** Modules that are loaded into a node process before its program. */
const connectOverLinksFile = new URL('preloads/connect-over-links.js', import.meta.url).href;
const stepClockFile = new URL('preloads/step-clock.js', import.meta.url).href;

/** One way latency to callers. */
const callerLatencyMs = 8;

/** Time that a node has to end after SIGTERM. */
const graceMs = 6000;

const retrySlack = 62;

const heartbeatIntervalMs = 870;

const readinessIntervalMs = 1000;

/** Readiness checks in a row without success after which callers get no new work. */
const maxMissedChecks = 2;

/** How long after its leave a server waits for the requests that it works on. */
const finishTimeoutMs = 3000;

const acknowledgementTimeoutMs = 5000;

/** Time between the end of a process and the start of the next. */
const restartDelayMs = 300;

/**
 * Starts a VM.
 *
 * @param context - What it needs.
 * @returns The VM. Its node may not be ready yet.
 */
export async function startLoadedVm(context: LoadedVmContext): Promise<LoadedVm> {
	const {store, folder, name, service, failureDomain, host, slots, random, runs, answerFaultNames, controls, handleCall} = context;
	const {hasStoreLink, hasPeerLink, clockStepMs} = controls;
	const storeLinkAddress = `${host}:7021`;
	const storeLink = hasStoreLink ? await startLinkProxy(storeLinkAddress, store.address) : undefined;
	const node = startSoakNode({
		name, failureDomain, service, host, storeAddress: hasStoreLink ? storeLinkAddress : store.address, graceMs, retrySlack,
	}, folder, {
		preloads: [...hasPeerLink ? [connectOverLinksFile] : [], ...clockStepMs === undefined ? [] : [stepClockFile]],
		environment: clockStepMs === undefined ? {} : {[clockStepVariable]: String(clockStepMs)},
	});
	const peerLink = hasPeerLink ? await startLinkProxy(`${host}:${peerLinkPort}`, `${host}:${gatePort}`) : undefined;
	const callerAddress = `${host}:7020`;
	const {findConnection, handleConnection} = createLinkWatch();
	const link = await startLinkProxy(callerAddress, node.callerAddress, callerLatencyMs, handleConnection);
	link.setMode('delay');
	let server: LoadedServer | undefined;
	let servers = 0;
	let sequence = 0;
	let isDraining = false;
	let hasLeft = false;
	let isClosed = false;
	let missedChecks = 0;

	const announce = async (): Promise<boolean> => {
		sequence++;
		return server === undefined || sendHeartbeat(node.announcementAddress, {
			id: server.id, address: server.address, service, failureDomain, slots, isDraining, sequence, coldMs: 0,
		});
	};

	const startServer = async (): Promise<void> => {
		servers++;
		isDraining = false;
		hasLeft = false;
		server = await startLoadedServer(`i-${name}-${servers}`, host, {
			node: name, slots, random, callAddress: node.callerAddress, runs, answerFaultNames, handleCall,
		});
		await announce();
	};

	const announcePeriodically = async (): Promise<void> => {
		while (!isClosed) {
			await sleep(heartbeatIntervalMs);
			if (!hasLeft) {
				await announce();
			}
		}
	};

	const checkReadiness = async (): Promise<void> => {
		while (!isClosed) {
			await sleep(readinessIntervalMs);
			missedChecks = await node.isReady() ? 0 : missedChecks + 1;
		}
	};

	await startServer();
	void announcePeriodically();
	void checkReadiness();
	return {
		node,
		callerAddress,
		findConnection,
		getServer: () => server,
		isOfferedWork: () => missedChecks < maxMissedChecks,
		async replaceServer({saysDraining, servesMs, stopsNode}) {
			const leaving = server;
			if (leaving === undefined || hasLeft || isDraining) {
				return;
			}

			leaving.startLeaving();
			isDraining = saysDraining;
			hasLeft = !saysDraining;
			await waitUntil(async () => saysDraining ? announce() : sendLeave(node.announcementAddress, leaving.id), acknowledgementTimeoutMs);
			await sleep(servesMs);
			if (saysDraining) {
				hasLeft = true;
				await sendLeave(node.announcementAddress, leaving.id);
			}

			await waitUntil(() => leaving.countInFlight() === 0, finishTimeoutMs, 1);
			server = undefined;
			void leaving.close();
			if (stopsNode) {
				await node.stopAndRestart(restartDelayMs);
			}

			if (!isClosed) {
				await startServer();
			}
		},
		async crashServer({isSilent, isAddressReused, downMs}) {
			const crashed = server;
			if (crashed === undefined || hasLeft || isDraining) {
				return;
			}

			hasLeft = true;
			server = undefined;
			crashed.crash(isSilent);
			const stranger = isAddressReused ? await startStranger(crashed.address) : undefined;
			await sleep(downMs);
			await crashed.close();
			await stranger?.close();
			if (!isClosed) {
				await startServer();
			}
		},
		setStoreLinkMode(mode) {
			storeLink?.setMode(mode);
		},
		setPeerLinkMode(mode) {
			peerLink?.setMode(mode);
		},
		async close() {
			isClosed = true;
			await node.close();
			await server?.close();
			await link.close();
			await storeLink?.close();
			await peerLink?.close();
		},
	};
}
