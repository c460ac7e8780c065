/**
 * Brings a planned fault about, and says what it disturbs.
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
import {type FaultAction, type StoreEvent, type StoreTrouble} from './plan.js';
import {type DisturbedPart} from './record.js';
import {type SoakMesh, type SoakVm} from './soak-mesh.js';

/** What a fault disturbs. */
export type FaultScope = {readonly part: DisturbedPart; readonly node: string | undefined; readonly isPlanned: boolean};

/** Milliseconds that a slow store takes for each call. */
const slowStoreMs = 700;

/** Where nodes keep their entries. */
const entryPrefix = 'stonemoor/nodes/';

/**
 * @param fault - A fault.
 * @returns What it disturbs; `undefined` if it must not disturb anything.
 */
export function findScope(fault: FaultAction): FaultScope | undefined {
	const findNear = (part: DisturbedPart, isPlanned = false): FaultScope => ({part, node: 'node' in fault ? `n${fault.node}` : undefined, isPlanned});
	switch (fault.type) {
		case 'pause':
		case 'kill': {
			return findNear('node');
		}

		case 'stop':
		case 'hang-up': {
			return findNear('node', true);
		}

		case 'store-link': {
			return findNear('store-link');
		}

		case 'store':
		case 'store-event':
		case 'store-restored': {
			return findNear('store');
		}

		case 'server-link':
		case 'server-crash':
		case 'server-slow':
		case 'server-misbehave':
		case 'server-lie':
		case 'server-late':
		case 'server-silent':
		case 'server-drain': {
			return findNear('server');
		}

		case 'foreign-entry':
		case 'foreign-heartbeat':
		case 'foreign-datagram': {
			return undefined;
		}
	}
}

async function spoilStore({store}: SoakMesh, trouble: StoreTrouble, forMs: number): Promise<void> {
	if (trouble === 'deaf') {
		store.setWatchEventsSuppressed(true);
		await sleep(forMs);
		store.setWatchEventsSuppressed(false);
		return;
	}

	const fault: StoreFault = trouble === 'slow' ? 'none' : trouble;
	store.setFault(fault, trouble === 'slow' ? slowStoreMs : 0);
	await sleep(forMs);
	store.setFault('none');
}

async function putStoreBack({store}: SoakMesh, ageMs: number, forMs: number): Promise<void> {
	const copy = store.keys.createBackup();
	await sleep(ageMs);
	store.setFault('silent');
	await sleep(forMs);
	const newest = store.getConfig();
	store.restore(copy);
	store.setFault('none');
	// What the operator had written is written again.
	if (newest !== undefined && newest !== store.getConfig()) {
		store.putConfig(newest);
	}
}

function applyStoreEvent({store}: SoakMesh, event: StoreEvent): void {
	switch (event) {
		case 'leases-end': {
			store.keys.revokeKeys(entryPrefix);
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

const pickValue = (service: string, index: number): string => {
	const values = listInvalidValues(service);
	return values[index % values.length]!;
};

/**
 * Brings a fault about, and waits until it is over.
 *
 * @param mesh - Where.
 * @param fault - The fault.
 */

export async function applyFault(mesh: SoakMesh, fault: FaultAction): Promise<void> {
	const getVm = (index: number): SoakVm => mesh.vms[index]!;
	switch (fault.type) {
		case 'pause': {
			return getVm(fault.node).node.pause(fault.forMs);
		}

		case 'kill': {
			return getVm(fault.node).node.kill(fault.forMs);
		}

		case 'stop': {
			return getVm(fault.node).node.stop(fault.forMs);
		}

		case 'hang-up': {
			return getVm(fault.node).node.hangUp(fault.times, fault.isUnreadable);
		}

		case 'store-link': {
			const {storeLink} = getVm(fault.node);
			storeLink.setMode(fault.mode);
			await sleep(fault.forMs);
			storeLink.setMode('pass');
			return;
		}

		case 'server-link': {
			return getVm(fault.node).server.harmLink(fault.mode, fault.forMs);
		}

		case 'store': {
			return spoilStore(mesh, fault.trouble, fault.forMs);
		}

		case 'store-event': {
			applyStoreEvent(mesh, fault.event);
			return;
		}

		case 'store-restored': {
			return putStoreBack(mesh, fault.ageMs, fault.forMs);
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

		case 'server-lie': {
			return getVm(fault.node).server.lie(fault.forMs);
		}

		case 'server-late': {
			return getVm(fault.node).server.delayHeartbeats(fault.delayMs, fault.forMs);
		}

		case 'server-silent': {
			return getVm(fault.node).server.keepSilent(fault.forMs);
		}

		case 'server-drain': {
			return getVm(fault.node).server.drain(fault.saysDraining, fault.forMs);
		}

		case 'foreign-entry': {
			const value = Buffer.from(pickValue('hall', fault.value)).toString('base64');
			mesh.store.keys.commit({expect: [], writes: [{key: `${entryPrefix}foreign-${fault.value}`, value}], remove: []});
			return;
		}

		case 'foreign-heartbeat': {
			const {node, service} = getVm(fault.node);
			return sendRawHeartbeat(node.announcements, `i-foreign-${fault.value}`, pickValue(service, fault.value));
		}

		case 'foreign-datagram': {
			return sendDatagram(getVm(fault.node).node.gossip, Buffer.from(pickValue('hall', fault.value)));
		}
	}
}
