/**
 * Encodes the head of a request to the backend server, and refuses what would change its structure.
 *
 * @module
 */
import {type OutgoingHttpHeaders} from 'node:http';

/** What the head of a request says. @internal */
export type RequestHead = {
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly headers: OutgoingHttpHeaders;
	/** The body that follows; `undefined` if there is none. */
	readonly body: Uint8Array | undefined;
};

/** Methods whose requests usually have no body, so that they need no `content-length: 0`. */
const bodilessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS', 'TRACE']);

/** Characters that would end a header line or the head (header injection). */
const lineBreakPattern = /[\r\n\0]/;

/** Characters allowed in the request target. Any other character would end or split the request line. */
const targetPattern = /^[\u0021-\u00FF]+$/;

const methodPattern = /^[\w!#$%&'*+.^`|~-]+$/;

function encodeField(name: string, value: number | string | readonly string[]): string {
	if (typeof value === 'object') {
		return value.map(item => encodeField(name, item)).join('');
	}

	if (lineBreakPattern.test(name) || lineBreakPattern.test(String(value))) {
		throw new Error(`request header ${JSON.stringify(name)} contains a line break or NUL`);
	}

	return `${name}: ${value}\r\n`;
}

/**
 * Encodes the head of a request.
 *
 * @param request - The request.
 * @returns The head as text, to be sent as Latin-1.
 * @throws If the method, the target or a header would change the structure of the head.
 * @internal
 */
export function encodeRequestHead({method, target, headers, body}: RequestHead): string {
	let fields = '';
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value !== undefined) {
			fields += encodeField(name, value);
		}
	}

	const isEmpty = body === undefined && !bodilessMethods.has(method) && headers['content-length'] === undefined;
	const own = `${isEmpty ? 'content-length: 0\r\n' : ''}connection: keep-alive\r\n`;
	if (!methodPattern.test(method) || !targetPattern.test(target)) {
		throw new Error('request method or target contains a character that is not allowed in a request line');
	}

	return `${method} ${target} HTTP/1.1\r\n${fields}${own}\r\n`;
}
