/**
 * The messages that a backend server of the platform sends to the node beside
 * it, and the platform's readiness check of a node.
 *
 * @module
 */
import {sendCall} from '../../platform/test-mesh.js';

/** A heartbeat: the announcement that a backend server repeats. */
export type ServerHeartbeat = {
	readonly id: string;
	/** When the server started, in Unix milliseconds; omitted by a server that does not state it. */
	readonly born?: number;
	readonly address: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Numbers the heartbeats of the server. */
	readonly sequence: number;
	/** Remaining duration of the server's cold start, in milliseconds. */
	readonly coldMs: number;
};

const acknowledgementTimeoutMs = 1000;

async function sendServerMessage(announcements: string, call: string, id: string, body: string): Promise<boolean> {
	const {status} = await sendCall(announcements, `/v1/rpc?call=${call}&of=${id}`, {method: 'POST', body, disconnectAfterMs: acknowledgementTimeoutMs});
	return status === 200;
}

/**
 * Sends a heartbeat to the node beside the server.
 *
 * @param announcements - `IP:PORT` at which the node accepts announcements.
 * @param heartbeat - The heartbeat.
 * @returns Whether the node acknowledged it before the timeout.
 */
export async function sendHeartbeat(announcements: string, heartbeat: ServerHeartbeat): Promise<boolean> {
	const {id, born, address, service, failureDomain, slots, isDraining, sequence, coldMs} = heartbeat;
	return sendServerMessage(announcements, 'instances.heartbeat', id, JSON.stringify({
		...born === undefined ? {} : {born},
		address,
		info: {
			service, version: 'v1', zone: failureDomain, slots,
		},
		status: {state: isDraining ? 'draining' : 'ready', sequence, 'cold-remaining': `${coldMs}ms`},
	}));
}

/** Sends a heartbeat with any body, as another program might. */
export async function sendRawHeartbeat(announcements: string, id: string, body: string): Promise<void> {
	await sendServerMessage(announcements, 'instances.heartbeat', id, body);
}

/** Sends the leave message of a server. Returns whether the node acknowledged it before the timeout. */
export async function sendLeave(announcements: string, id: string): Promise<boolean> {
	return sendServerMessage(announcements, 'instances.leave', id, '');
}

/** Returns whether a node reports itself ready to the platform's readiness check. */
export async function fetchReadiness(readiness: string): Promise<boolean> {
	const {status} = await sendCall(readiness, '/v1/ready', {disconnectAfterMs: acknowledgementTimeoutMs});
	return status === 200;
}

/**
 * Lists invalid values that another program may write as a store entry or a heartbeat.
 *
 * @param service - A service of the mesh. Values that contain this service are invalid only because of another field.
 * @returns The texts of the values.
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
