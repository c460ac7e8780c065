/**
 * Headers of a sidecar's calls. Those that callers and backend servers know are
 * handed in, since platforms differ.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type HeaderMap} from '../calls/attempt.js';
import {hopByHopHeaders} from '../calls/headers.js';

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
};

function listConnectionHeaders(connection: string | undefined): readonly string[] {
	return connection === undefined ? [] : connection.toLowerCase().split(',').map(name => name.trim());
}

/**
 * Drops what belongs to one connection.
 *
 * @param headers - As received.
 * @returns What may be passed on, in a new object.
 * @internal
 */
export function filterCallHeaders(headers: IncomingHttpHeaders | HeaderMap): Record<string, string | string[]> {
	const named = listConnectionHeaders(headers.connection as string | undefined);
	const kept: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name) && !named.includes(name)) {
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
