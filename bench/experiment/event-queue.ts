/**
 * Event queue of a discrete-event simulation.
 *
 * @module
 */
import TinyQueue from 'tinyqueue';

type Event = {readonly at: number; readonly order: number; readonly run: () => void};

/** Simulated clock that advances from event to event. */
export type EventQueue = {
	readonly getNow: () => number;
	readonly schedule: (afterMs: number, run: () => void) => void;
	/** Runs the events up to and including `endMs`. Later events do not run. */
	readonly runUntil: (endMs: number) => void;
};

/**
 * @returns A clock at 0 without events.
 */
export function createEventQueue(): EventQueue {
	const queue = new TinyQueue<Event>([], (left, right) => left.at - right.at || left.order - right.order);
	let now = 0;
	let order = 0;
	return {
		getNow: () => now,
		schedule(afterMs, run) {
			order++;
			queue.push({at: now + Math.max(0, afterMs), order, run});
		},
		runUntil(endMs) {
			for (let next = queue.pop(); next !== undefined && next.at <= endMs; next = queue.pop()) {
				now = next.at;
				next.run();
			}
		},
	};
}
