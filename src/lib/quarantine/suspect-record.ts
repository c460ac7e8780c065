/**
 * Record of one request that was in flight when servers crashed, in the format of
 * heartbeats and of the store.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {FieldError} from '../common/field-error.js';
import {readAmount, readList} from '../common/read-input.js';
import {toLifetimeKey, type ServerLifetime} from '../common/server-lifetime.js';
import {parseFingerprint, type Fingerprint} from './fingerprint.js';

/** Identifies one crash by the lifetime of the server, so that the crash counts once, however many nodes report it and however often. @internal */
export type CrashKey = string & {readonly __kind: 'CrashKey'};

/** @internal */
export type SuspectRecord = {
	readonly fingerprint: Fingerprint;
	/** Milliseconds since the request was last in flight at a crash or refused. */
	readonly quietMs: number;
	/** Crashes at which the request was in flight and after which no server has answered it. */
	readonly crashes: readonly CrashKey[];
	/** Crashes of which the request was cleared, since a server has answered it. */
	readonly cleared: readonly CrashKey[];
	/** Crashes shortly after which several callers sent the request, without a response from any server. */
	readonly repeated: readonly CrashKey[];
};

/** Characters of a crash key, six bits each. Keys are short since a record contains several. */
const crashKeyLength = 6;

const crashKeyPattern = new RegExp(`^[\\w-]{${crashKeyLength}}$`);

/** Largest number of crashes of each kind in a record. More would not change any decision. @internal */
export const maxCrashes = 8;

/** Longest `quietMs` of a record. Readers limit its effect themselves. */
const maxQuietMs = Number.MAX_SAFE_INTEGER;

/** Unit of `quietMs` in an encoded record. */
const quietUnitMs = 100;

/**
 * @param lifetime - The server that crashed.
 * @returns The key of its crash.
 * @internal
 */
export function computeCrashKey(lifetime: ServerLifetime): CrashKey {
	return createHash('sha256').update(toLifetimeKey(lifetime)).digest('base64url').slice(0, crashKeyLength) as CrashKey;
}

/**
 * @param record - A record.
 * @returns The record as a list, with `quietMs` in units of 100 ms.
 * @internal
 */
export function encodeSuspect({fingerprint, quietMs, crashes, cleared, repeated}: SuspectRecord): readonly unknown[] {
	return [fingerprint, Math.round(quietMs / quietUnitMs), crashes, cleared, repeated];
}

/**
 * @param value - A value from the store.
 * @returns The crash key, or `undefined` if the value is not a crash key.
 * @internal
 */
export function parseCrashKey(value: unknown): CrashKey | undefined {
	return typeof value === 'string' && crashKeyPattern.test(value) ? value as CrashKey : undefined;
}

function readCrashes(value: unknown, place: string): readonly CrashKey[] {
	const keys = readList(value, place);
	if (keys.length > maxCrashes || !keys.every(key => parseCrashKey(key) !== undefined)) {
		throw new FieldError(place, value, `at most ${maxCrashes} crash keys, each of ${crashKeyLength} characters`);
	}

	return keys as readonly CrashKey[];
}

/**
 * @param value - A value from the network.
 * @param place - Location of the value, for error messages.
 * @returns The record.
 * @throws FieldError when it cannot be read.
 * @internal
 */
export function decodeSuspect(value: unknown, place: string): SuspectRecord {
	const [name, quiet, crashes, cleared, repeated = []] = readList(value, place);
	const fingerprint = parseFingerprint(name);
	if (fingerprint === undefined) {
		throw new FieldError(`${place}.fingerprint`, name, 'a fingerprint of two digests joined by a dot');
	}

	return {
		fingerprint, quietMs: readAmount(quiet, `${place}.quiet`, maxQuietMs) * quietUnitMs,
		crashes: readCrashes(crashes, `${place}.crashes`), cleared: readCrashes(cleared, `${place}.cleared`),
		repeated: readCrashes(repeated, `${place}.repeated`),
	};
}
