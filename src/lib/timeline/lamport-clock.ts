/**
 * A Lamport clock: orders events of all processes by what could have caused
 * what, without trusting the clock of any of them.
 *
 * @module
 */

/** @internal */
export type LamportClock = {
	readonly getTime: () => number;
	/** Advances for an event of this process and returns the event's time. */
	readonly advance: () => number;
	/** Takes note of the time on a message that was received. */
	readonly witness: (time: number) => void;
};

/**
 * @returns A clock at 0.
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
