/**
 * A clock that does not jump and counts the time for which the VM was suspended.
 *
 * The steady clock of the runtime stands still meanwhile, so that a call would go on with time that its caller no longer has. The clock of
 * the system's uptime and the time of day go on; the latter may also be set. A jump of the time of day is therefore taken for a suspension only if
 * the uptime shows the same jump. Where it shows nothing, the jump is taken for a set clock: to age calls that nobody has waited for longer
 * loses what is in work at every step of a clock, to miss a suspension is what a node that stands still does anyway.
 *
 * @module
 */

/** Where the times come from. @internal */
export type ClockSources = {
	/** Milliseconds of the steady clock, which stands still while the VM is suspended. */
	readonly readAwakeMs: () => number;
	/** Milliseconds since the epoch. */
	readonly readNow: () => number;
	/** Milliseconds since the system started, suspensions included; `undefined` if it cannot be told. Coarse, and some 3 µs a call: a hundred times the others. */
	readonly readUptimeMs: () => number | undefined;
};

/** @internal */
export type ElapsedClock = {
	/** Milliseconds since the process started, with suspensions. */
	readonly read: () => number;
	/** Milliseconds for which the VM was suspended, as far as it has been noticed. */
	readonly getSuspendedMs: () => number;
	/** Calls back at each suspension that is noticed, with its milliseconds; yields a function that takes that back. */
	readonly watchResume: (handleResume: (suspendedMs: number) => void) => () => void;
	/** Reads the uptime again, so that what differs between the clocks by their drift does not add up. */
	readonly updateOffsets: () => void;
};

/** A jump of the time of day that is worth a look. Milliseconds: less makes no difference to any call, and clocks are slewed by less. */
const minimumJumpMs = 50;

/** By how much the jumps of two clocks may differ and still be the same. Milliseconds: a step of the time of day that was too small to be looked at, the hundredths of a second in which the uptime is told, and the time that reading takes on a busy VM. */
const jumpToleranceMs = minimumJumpMs + 20;

type ClockOffsets = {
	/** Time of day less the steady clock. */
	readonly timeOfDayOffsetMs: number;
	/** Uptime less the steady clock. */
	readonly uptimeOffsetMs: number | undefined;
};

/**
 * @param sources - The clocks.
 * @returns The clock.
 * @internal
 */
export function createElapsedClock({readAwakeMs, readNow, readUptimeMs}: ClockSources): ElapsedClock {
	const handlers = new Set<(suspendedMs: number) => void>();
	let suspendedMs = 0;

	const readOffsets = (awakeMs: number): ClockOffsets => {
		const uptimeMs = readUptimeMs();
		return {timeOfDayOffsetMs: readNow() - awakeMs, uptimeOffsetMs: uptimeMs === undefined ? undefined : uptimeMs - awakeMs};
	};

	let lastAwakeMs = readAwakeMs();
	let offsets = readOffsets(lastAwakeMs);

	/** Reads the steady clock. One that goes back is another clock, as in tests that pause it: nothing can be told from a jump to it. */
	const readAwake = (): number => {
		const awakeMs = readAwakeMs();
		if (awakeMs < lastAwakeMs) {
			offsets = readOffsets(awakeMs);
		}

		lastAwakeMs = awakeMs;
		return awakeMs;
	};

	/** Looks where a jump of the time of day comes from. */
	const checkJump = (awakeMs: number): void => {
		const before = offsets;
		offsets = readOffsets(awakeMs);
		const jumpMs = offsets.timeOfDayOffsetMs - before.timeOfDayOffsetMs;
		const uptimeJumpMs = (offsets.uptimeOffsetMs ?? 0) - (before.uptimeOffsetMs ?? 0);
		if (uptimeJumpMs < minimumJumpMs || Math.abs(uptimeJumpMs - jumpMs) > jumpToleranceMs) {
			return;
		}

		suspendedMs += jumpMs;
		for (const handleResume of handlers) {
			handleResume(jumpMs);
		}
	};

	return {
		read() {
			const awakeMs = readAwake();
			if (Math.abs(readNow() - awakeMs - offsets.timeOfDayOffsetMs) > minimumJumpMs) {
				checkJump(awakeMs);
			}

			return awakeMs + suspendedMs;
		},
		getSuspendedMs: () => suspendedMs,
		watchResume(handleResume) {
			handlers.add(handleResume);
			return () => {
				handlers.delete(handleResume);
			};
		},
		updateOffsets() {
			const awakeMs = readAwake();
			if (Math.abs(readNow() - awakeMs - offsets.timeOfDayOffsetMs) > minimumJumpMs) {
				checkJump(awakeMs);
				return;
			}

			offsets = readOffsets(awakeMs);
		},
	};
}
