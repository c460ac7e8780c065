/**
 * Headers that the mesh uses, and those that must not pass from one connection
 * to the next.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type HeaderMap} from './attempt.js';

/** Every header of the mesh begins with this; callers cannot send one. @internal */
export const meshHeaderPrefix = 'stonemoor-';

/** @internal */
export const meshHeaders = {
	verdict: 'stonemoor-verdict',
	call: 'stonemoor-call',
	reason: 'stonemoor-reason',
	detail: 'stonemoor-detail',
	server: 'stonemoor-server',
	workClass: 'stonemoor-work-class',
	ticket: 'stonemoor-ticket',
	load: 'stonemoor-load',
	serverMicroseconds: 'stonemoor-server-us',
	retryAfterMs: 'stonemoor-retry-after-ms',
	answeredBy: 'stonemoor-answered-by',
	eventTime: 'stonemoor-event-time',
	/** Stands for a body that the entry holds; the gate reads it as a stream. */
	bodyDigest: 'stonemoor-body-digest',
	/** The host by which a request was routed; missing if any host would do, as where callers name a node. */
	routedHost: 'stonemoor-routed-host',
} as const;

/** The time that is left, in milliseconds: callers may send it, backend servers receive it. @public */
export const timeoutHeader = 'request-timeout-ms';

/** Headers that belong to one connection. @internal */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

function listConnectionHeaders(headers: HeaderMap): readonly string[] {
	const {connection} = headers;
	return typeof connection === 'string' ? connection.toLowerCase().split(',').map(name => name.trim()) : [];
}

/**
 * Drops what belongs to one connection, and every header of the mesh.
 *
 * @param headers - As received.
 * @returns What may be passed on.
 * @internal
 */
export function filterForwardableHeaders(headers: IncomingHttpHeaders | HeaderMap): HeaderMap {
	const named = listConnectionHeaders(headers);
	return Object.fromEntries(Object.entries(headers).filter(([name, value]) =>
		value !== undefined && !hopByHopHeaders.has(name) && !named.includes(name) && !name.startsWith(meshHeaderPrefix)));
}

/**
 * @param headers - Headers.
 * @param name - A lower-case name.
 * @returns The value, or `undefined`; several values are joined as HTTP does.
 * @internal
 */
export function getHeader(headers: HeaderMap | IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' || value === undefined ? value : value.join(', ');
}

/**
 * @param headers - Headers.
 * @param name - A lower-case name.
 * @returns The value as a number, or `undefined` if it is none.
 * @internal
 */
export function getNumberHeader(headers: HeaderMap | IncomingHttpHeaders, name: string): number | undefined {
	const text = getHeader(headers, name);
	return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

/**
 * Hands headers to the HTTP library, whose lists may be written to.
 *
 * @param headers - Headers.
 * @returns A copy.
 * @internal
 */
export function toOutgoingHeaders(headers: HeaderMap): Record<string, string | string[]> {
	const copy: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined) {
			copy[name] = typeof value === 'string' ? value : [...value];
		}
	}

	return copy;
}
