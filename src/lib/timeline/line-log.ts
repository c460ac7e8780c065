/**
 * Writes events as JSON lines, without ever waiting for whoever reads them.
 * The volume is bounded for each kind of event, and in all; what is left out
 * is counted and said.
 *
 * @module
 */
import {constants, openSync} from 'node:fs';
import sonicBoom from 'sonic-boom';
import {readSteadyMs} from '../common/clock.js';
import {type LogLevel, type MeshEvent, type MeshLog} from './mesh-log.js';

/** Level numbers as bunyan and pino write them. */
const levelNumbers: Readonly<Record<LogLevel, number>> = {
	debug: 20, info: 30, warn: 40, error: 50,
};

/** @internal */
export type LineLog = MeshLog & {
	/** Writes what is still held. */
	readonly flush: () => Promise<void>;
};

/** Where lines go. @internal */
export type LineSink = {
	/** Takes a line without waiting. */
	readonly write: (line: string) => void;
	/** Bytes taken that nobody has read yet. */
	readonly countBufferedBytes: () => number;
	readonly flush: () => Promise<void>;
};

/** Lines held at the most while nobody reads them, in bytes. */
const maximumBufferedBytes = 262_144;

/** Above this share of what may be held, only lines from `warn` on are kept. */
const warningsOnlyShare = 0.5;

/** Lines of one kind and level below `warn` in a second: a line costs some 20 microseconds, so this is a thousandth of a core. */
const maximumLinesPerSecond = 25;

/** The same for lines that tell how a failed request ended: without its own line a failure cannot be explained. A node that refuses more than this in a second says so by the count of the rest. */
const maximumFinalLinesPerSecond = 200;

/** Kinds that end the story of one request. */
const finalKinds: ReadonlySet<MeshEvent['kind']> = new Set<MeshEvent['kind']>(['call-finished', 'request-refused', 'caller-left']);

/** Lines are gathered for this long before they are written. Milliseconds. */
const flushDelayMs = 200;

/**
 * Opens a pipe a second time so that a write to it never blocks: a write that
 * blocks in a thread of the pool keeps the process from exiting.
 */
function openNonBlocking(fd: number): number {
	try {
		return openSync(`/proc/self/fd/${fd}`, constants.O_WRONLY | constants.O_NONBLOCK | constants.O_APPEND);
	} catch {
		// A socket cannot be opened so; it is written to as it is.
		return fd;
	}
}

/**
 * Opens a file descriptor for lines. Writing to a pipe would block the one
 * thread as long as nobody reads; this does not.
 *
 * @param fd - The descriptor.
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
		bufferedBytes = Math.max(0, bufferedBytes - line.length);
	});
	boom.on('error', () => {
		// There is nowhere left to say so: the log itself has failed, and the node goes on.
	});
	let timer: NodeJS.Timeout | undefined;
	const flushSoon = (): void => {
		timer ??= setTimeout(() => {
			timer = undefined;
			boom.flush();
			if (bufferedBytes > 0) {
				// Nobody reads: what is held is tried again.
				flushSoon();
			}
		}, flushDelayMs).unref();
	};

	return {
		write(line) {
			bufferedBytes += line.length;
			boom.write(line);
			flushSoon();
		},
		countBufferedBytes: () => bufferedBytes,
		async flush() {
			clearTimeout(timer);
			return new Promise(resolve => {
				// Whoever has stopped reading does not keep the process.
				setTimeout(resolve, lastFlushTimeoutMs);
				boom.flush(() => {
					resolve();
				});
			});
		},
	};
}

/** How long the last lines may take. Milliseconds. */
const lastFlushTimeoutMs = 200;

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
 * Creates the log.
 *
 * @param node - Named in each line.
 * @param level - The least level that is written.
 * @param sink - Where lines go.
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
