/**
 * What is known of one request that was in work when servers crashed, as nodes
 * tell it to one another and as the store keeps it.
 *
 * @module
 */
import {createHash} from 'node:crypto';
import {FieldError} from '../common/field-error.js';
import {readAmount, readList} from '../common/read-input.js';
import {toLifetimeKey, type ServerLifetime} from '../common/server-lifetime.js';
import {parseFingerprint, type Fingerprint} from './fingerprint.js';

/** Names one crash, by the lifetime of the server that ended: whoever tells of it, and however often, it counts once. @internal */
export type CrashKey = string & {readonly __kind: 'CrashKey'};

/** @internal */
export type SuspectRecord = {
	readonly fingerprint: Fingerprint;
	/** Milliseconds since it last crashed a server or was refused. */
	readonly quietMs: number;
	/** Crashes at which it was in work, and after which no server has answered it. */
	readonly crashes: readonly CrashKey[];
	/** Crashes of which it was cleared, since a server answered it. */
	readonly cleared: readonly CrashKey[];
	/** Crashes right after which several callers asked for it, without an answer from any server. */
	readonly repeated: readonly CrashKey[];
};

/** Characters of a crash's name, six bits each: a record holds a few of them. */
const crashKeyLength = 6;

const crashKeyPattern = new RegExp(`^[\\w-]{${crashKeyLength}}$`);

/** Crashes of each kind that a record holds at the most: more change nothing. @internal */
export const maxCrashes = 8;

/** The longest time that a record may name; whoever reads it bounds what follows from it. Milliseconds. */
const maxQuietMs = Number.MAX_SAFE_INTEGER;

const quietUnitMs = 100;

/**
 * @param lifetime - The server that crashed.
 * @returns The name of its crash.
 * @internal
 */
export function computeCrashKey(lifetime: ServerLifetime): CrashKey {
	return createHash('sha256').update(toLifetimeKey(lifetime)).digest('base64url').slice(0, crashKeyLength) as CrashKey;
}

/**
 * @param record - A record.
 * @returns It as a list, times in tenths of a second.
 * @internal
 */
export function encodeSuspect({fingerprint, quietMs, crashes, cleared, repeated}: SuspectRecord): readonly unknown[] {
	return [fingerprint, Math.round(quietMs / quietUnitMs), crashes, cleared, repeated];
}

/**
 * @param value - What came from the store.
 * @returns The name of a crash, or `undefined` if it is none.
 * @internal
 */
export function parseCrashKey(value: unknown): CrashKey | undefined {
	return typeof value === 'string' && crashKeyPattern.test(value) ? value as CrashKey : undefined;
}

function readCrashes(value: unknown, place: string): readonly CrashKey[] {
	const keys = readList(value, place);
	if (keys.length > maxCrashes || !keys.every(key => parseCrashKey(key) !== undefined)) {
		throw new FieldError(place, value, `at most ${maxCrashes} names of crashes, each of ${crashKeyLength} characters`);
	}

	return keys as readonly CrashKey[];
}

/**
 * @param value - What came over the network.
 * @param place - Where it stood, for errors.
 * @returns The record.
 * @throws FieldError when it cannot be read.
 * @internal
 */
export function decodeSuspect(value: unknown, place: string): SuspectRecord {
	const [name, quiet, crashes, cleared, repeated = []] = readList(value, place);
	const fingerprint = parseFingerprint(name);
	if (fingerprint === undefined) {
		throw new FieldError(`${place}.fingerprint`, name, 'two digests with a dot between them');
	}

	return {
		fingerprint, quietMs: readAmount(quiet, `${place}.quiet`, maxQuietMs) * quietUnitMs,
		crashes: readCrashes(crashes, `${place}.crashes`), cleared: readCrashes(cleared, `${place}.cleared`),
		repeated: readCrashes(repeated, `${place}.repeated`),
	};
}
