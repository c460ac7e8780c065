/**
 * What a backend server of the platform says to the node beside it, and what
 * the platform asks a node.
 *
 * @module
 */
import {sendCall} from '../../platform/test-mesh.js';

/** What a backend server says of itself. */
export type ServerHeartbeat = {
	readonly id: string;
	/** Unix milliseconds of its start. */
	readonly born: number;
	readonly address: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly isDraining: boolean;
	readonly sequence: number;
	readonly coldMs: number;
};

/** A heartbeat counts as acknowledged within this time. Milliseconds. */
const acknowledgementTimeoutMs = 1000;

async function sendServerMessage(announcements: string, call: string, id: string, body: string): Promise<boolean> {
	const {status} = await sendCall(announcements, `/v1/rpc?call=${call}&of=${id}`, {method: 'POST', body, leaveAfterMs: acknowledgementTimeoutMs});
	return status === 200;
}

/**
 * @param announcements - Where the node listens.
 * @param heartbeat - What is said.
 * @returns Whether it was acknowledged in time.
 */
export async function sendHeartbeat(announcements: string, heartbeat: ServerHeartbeat): Promise<boolean> {
	const {id, born, address, service, failureDomain, slots, isDraining, sequence, coldMs} = heartbeat;
	return sendServerMessage(announcements, 'instances.heartbeat', id, JSON.stringify({
		born,
		address,
		info: {
			service, version: 'v1', zone: failureDomain, slots,
		},
		status: {state: isDraining ? 'draining' : 'ready', sequence, 'cold-remaining': `${coldMs}ms`},
	}));
}

/** Sends a heartbeat of another writer: any bytes. */
export async function sendRawHeartbeat(announcements: string, id: string, body: string): Promise<void> {
	await sendServerMessage(announcements, 'instances.heartbeat', id, body);
}

/** Says that a server leaves; yields whether it was acknowledged in time. */
export async function sendLeave(announcements: string, id: string): Promise<boolean> {
	return sendServerMessage(announcements, 'instances.leave', id, '');
}

/** Asks a node whether it is ready, as the platform does. */
export async function fetchReadiness(readiness: string): Promise<boolean> {
	const {status} = await sendCall(readiness, '/v1/ready', {leaveAfterMs: acknowledgementTimeoutMs});
	return status === 200;
}

/**
 * Values that another writer may leave in an entry or a heartbeat.
 *
 * @param service - A service of the mesh, so that only the rest is wrong.
 * @returns Their texts.
 */
export function listInvalidValues(service: string): readonly string[] {
	const info = {
		service, version: 'v1', zone: 'a', slots: 4,
	};
	const status = {state: 'ready', sequence: 1, 'cold-remaining': '0ms'};
	return [
		'',
		'{',
		'null',
		'[]',
		'"text"',
		'\uFFFD\u0000\u0001',
		'127.0.0.1:9',
		'no address',
		JSON.stringify({address: 7, info, status}),
		JSON.stringify({address: '127.0.0.1:9', info}),
		JSON.stringify({address: '127.0.0.1:9', info: {...info, service: 'nobody'}, status}),
		JSON.stringify({address: '127.0.0.1:9', info: {...info, slots: 'many'}, status}),
		JSON.stringify({address: '127.0.0.1:9', info, status: {...status, state: 'thinking'}}),
		JSON.stringify({address: '127.0.0.1:9', info, status: {...status, sequence: -1}}),
		JSON.stringify({
			born: 'yesterday', address: '127.0.0.1:9', info: {...info, service: 'nobody'}, status,
		}),
	];
}
