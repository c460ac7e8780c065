/**
 * Reads and filters the HTTP headers of calls. The names of the headers that callers
 * and backend servers use are configurable, because platforms name them differently.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type HeaderMap} from '../calls/attempt.js';
import {hopByHopHeaders} from '../calls/headers.js';
import {type NoticeHeaderNames} from '../server-notices/server-notice.js';
import {type WorkspaceHeaderNames} from '../workspaces/authenticate-request.js';

/** Names of the headers that callers and backend servers use, in lower case. @internal */
export type CallHeaderNames = NoticeHeaderNames & WorkspaceHeaderNames & {
	/** Id of one attempt by a caller. */
	readonly callId: string;
	/** Milliseconds for which the sender still waits for the response. */
	readonly timeLeft: string;
	/** Id of the backend server that the request is addressed to. */
	readonly expectedServer: string;
	/** Service of the node at which the request entered. */
	readonly callerService: string;
	/** Signature that a backend server adds to its responses; a success without it comes from another process. */
	readonly signature: string;
	/** Set on a response if the backend server did not execute the request. */
	readonly notRun: string;
};

function listConnectionHeaders(connection: string | undefined): readonly string[] {
	return connection === undefined ? [] : connection.toLowerCase().split(',').map(name => name.trim());
}

/**
 * Removes hop-by-hop headers, including the ones that the `connection` header names.
 *
 * @param headers - The headers as received.
 * @param omitted - Names of further headers to remove, in lower case.
 * @returns The headers that may be forwarded, in a new object.
 * @internal
 */
export function removeHopByHopHeaders(headers: IncomingHttpHeaders | HeaderMap, omitted: readonly string[] = []): Record<string, string | string[]> {
	const connectionOptions = listConnectionHeaders(headers.connection as string | undefined);
	const endToEndHeaders: Record<string, string | string[]> = {};
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value !== undefined && !hopByHopHeaders.has(name) && !connectionOptions.includes(name) && !omitted.includes(name)) {
			endToEndHeaders[name] = value as string | string[];
		}
	}

	return endToEndHeaders;
}

/**
 * Reads a header that holds a non-negative decimal number.
 *
 * @param headers - The headers of a request or a response.
 * @param name - The name of the header, in lower case.
 * @returns The number, or `undefined` if the header is missing or holds anything else.
 * @internal
 */
export function getNumberHeader(headers: IncomingHttpHeaders, name: string): number | undefined {
	const value = headers[name];
	if (typeof value !== 'string' || !/^\d{1,12}(\.\d{1,6})?$/.test(value)) {
		return undefined;
	}

	return Number(value);
}

/**
 * Reads a header that has a single value.
 *
 * @param headers - The headers of a request or a response.
 * @param name - The name of the header, in lower case.
 * @returns The value, or `undefined` if the header is missing or a list.
 * @internal
 */
export function getStringHeader(headers: IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' ? value : undefined;
}
