/**
 * Headers of a sidecar's calls. Those that callers and backend servers know are
 * handed in, since platforms differ; those between nodes are its own.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type HeaderMap} from '../calls/attempt.js';
import {toBackendServerId, type BackendServerId} from '../common/ids.js';
import {hopHeaders} from '../calls/headers.js';

/** What the headers that callers and backend servers know are called, in lower case. @internal */
export type WireHeaders = {
	/** Id of one attempt of a caller. */
	readonly callId: string;
	/** Milliseconds that whoever asks will still wait. */
	readonly timeLeft: string;
	/** Which backend server is meant. */
	readonly expectedServer: string;
	/** Service beside which a request began. */
	readonly callerService: string;
	/** Proof that a backend server made the answer. */
	readonly signature: string;
	/** Says that the backend server did not run the request. */
	readonly notRun: string;
	/** Which backend server answers. */
	readonly serverId: string;
};

/** Between nodes. */
const peerPrefix = 'x-mesh-';

/** One header each way: every header costs bytes between failure domains, and processor time on both sides. @internal */
export const peerHeaders = {
	/** What a node says of a request that it hands to a gate. */
	call: 'x-mesh-call',
	/** What the gate says of its answer. */
	result: 'x-mesh-result',
} as const;

/** What a node says of a request that it hands to a gate. @internal */
export type PeerCall = {
	readonly server: BackendServerId;
	readonly callerService: string;
	/** 0 goes first. */
	readonly rank: number;
	/** Milliseconds until the caller gives up. */
	readonly leftMs: number;
	/** Milliseconds that it may be expected to wait for a slot. */
	readonly mayWaitMs: number;
};

/**
 * @param call - What the gate is told.
 * @returns The header's value.
 * @internal
 */
export function encodePeerCall({server, callerService, rank, leftMs, mayWaitMs}: PeerCall): string {
	return `${server} ${callerService} ${rank} ${Math.max(0, leftMs).toFixed(1)} ${Math.max(0, mayWaitMs).toFixed(1)}`;
}

/**
 * @param text - The header's value.
 * @returns What the gate is told, or `undefined` if the text says nothing of the kind.
 * @internal
 */
export function decodePeerCall(text: string | undefined): PeerCall | undefined {
	const [server = '', callerService = '', ...amounts] = (text ?? '').split(' ');
	const [rank, leftMs, mayWaitMs] = amounts.map(Number);
	if (server === '' || rank === undefined || leftMs === undefined || mayWaitMs === undefined || !Number.isFinite(rank + leftMs + mayWaitMs)) {
		return undefined;
	}

	return {
		server: toBackendServerId(server), callerService, rank, leftMs, mayWaitMs,
	};
}

function listConnectionHeaders(connection: string | undefined): readonly string[] {
	return connection === undefined ? [] : connection.toLowerCase().split(',').map(name => name.trim());
}

/**
 * Drops what belongs to one connection and what only nodes may say.
 *
 * @param headers - As received.
 * @returns What may be passed on, in a new object.
 * @internal
 */
export function filterCallHeaders(headers: IncomingHttpHeaders | HeaderMap): Record<string, string | string[]> {
	const named = listConnectionHeaders(headers.connection as string | undefined);
	const kept: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopHeaders.has(name) && !name.startsWith(peerPrefix) && !named.includes(name)) {
			kept[name] = value as string | string[];
		}
	}

	return kept;
}

/**
 * @param headers - Headers.
 * @param name - A lower-case name.
 * @returns The value as a number that is not negative, or `undefined`.
 * @internal
 */
export function getAmount(headers: IncomingHttpHeaders, name: string): number | undefined {
	const value = headers[name];
	if (typeof value !== 'string' || !/^\d{1,12}(\.\d{1,6})?$/.test(value)) {
		return undefined;
	}

	return Number(value);
}

/**
 * @param headers - Headers.
 * @param name - A lower-case name.
 * @returns The value if it is one text, else `undefined`.
 * @internal
 */
export function getText(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' ? value : undefined;
}
