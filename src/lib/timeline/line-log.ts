/**
 * Writes events as JSON lines, without ever waiting for whoever reads them.
 *
 * @module
 */
import {SonicBoom} from 'sonic-boom';
import {type LogLevel, type MeshLog} from './mesh-log.js';

/** Level numbers as bunyan and pino write them. */
const levelNumbers: Readonly<Record<LogLevel, number>> = {
	debug: 20, info: 30, warn: 40, error: 50,
};

/** @internal */
export type LineLog = MeshLog & {
	/** Writes what is still held. */
	readonly flush: () => Promise<void>;
};

/** Lines held at the most while nobody reads them, in bytes. */
const maxHeldBytes = 262_144;

/** Above this share of what may be held, only lines from `warn` on are kept. */
const failuresOnlyShare = 0.5;

/** Lines are gathered for this long before they are written. Milliseconds. */
const flushMs = 200;

/**
 * Creates the log.
 *
 * @param node - Named in each line.
 * @param level - The least level that is written.
 * @param fd - Where to.
 * @returns The log.
 * @internal
 */
export function createLineLog(node: string, level: LogLevel, fd: number): LineLog {
	const sink = new SonicBoom({
		fd, sync: false, minLength: 4096, maxLength: maxHeldBytes,
	});
	const least = levelNumbers[level];
	let heldBytes = 0;
	let dropped = 0;
	sink.on('write', (bytes: number) => {
		heldBytes = Math.max(0, heldBytes - bytes);
	});
	sink.on('error', () => {
		// There is nowhere to say so: the log itself has failed, and the node goes on.
		dropped++;
	});

	const write = (number: number, event: Readonly<Record<string, unknown>>): void => {
		const line = `${JSON.stringify({
			time: new Date().toISOString(), level: number, node, ...event,
		})}\n`;
		heldBytes += line.length;
		sink.write(line);
	};

	const timer = setInterval(() => {
		sink.flush();
	}, flushMs);
	timer.unref();

	return {
		record(eventLevel, event) {
			const number = levelNumbers[eventLevel];
			if (number < least) {
				return;
			}

			const room = number >= levelNumbers.warn ? maxHeldBytes : maxHeldBytes * failuresOnlyShare;
			if (heldBytes > room) {
				dropped++;
				return;
			}

			if (dropped > 0) {
				const count = dropped;
				dropped = 0;
				write(levelNumbers.warn, {kind: 'lines-dropped', count});
			}

			write(number, event);
		},
		async flush() {
			clearInterval(timer);
			return new Promise(resolve => {
				sink.flush(() => {
					resolve();
				});
			});
		},
	};
}
