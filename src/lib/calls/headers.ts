/**
 * Names of the mesh's own headers, and helpers that read, filter and copy the
 * headers of a request or response.
 *
 * @module
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type NoticeHeaderNames} from '../server-notices/server-notice.js';
import {type HeaderMap} from './attempt.js';

/** Prefix of every header of the mesh. Headers with this prefix are removed from requests of callers. @internal */
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
	/** Limit of the backend server that the entry knows; absent if it knows of none. */
	knownLimit: 'stonemoor-known-limit',
	/** Name of the entry node; sent only with a known limit. */
	entry: 'stonemoor-entry',
	/** Digest of a body that the entry has buffered; the gate receives the body itself as a stream. */
	bodyDigest: 'stonemoor-body-digest',
	/** The host by which a request was routed; absent if the route accepts any host, as the Host header then names only the contacted node. */
	routedHost: 'stonemoor-routed-host',
} as const;

/** Headers in which backend servers name a limit, or say that they leave. They are passed on to callers. @internal */
export const noticeHeaders: NoticeHeaderNames = {serverLimit: 'server-limit', serverLeaving: 'server-leaving', serverLoad: 'server-load'};

/** Time that is left until the deadline, in milliseconds: callers may send it, backend servers receive it. @public */
export const timeoutHeader = 'request-timeout-ms';

/** Hop-by-hop headers, which apply to a single connection. @internal */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
]);

function listConnectionHeaders(headers: HeaderMap): readonly string[] {
	const {connection} = headers;
	return typeof connection === 'string' ? connection.toLowerCase().split(',').map(name => name.trim()) : [];
}

/**
 * Removes hop-by-hop headers and all headers of the mesh.
 *
 * @param headers - The headers as received.
 * @returns The headers that may be forwarded.
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
 * @returns The value, or `undefined`; several values are joined by commas, as in HTTP.
 * @internal
 */
export function getHeader(headers: HeaderMap | IncomingHttpHeaders, name: string): string | undefined {
	const value = headers[name];
	return typeof value === 'string' || value === undefined ? value : value.join(', ');
}

/**
 * @param headers - Headers.
 * @param name - A lower-case name.
 * @returns The value as a number; `undefined` if the header is absent or its value is not 1 to 15 digits.
 * @internal
 */
export function getNumberHeader(headers: HeaderMap | IncomingHttpHeaders, name: string): number | undefined {
	const text = getHeader(headers, name);
	return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

/**
 * Copies headers into the mutable type that the HTTP libraries expect.
 *
 * @param headers - Headers.
 * @returns A copy, without undefined values.
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
