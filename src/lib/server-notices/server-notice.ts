/**
 * What a backend server says about itself in the headers of its responses: the
 * rate of requests that it takes, and whether it is leaving.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';

/** Names of the headers, in lower case. @internal */
export type NoticeHeaderNames = {
	/** Requests per second that the server takes from all nodes together, as a decimal number. */
	readonly serverLimit: string;
	/** `1` if the server is leaving. */
	readonly serverLeaving: string;
	/** The load of the server: running, waiting and slots, and optionally its slowness in percent, separated by commas. */
	readonly serverLoad: string;
};

/** @internal */
export type ServerNotice = {
	/** Requests per second that the server takes from all nodes together; `undefined` if it names no limit. */
	readonly limitPerSecond: number | undefined;
	readonly isLeaving: boolean;
};

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

const decimalPattern = /^(?:\d{1,12}(?:\.\d{0,12})?|\.\d{1,12})$/;

/** Longer header values are cut to this many characters in error texts. */
const maxShownLength = 40;

/**
 * Returns whether a response says that its server is leaving.
 *
 * @param headers - Headers of a response.
 * @param names - The names of the headers.
 * @returns Whether the server is leaving.
 * @internal
 */
export const isLeavingNotice = (headers: Headers, {serverLeaving}: Pick<NoticeHeaderNames, 'serverLeaving'>): boolean => headers[serverLeaving] === '1';

/**
 * Reads the limit that a response names.
 *
 * @param headers - Headers of a response.
 * @param names - The names of the headers.
 * @returns Requests per second, or `undefined` if the response names none; or an error text if the value is not a decimal number of 0 or more.
 * @internal
 */
export function readServerLimit(headers: Headers, {serverLimit}: Pick<NoticeHeaderNames, 'serverLimit'>): Result<number | undefined, string> {
	const value = headers[serverLimit];
	if (value === undefined) {
		return ok(undefined);
	}

	const text = typeof value === 'string' ? value.trim() : '';
	return decimalPattern.test(text)
		? ok(Number(text))
		: err(`${serverLimit}: found ${JSON.stringify(value).slice(0, maxShownLength)}, must be a decimal number of 0 or more, as in 23.4`);
}
