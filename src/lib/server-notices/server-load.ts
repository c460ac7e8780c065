/**
 * The load that a backend server reports in the headers of its responses: how many
 * requests it has, and how slow its VM is at the moment.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {type NoticeHeaderNames} from './server-notice.js';

/** A load report of a backend server. @internal */
export type ServerLoadReport = {
	/** Requests that the server executes. */
	readonly running: number;
	/** Requests that wait at the server. */
	readonly waiting: number;
	/** Requests that the server can execute at the same time. */
	readonly slots: number;
	/** How long work takes on the VM at the moment, as a factor of the usual time; `undefined` if the server does not say. */
	readonly slowness: number | undefined;
};

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

const countPattern = /^\d{1,6}$/;

const percentPattern = /^\d{1,6}(?:\.\d{1,6})?$/;

/** The fourth figure for work that takes the usual time. */
const usualPercent = 100;

/** Range of the fourth figure. Beyond a hundred times the usual time in either direction, the figure says nothing about the VM. */
const percentRange = {min: 1, max: 10_000} as const;

/** Longer header values are cut to this many characters in error texts. */
const maxShownLength = 40;

function parseCount(text: string | undefined): number | undefined {
	return text !== undefined && countPattern.test(text) ? Number(text) : undefined;
}

/** Returns the factor, `undefined` if there is no figure, or `'absurd'`. */
function parseSlowness(text: string | undefined): number | undefined | 'absurd' {
	if (text === undefined) {
		return undefined;
	}

	const percent = percentPattern.test(text) ? Number(text) : Number.NaN;
	return percent >= percentRange.min && percent <= percentRange.max ? percent / usualPercent : 'absurd';
}

function parseLoad(text: string): ServerLoadReport | undefined {
	const figures = text.split(',').map(figure => figure.trim());
	const [running, waiting, slots] = figures.slice(0, 3).map(figure => parseCount(figure));
	const slowness = parseSlowness(figures[3]);
	if (figures.length > 4 || running === undefined || waiting === undefined || slots === undefined || slots === 0 || slowness === 'absurd') {
		return undefined;
	}

	return {
		running, waiting, slots, slowness,
	};
}

/**
 * Reads the load report of a response.
 *
 * @param headers - Headers of a response.
 * @param names - The names of the headers.
 * @returns The report, or `undefined` if the response has none; or an error text if the value is not a list of three or four figures in their ranges.
 * @internal
 */
export function readServerLoad(headers: Headers, {serverLoad}: Pick<NoticeHeaderNames, 'serverLoad'>): Result<ServerLoadReport | undefined, string> {
	const value = headers[serverLoad];
	if (value === undefined) {
		return ok(undefined);
	}

	const report = typeof value === 'string' ? parseLoad(value) : undefined;
	return report === undefined
		? err(`${serverLoad}: found ${JSON.stringify(value).slice(0, maxShownLength)}, must be running, waiting and slots as whole numbers, and optionally the slowness in percent, as in 5,0,6,130`)
		: ok(report);
}
