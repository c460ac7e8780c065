/**
 * One crash of a backend server and the requests suspected of it, in the format of the store.
 *
 * @module
 */
import {FieldError} from '../common/field-error.js';
import {readList} from '../common/read-input.js';
import {parseShallowJson} from '../common/parse-shallow-json.js';
import {parseFingerprint, type Fingerprint} from './fingerprint.js';
import {type CrashKey, type SuspectRecord} from './suspect-record.js';

/** @internal */
export type CrashReport = {
	readonly crash: CrashKey;
	/** Requests that were in flight at the crash, without the ones that were answered shortly before. */
	readonly fingerprints: readonly Fingerprint[];
};

/** Largest number of requests in a report: several times the requests in flight at the largest servers of the users. */
const maxReportedRequests = 64;

/**
 * @param report - A crash report.
 * @returns The value of its store entry. The crash itself is in the key.
 * @internal
 */
export const encodeCrashReport = ({fingerprints}: CrashReport): string => JSON.stringify(fingerprints.slice(0, maxReportedRequests));

/**
 * @param crash - Key of the crash.
 * @param value - The value of its store entry.
 * @param place - Location of the value, for error messages.
 * @returns The report.
 * @throws FieldError, or a SyntaxError, when it cannot be read.
 * @internal
 */
export function decodeCrashReport(crash: CrashKey, value: string, place: string): CrashReport {
	const names = readList(parseShallowJson(value, place), place);
	if (names.length > maxReportedRequests) {
		throw new FieldError(place, names.length, `at most ${maxReportedRequests} requests`);
	}

	const fingerprints = names.map((name, index) => {
		const fingerprint = parseFingerprint(name);
		if (fingerprint === undefined) {
			throw new FieldError(`${place}.${index}`, name, 'a fingerprint of two digests joined by a dot');
		}

		return fingerprint;
	});
	return {crash, fingerprints};
}

/**
 * @param report - A crash report.
 * @returns A record for each request, with the crash dated to now: the age of a report is unknown, and its store entry expires by itself.
 * @internal
 */
export const toSuspectRecords = ({crash, fingerprints}: CrashReport): readonly SuspectRecord[] =>
	fingerprints.map(fingerprint => ({
		fingerprint, quietMs: 0, crashes: [crash], cleared: [], repeated: [],
	}));
