/**
 * Validates the headers that another node sends with a request or an answer. They
 * are written to callers and backend servers unchanged, so headers that would change
 * the framing of the message are rejected.
 *
 * @module
 */
import {hopByHopHeaders} from '../calls/headers.js';
import {FieldError} from '../common/field-error.js';

/** Headers that may be forwarded. @internal */
export type ForwardedHeaders = Readonly<Record<string, string | readonly string[]>>;

/** Nodes send header names in lower case, so that each header has one spelling. */
const headerNamePattern = /^[a-z\d!#$%&'*+.^_`|~-]+$/;

/**
 * Some versions of the HTTP parser accept header names that other nodes refuse, such as one with a space.
 *
 * @param headers - The headers of a request, with names in lower case.
 * @returns The first name that is not valid; `undefined` if all are.
 * @internal
 */
export function findInvalidHeaderName(headers: Readonly<Record<string, unknown>>): string | undefined {
	return Object.keys(headers).find(name => !headerNamePattern.test(name));
}

/** Matches a character that a value must not contain, because it would end the header line or cannot be encoded. */
const forbiddenCharacter = /[^\t\u0020-\u007E\u0080-\u00FF]/;

const isHeaderValue = (value: unknown): boolean => typeof value === 'string' && !forbiddenCharacter.test(value);

/**
 * Validates headers by name.
 *
 * @param value - Any JSON.
 * @param place - The name of the field, for the error.
 * @returns The headers.
 * @throws FieldError when one of them cannot be forwarded.
 * @internal
 */
export function readHeaders(value: unknown, place: string): ForwardedHeaders {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		throw new FieldError(place, value, 'an object of headers by name');
	}

	const headers = value as Readonly<Record<string, unknown>>;
	for (const name of Object.keys(headers)) {
		const field = headers[name];
		if (!headerNamePattern.test(name)) {
			throw new FieldError(place, name, 'a header name in lower case');
		}

		if (hopByHopHeaders.has(name)) {
			throw new FieldError(place, name, 'an end-to-end header; hop-by-hop headers must be left out');
		}

		if (!isHeaderValue(field) && !(Array.isArray(field) && field.every(one => isHeaderValue(one)))) {
			throw new FieldError(`${place}.${name}`, field, 'a string without line breaks and control characters, or a list of such strings');
		}
	}

	return value as ForwardedHeaders;
}
