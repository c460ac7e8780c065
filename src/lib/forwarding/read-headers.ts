/**
 * Reads the headers that another node sends for a request or an answer. They
 * are written to callers and backend servers as they are, so whatever would
 * frame the bytes behind them in another way is refused.
 *
 * @module
 */
import {hopByHopHeaders} from '../calls/headers.js';
import {FieldError} from '../common/field-error.js';

/** Headers that may be passed on. @internal */
export type PassedHeaders = Readonly<Record<string, string | readonly string[]>>;

/** Nodes send names in lower case, so that one header has one name. */
const fieldName = /^[a-z\d!#$%&'*+.^_`|~-]+$/;

/** What a value must not hold: it would end its line, or cannot be written. */
const forbidden = /[^\t\u0020-\u007E\u0080-\u00FF]/;

const isValue = (value: unknown): boolean => typeof value === 'string' && !forbidden.test(value);

/**
 * @param value - Any JSON.
 * @param place - Where it stands, for the error.
 * @returns The headers.
 * @throws FieldError when one of them cannot be passed on.
 * @internal
 */
export function readHeaders(value: unknown, place: string): PassedHeaders {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		throw new FieldError(place, value, 'headers by name');
	}

	const headers = value as Readonly<Record<string, unknown>>;
	for (const name of Object.keys(headers)) {
		const field = headers[name];
		if (!fieldName.test(name)) {
			throw new FieldError(place, name, 'the name of a header in lower case');
		}

		if (hopByHopHeaders.has(name)) {
			throw new FieldError(place, name, 'a header that does not belong to one connection; leave it out');
		}

		if (!isValue(field) && !(Array.isArray(field) && field.every(one => isValue(one)))) {
			throw new FieldError(`${place}.${name}`, field, 'a text of one line, or a list of such texts');
		}
	}

	return value as PassedHeaders;
}
