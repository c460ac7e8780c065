/**
 * Writes events as JSON lines without blocking if the output is not read.
 * The rate of lines is limited for each kind of event, and the buffered bytes
 * are limited in total. Dropped lines are counted, and the counts are logged.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {constants, openSync} from 'node:fs';
import sonicBoom from 'sonic-boom';
import {readSteadyMs} from '../common/clock.js';
import {type LogLevel, type MeshEvent, type MeshLog} from './mesh-log.js';

/** Level numbers of bunyan and pino. */
const levelNumbers: Readonly<Record<LogLevel, number>> = {
	debug: 20, info: 30, warn: 40, error: 50,
};

/** @internal */
export type LineLog = MeshLog & {
	/** Writes the buffered lines. */
	readonly flush: () => Promise<void>;
};

/** The output of a log. @internal */
export type LineSink = {
	/** Writes or buffers a line without blocking. */
	readonly write: (line: string) => void;
	/** Returns the number of buffered bytes that are not written yet. */
	readonly countBufferedBytes: () => number;
	readonly flush: () => Promise<void>;
};

/** Maximum size of the lines that are buffered while the output is not read. */
const maximumBufferedBytes = 262_144;

/** When more than this share of the buffer is in use, only lines of level `warn` or higher are kept. */
const warningsOnlyShare = 0.5;

/** Rate limit for lines of one kind below level `warn`: a line takes about 20 microseconds, so this limits a kind to a thousandth of a core. */
const maximumLinesPerSecond = 25;

/** Rate limit for lines of one kind that report the end of a failed request. It is higher, since a failure cannot be explained without its line. If a node refuses more requests per second, it logs only the number of the remaining ones. */
const maximumFinalLinesPerSecond = 200;

/** Kinds of events that report the end of a request. */
const finalKinds: ReadonlySet<MeshEvent['kind']> = new Set<MeshEvent['kind']>(['call-finished', 'request-refused', 'caller-left']);

/** Time for which lines are collected before they are written. */
const flushDelayMs = 200;

/**
 * Opens a pipe a second time in non-blocking mode. A blocking
 * write would occupy a thread of the thread pool, and the process could not exit.
 */
function openNonBlocking(fd: number): number {
	try {
		return openSync(`/proc/self/fd/${fd}`, constants.O_WRONLY | constants.O_NONBLOCK | constants.O_APPEND);
	} catch {
		// A socket cannot be opened this way: use the descriptor itself.
		return fd;
	}
}

/**
 * Creates a sink that writes to a file descriptor. Unlike a plain write to a
 * pipe, it does not block the event loop while the pipe is not read.
 *
 * @param fd - The file descriptor.
 * @returns The sink.
 * @internal
 */
export function createDescriptorSink(fd: number): LineSink {
	const boom = new sonicBoom.SonicBoom({
		fd: openNonBlocking(fd), sync: false, minLength: 4096, maxLength: maximumBufferedBytes,
	});
	let bufferedBytes = 0;
	boom.on('write', (bytes: number) => {
		bufferedBytes = Math.max(0, bufferedBytes - bytes);
	});
	boom.on('drop', (line: string) => {
		bufferedBytes = Math.max(0, bufferedBytes - Buffer.byteLength(line));
	});
	boom.on('error', () => {
		// The log itself has failed, so this error cannot be logged. The node continues without a log.
	});
	let timer: NodeJS.Timeout | undefined;
	const flushSoon = (): void => {
		timer ??= setTimeout(() => {
			timer = undefined;
			boom.flush();
			if (bufferedBytes > 0) {
				// The output is not read: retry later.
				flushSoon();
			}
		}, flushDelayMs).unref();
	};

	/** Writes all lines. The `flush` of the library with a callback waits for `fsync` as well, and a process whose disk is slow could not exit meanwhile. */
	const writeAll = async (): Promise<void> => {
		const endsAt = readSteadyMs() + lastFlushTimeoutMs;
		while (bufferedBytes > 0 && readSteadyMs() < endsAt) {
			await new Promise<void>(resolve => {
				boom.once('drain', resolve);
				boom.flush();
			});
		}
	};

	return {
		write(line) {
			bufferedBytes += Buffer.byteLength(line);
			boom.write(line);
			flushSoon();
		},
		countBufferedBytes: () => bufferedBytes,
		async flush() {
			clearTimeout(timer);
			await Promise.race([writeAll(), new Promise(resolve => {
				// A reader that has stopped reading must not keep the process from exiting.
				setTimeout(resolve, lastFlushTimeoutMs);
			})]);
		},
	};
}

/** Timeout for writing the last lines. */
const lastFlushTimeoutMs = 200;

/** Counts of lines by kind in the current second. */
type CountWindow = {
	readonly startedAt: number;
	readonly written: Map<string, number>;
	readonly dropped: Map<string, number>;
};

const createCountWindow = (startedAt: number): CountWindow => ({startedAt, written: new Map(), dropped: new Map()});

function add(counts: Map<string, number>, kind: string): number {
	const count = (counts.get(kind) ?? 0) + 1;
	counts.set(kind, count);
	return count;
}

/**
 * Creates a log of JSON lines.
 *
 * @param node - The name of the node, part of each line.
 * @param level - The lowest level that is written.
 * @param sink - The output.
 * @returns The log.
 * @internal
 */
export function createLineLog(node: string, level: LogLevel, sink: LineSink): LineLog {
	const minimumLevel = levelNumbers[level];
	let countWindow = createCountWindow(readSteadyMs());

	const write = (number: number, event: MeshEvent): void => {
		sink.write(`${JSON.stringify({
			time: new Date().toISOString(), level: number, node, ...event,
		})}\n`);
	};

	const writeDropped = ({dropped: left}: CountWindow): void => {
		for (const [kind, count] of left) {
			write(levelNumbers.warn, {kind: 'lines-dropped', of: kind, count});
		}
	};

	const isWithinLimits = (number: number, {kind}: MeshEvent): boolean => {
		const now = readSteadyMs();
		if (now - countWindow.startedAt >= 1000) {
			const last = countWindow;
			countWindow = createCountWindow(now);
			writeDropped(last);
		}

		const isFailure = number >= levelNumbers.warn;
		const limitBytes = isFailure ? maximumBufferedBytes : maximumBufferedBytes * warningsOnlyShare;
		if (sink.countBufferedBytes() <= limitBytes && (isFailure || add(countWindow.written, kind) <= (finalKinds.has(kind) ? maximumFinalLinesPerSecond : maximumLinesPerSecond))) {
			return true;
		}

		add(countWindow.dropped, kind);
		return false;
	};

	return {
		record(eventLevel, event) {
			const number = levelNumbers[eventLevel];
			if (number >= minimumLevel && isWithinLimits(number, event)) {
				write(number, event);
			}
		},
		async flush() {
			writeDropped(countWindow);
			return sink.flush();
		},
	};
}
