/**
 * A Lamport clock: orders the events of all processes so that causes precede
 * their effects, without depending on the clocks of the machines.
 *
 * @module
 */

/** @internal */
export type LamportClock = {
	readonly getTime: () => number;
	/** Advances the clock for an event of this process, and returns the time of the event. */
	readonly advance: () => number;
	/** Advances the clock to the time in a received message, unless the clock is already later. */
	readonly witness: (time: number) => void;
};

/**
 * Creates a Lamport clock.
 *
 * @returns The clock, at time 0.
 * @internal
 */
export function createLamportClock(): LamportClock {
	let time = 0;
	return {
		getTime: () => time,
		advance() {
			time += 1;
			return time;
		},
		witness(other) {
			if (Number.isSafeInteger(other)) {
				time = Math.max(time, other);
			}
		},
	};
}
