/**
 * Applies planned faults, and determines which part of the mesh each disturbs.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseAddress} from '../src/lib/common/address.js';
import {toAddress} from '../src/lib/common/ids.js';
import {type StoreFault} from '../stand-ins/platform-store/platform-store.js';
import {listInvalidValues, sendRawHeartbeat} from '../stand-ins/platform-server/server-messages.js';
import {type FaultAction, type StoreEvent, type StoreFaultMode} from './plan.js';
import {type DisturbedPart} from './record.js';
import {type SoakMesh, type SoakVm} from './soak-mesh.js';

/** The part of the mesh that a fault disturbs. `node` is the disturbed node, or the node beside the disturbed server. */
export type FaultScope = {readonly part: DisturbedPart; readonly node: string | undefined; readonly isPlanned: boolean};

/** Latency of each call to a slow store. */
const slowStoreLatencyMs = 700;

/** Prefix of the keys of node entries in the store. */
const nodeEntryPrefix = 'stonemoor/nodes/';

/**
 * Returns what a fault disturbs.
 *
 * @param fault - The fault.
 * @returns Its scope; `undefined` if the fault must have no effect on requests.
 */
export function getFaultScope(fault: FaultAction): FaultScope | undefined {
	const createScope = (part: DisturbedPart, isPlanned = false): FaultScope => ({part, node: 'node' in fault ? `n${fault.node}` : undefined, isPlanned});
	switch (fault.type) {
		case 'pause':
		case 'kill': {
			return createScope('node');
		}

		case 'stop':
		case 'hang-up': {
			return createScope('node', true);
		}

		case 'store-link': {
			return createScope('store-link');
		}

		case 'store':
		case 'store-event':
		case 'store-restored': {
			return createScope('store');
		}

		case 'server-link':
		case 'server-crash':
		case 'server-slow':
		case 'server-limit':
		case 'server-hang':
		case 'server-misbehave':
		case 'server-lie':
		case 'server-late':
		case 'server-silent':
		case 'server-drain': {
			return createScope('server');
		}

		case 'foreign-entry':
		case 'foreign-heartbeat':
		case 'foreign-datagram': {
			return undefined;
		}
	}
}

async function applyStoreFault({store}: SoakMesh, trouble: StoreFaultMode, forMs: number): Promise<void> {
	if (trouble === 'deaf') {
		store.setWatchEventsSuppressed(true);
		await sleep(forMs);
		store.setWatchEventsSuppressed(false);
		return;
	}

	const fault: StoreFault = trouble === 'slow' ? 'none' : trouble;
	store.setFault(fault, trouble === 'slow' ? slowStoreLatencyMs : 0);
	await sleep(forMs);
	store.setFault('none');
}

async function restoreStoreBackup({store}: SoakMesh, ageMs: number, forMs: number): Promise<void> {
	const backup = store.keys.createBackup();
	await sleep(ageMs);
	store.setFault('silent');
	await sleep(forMs);
	const latestConfig = store.getConfig();
	store.restore(backup);
	store.setFault('none');
	// Rewrites the latest configuration, as an operator does after a restore.
	if (latestConfig !== undefined && latestConfig !== store.getConfig()) {
		store.putConfig(latestConfig);
	}
}

function applyStoreEvent({store}: SoakMesh, event: StoreEvent): void {
	switch (event) {
		case 'leases-end': {
			store.keys.revokeKeys(nodeEntryPrefix);
			break;
		}

		case 'history-forgotten': {
			store.keys.compactHistory();
			break;
		}

		case 'watches-muted': {
			store.stallWatchConnections();
			break;
		}
	}
}

async function sendDatagram(address: string, bytes: Uint8Array): Promise<void> {
	const {host, port} = parseAddress(toAddress(address));
	const socket = createSocket('udp4');
	await new Promise(resolve => {
		socket.send(bytes, port, host, resolve);
	});
	socket.close();
}

const pickInvalidValue = (service: string, index: number): string => {
	const values = listInvalidValues(service);
	return values[index % values.length]!;
};

/**
 * Applies a fault, and waits until it is over.
 *
 * @param mesh - The mesh.
 * @param fault - The fault.
 */

export async function applyFault(mesh: SoakMesh, fault: FaultAction): Promise<void> {
	const getVm = (index: number): SoakVm => mesh.vms[index]!;
	switch (fault.type) {
		case 'pause': {
			return getVm(fault.node).node.pause(fault.forMs);
		}

		case 'kill': {
			return getVm(fault.node).node.killAndRestart(fault.forMs);
		}

		case 'stop': {
			return getVm(fault.node).node.stopAndRestart(fault.forMs);
		}

		case 'hang-up': {
			return getVm(fault.node).node.reloadSettings(fault.times, fault.isUnreadable);
		}

		case 'store-link': {
			const {storeLink} = getVm(fault.node);
			storeLink.setMode(fault.mode);
			await sleep(fault.forMs);
			storeLink.setMode('pass');
			return;
		}

		case 'server-link': {
			return getVm(fault.node).server.setLinkMode(fault.mode, fault.forMs);
		}

		case 'store': {
			return applyStoreFault(mesh, fault.trouble, fault.forMs);
		}

		case 'store-event': {
			applyStoreEvent(mesh, fault.event);
			return;
		}

		case 'store-restored': {
			return restoreStoreBackup(mesh, fault.ageMs, fault.forMs);
		}

		case 'server-crash': {
			for (let crashes = 0; crashes < fault.times; crashes++) {
				await getVm(fault.node).server.crash(fault.forMs, fault.keepsId);
				await sleep(fault.forMs);
			}

			return;
		}

		case 'server-slow': {
			return getVm(fault.node).server.slowDown(fault.workMs, fault.forMs);
		}

		case 'server-misbehave': {
			getVm(fault.node).server.misbehave(fault.behaviours);
			return;
		}

		case 'server-limit': {
			return getVm(fault.node).server.nameLimit(fault.perSecond, fault.forMs);
		}

		case 'server-hang': {
			return getVm(fault.node).server.hangWhenFull(fault.forMs);
		}

		case 'server-lie': {
			return getVm(fault.node).server.claimExtraSlots(fault.forMs);
		}

		case 'server-late': {
			return getVm(fault.node).server.delayHeartbeats(fault.delayMs, fault.forMs);
		}

		case 'server-silent': {
			return getVm(fault.node).server.stopHeartbeats(fault.forMs);
		}

		case 'server-drain': {
			return getVm(fault.node).server.drain(fault.saysDraining, fault.forMs);
		}

		case 'foreign-entry': {
			const value = Buffer.from(pickInvalidValue('hall', fault.value)).toString('base64');
			mesh.store.keys.commit({expect: [], writes: [{key: `${nodeEntryPrefix}foreign-${fault.value}`, value}], remove: []});
			return;
		}

		case 'foreign-heartbeat': {
			const {node, service} = getVm(fault.node);
			return sendRawHeartbeat(node.announcementAddress, `i-foreign-${fault.value}`, pickInvalidValue(service, fault.value));
		}

		case 'foreign-datagram': {
			return sendDatagram(getVm(fault.node).node.gossipAddress, Buffer.from(pickInvalidValue('hall', fault.value)));
		}
	}
}
