/**
 * Reads what a process uses of its machine.
 *
 * @module
 */
import {readdirSync, readFileSync} from 'node:fs';

/** Unit of the figures in `/proc/PID/status`. */
const kibibyte = 1024;

/**
 * @param processId - A running process.
 * @returns The most memory that was resident at one time since its start, in bytes.
 * @throws Error if the process has ended.
 */
export function readPeakMemory(processId: number): number {
	const status = readFileSync(`/proc/${processId}/status`, 'utf8');
	const kibibytes = /^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1];
	if (kibibytes === undefined) {
		throw new Error(`process ${processId} has ended`);
	}

	return Number(kibibytes) * kibibyte;
}

/**
 * @param processId - A running process.
 * @returns The number of its open descriptors.
 * @throws Error if the process has ended.
 */
export function countDescriptors(processId: number): number {
	return readdirSync(`/proc/${processId}/fd`).length;
}
