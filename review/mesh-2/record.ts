/**
 * The record of a case: what was sent, answered and run, with the time since the start.
 *
 * @module
 */
import {closeSync, openSync, writeSync} from 'node:fs';

export type CaseRecord = {
	/** Writes one line. */
	readonly write: (line: string) => void;
	/** Returns the milliseconds since the start of the case. */
	readonly getTime: () => number;
	readonly close: () => void;
};

/**
 * @param file - The file to write to; replaced if it exists.
 * @returns The record.
 */
export function openRecord(file: string): CaseRecord {
	const descriptor = openSync(file, 'w');
	const startedAt = performance.now();
	const getTime = (): number => performance.now() - startedAt;
	return {
		write(line) {
			writeSync(descriptor, `${getTime().toFixed(0).padStart(6)} ms  ${line}\n`);
		},
		getTime,
		close() {
			closeSync(descriptor);
		},
	};
}
