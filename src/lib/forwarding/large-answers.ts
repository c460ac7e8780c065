/**
 * Sends large answers over the link of this VM a few at a time. A link with
 * many of them on their way holds what follows for as long as all of them take:
 * calls whose answers are a few hundred bytes wait for seconds behind films.
 *
 * @module
 */
import {type Socket} from 'node:net';
import {writeFrame} from './frame.js';
import {countTransfers} from './transfer-limit.js';

/** @internal */
export type LargeAnswers = {
	/** Writes a frame; one with a large body once there is room on the link. Each is written, in the order in which they came. */
	readonly write: (socket: Socket, frame: Parameters<typeof writeFrame>[1]) => void;
	/** Answers that wait for room on the link. */
	readonly countWaiting: () => number;
};

/** Bodies above this size take part. Bytes: on the slowest links of the users it takes nine milliseconds, as long as a few small answers. */
const largeBytes = 16_384;

/** A place is given back after so many times the time that the link alone needs for the answer, and this long at least: a node that stands still must not keep the answers of others back. Milliseconds. */
const patience = 4;
const leastPatienceMs = 200;

/**
 * @param linkMbps - Megabits a second of the link.
 * @returns What writes answers; none is on its way.
 * @internal
 */
export function createLargeAnswers(linkMbps: number): LargeAnswers {
	const places = countTransfers(linkMbps);
	const waiting: Array<() => void> = [];
	let onTheirWay = 0;

	const startNext = (): void => {
		while (onTheirWay < places) {
			const start = waiting.shift();
			if (start === undefined) {
				return;
			}

			onTheirWay++;
			start();
		}
	};

	/** Gives a place back, when the answer is written or when whoever should read it does not. */
	const createRelease = (bytes: number): (() => void) => {
		let isReleased = false;
		const release = (): void => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			clearTimeout(timer);
			onTheirWay--;
			startNext();
		};

		const timer = setTimeout(release, leastPatienceMs + (patience * bytes * 8 / 1000 / linkMbps));
		return release;
	};

	return {
		write(socket, frame) {
			if ((frame.body?.length ?? 0) <= largeBytes) {
				writeFrame(socket, frame);
				return;
			}

			waiting.push(() => {
				const release = createRelease(frame.body?.length ?? 0);
				writeFrame(socket, frame, release);
			});
			startNext();
		},
		countWaiting: () => waiting.length,
	};
}
