/**
 * Converts the target of a request to the form that routes and backend servers know. Clients that
 * take a server for a proxy name the scheme and the host in the target; RFC 9112 requires a server to accept that.
 *
 * @module
 */
import {type IncomingMessage} from 'node:http';

/** A target with a scheme and a host, and what follows them. */
const absoluteTarget = /^https?:\/\/([^/?#]+)(.*)$/i;

/**
 * Replaces an absolute target of a request by its path and query, and the `Host` header by the host of the target, which goes before it. Other targets stay.
 *
 * @param request - The request.
 * @internal
 */
export function normalizeTarget(request: IncomingMessage): void {
	const [, host, path] = request.url?.startsWith('/') === false ? absoluteTarget.exec(request.url) ?? [] : [];
	if (host === undefined || path === undefined) {
		return;
	}

	request.headers.host = host;
	request.url = path.startsWith('/') ? path : `/${path}`;
}
