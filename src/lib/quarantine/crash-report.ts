/**
 * One crash of a backend server and what it accuses, as the store keeps it.
 *
 * @module
 */
import {FieldError} from '../common/field-error.js';
import {readList} from '../common/read-input.js';
import {parseFingerprint, type Fingerprint} from './fingerprint.js';
import {type CrashKey, type SuspectRecord} from './suspect-record.js';

/** @internal */
export type CrashReport = {
	readonly crash: CrashKey;
	/** Requests that were in work, and that nothing speaks for. */
	readonly fingerprints: readonly Fingerprint[];
};

/** Requests that a report names at the most: several times what is in work at the largest servers of the users. */
const maxReportedRequests = 64;

/**
 * @param report - A crash.
 * @returns The value of its entry; its key names the crash.
 * @internal
 */
export const encodeCrashReport = ({fingerprints}: CrashReport): string => JSON.stringify(fingerprints.slice(0, maxReportedRequests));

/**
 * @param crash - The name of the crash.
 * @param value - The value of its entry.
 * @param place - Where it stood, for errors.
 * @returns The report.
 * @throws FieldError, or a SyntaxError, when it cannot be read.
 * @internal
 */
export function decodeCrashReport(crash: CrashKey, value: string, place: string): CrashReport {
	const names = readList(JSON.parse(value), place);
	if (names.length > maxReportedRequests) {
		throw new FieldError(place, names.length, `at most ${maxReportedRequests} requests`);
	}

	const fingerprints = names.map((name, index) => {
		const fingerprint = parseFingerprint(name);
		if (fingerprint === undefined) {
			throw new FieldError(`${place}.${index}`, name, 'two digests with a dot between them');
		}

		return fingerprint;
	});
	return {crash, fingerprints};
}

/**
 * @param report - A crash.
 * @returns What it says of each request, as if it had happened now: nobody knows how long ago it was written, and what is older ends by itself.
 * @internal
 */
export const toSuspectRecords = ({crash, fingerprints}: CrashReport): readonly SuspectRecord[] =>
	fingerprints.map(fingerprint => ({
		fingerprint, quietMs: 0, crashes: [crash], cleared: [], repeated: [],
	}));
