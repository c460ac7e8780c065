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
	readonly countHeldBytes: () => number;
	readonly flush: () => Promise<void>;
};

/** Lines held at the most while nobody reads them, in bytes. */
const maxHeldBytes = 262_144;

/** Above this share of what may be held, only lines from `warn` on are kept. */
const failuresOnlyShare = 0.5;

/** Lines of one kind and level below `warn` in a second: a line costs some 20 microseconds, so this is a thousandth of a core. */
const linesPerSecond = 25;

/** The same for lines that tell how a failed request ended: without its own line a failure cannot be explained. A node that refuses more than this in a second says so by the count of the rest. */
const failedCallsPerSecond = 200;

/** Kinds that end the story of one request. */
const endKinds: ReadonlySet<MeshEvent['kind']> = new Set<MeshEvent['kind']>(['call-finished', 'request-refused', 'caller-left']);

/** Lines are gathered for this long before they are written. Milliseconds. */
const flushMs = 200;

/**
 * Opens a pipe a second time so that a write to it never blocks: a write that
 * blocks in a thread of the pool keeps the process from exiting.
 */
function openWithoutBlocking(fd: number): number {
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
		fd: openWithoutBlocking(fd), sync: false, minLength: 4096, maxLength: maxHeldBytes,
	});
	let held = 0;
	boom.on('write', (bytes: number) => {
		held = Math.max(0, held - bytes);
	});
	boom.on('drop', (line: string) => {
		held = Math.max(0, held - line.length);
	});
	boom.on('error', () => {
		// There is nowhere left to say so: the log itself has failed, and the node goes on.
	});
	let timer: NodeJS.Timeout | undefined;
	const flushSoon = (): void => {
		timer ??= setTimeout(() => {
			timer = undefined;
			boom.flush();
			if (held > 0) {
				// Nobody reads: what is held is tried again.
				flushSoon();
			}
		}, flushMs).unref();
	};

	return {
		write(line) {
			held += line.length;
			boom.write(line);
			flushSoon();
		},
		countHeldBytes: () => held,
		async flush() {
			clearTimeout(timer);
			return new Promise(resolve => {
				// Whoever has stopped reading does not keep the process.
				setTimeout(resolve, lastFlushMs);
				boom.flush(() => {
					resolve();
				});
			});
		},
	};
}

/** How long the last lines may take. Milliseconds. */
const lastFlushMs = 200;

type Bound = {
	readonly startedAt: number;
	readonly written: Map<string, number>;
	readonly left: Map<string, number>;
};

const createBound = (startedAt: number): Bound => ({startedAt, written: new Map(), left: new Map()});

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
	const least = levelNumbers[level];
	let bound = createBound(readSteadyMs());

	const write = (number: number, event: MeshEvent): void => {
		sink.write(`${JSON.stringify({
			time: new Date().toISOString(), level: number, node, ...event,
		})}\n`);
	};

	const tellLeftOut = ({left}: Bound): void => {
		for (const [kind, count] of left) {
			write(levelNumbers.warn, {kind: 'lines-dropped', of: kind, count});
		}
	};

	const isBounded = (number: number, {kind}: MeshEvent): boolean => {
		const now = readSteadyMs();
		if (now - bound.startedAt >= 1000) {
			const last = bound;
			bound = createBound(now);
			tellLeftOut(last);
		}

		const isFailure = number >= levelNumbers.warn;
		const room = isFailure ? maxHeldBytes : maxHeldBytes * failuresOnlyShare;
		if (sink.countHeldBytes() <= room && (isFailure || add(bound.written, kind) <= (endKinds.has(kind) ? failedCallsPerSecond : linesPerSecond))) {
			return true;
		}

		add(bound.left, kind);
		return false;
	};

	return {
		record(eventLevel, event) {
			const number = levelNumbers[eventLevel];
			if (number >= least && isBounded(number, event)) {
				write(number, event);
			}
		},
		async flush() {
			tellLeftOut(bound);
			return sink.flush();
		},
	};
}
