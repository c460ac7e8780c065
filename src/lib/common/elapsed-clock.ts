/**
 * A monotonic clock that includes the time for which the VM was suspended.
 *
 * The steady clock of the runtime stops during a suspension, so a call would continue with time that its caller no longer has. The
 * uptime of the system and the time of day continue, but the time of day may also be set. A jump of the time of day therefore counts
 * as a suspension only if the uptime shows the same jump; otherwise the time of day counts as set. Of the two possible errors, a
 * missed suspension is the smaller one: deadlines are late by its length, as with the steady clock alone. If a set clock counted as
 * a suspension, the calls in flight would expire and their requests would be lost.
 *
 * @module
 */

/** The clocks of the system. @internal */
export type ClockSources = {
	/** Reads the steady clock, in milliseconds. It stops while the VM is suspended. */
	readonly readAwakeMs: () => number;
	/** Reads the time of day, in milliseconds since the epoch. */
	readonly readNow: () => number;
	/** Reads the milliseconds since the system started, including suspensions; `undefined` if not available. Its resolution is coarse, and a call takes about 3 µs, a hundred times as long as for the other clocks. */
	readonly readUptimeMs: () => number | undefined;
};

/** @internal */
export type ElapsedClock = {
	/** Returns the milliseconds since the process started, including suspensions. */
	readonly read: () => number;
	/** Returns the total time of the suspensions detected so far, in milliseconds. */
	readonly getSuspendedMs: () => number;
	/** Calls a handler for each detected suspension, with its milliseconds. Returns a function that removes the handler. */
	readonly watchResume: (handleResume: (suspendedMs: number) => void) => () => void;
	/** Measures the offsets between the clocks again, so that their drift does not accumulate. */
	readonly updateOffsets: () => void;
};

/** Shortest jump of the time of day that is checked. A shorter suspension makes no difference to a call, and clocks are slewed by less than this. */
const minimumJumpMs = 50;

/** Maximum difference at which the jumps of the time of day and of the uptime count as the same jump: a step of the time of day below the threshold, plus the 10 ms resolution of the uptime and the time between the reads on a busy VM. */
const jumpToleranceMs = minimumJumpMs + 20;

/** Reads of all clocks that take longer than this are repeated: the process was held up between two of them, as by a processor quota, and the clocks seem to differ by that time. */
const maximumReadMs = 5;

/** How often the clocks are read at most until the process is not held up meanwhile. */
const maximumReads = 3;

type ClockOffsets = {
	/** Time of day minus steady clock. */
	readonly timeOfDayOffsetMs: number;
	/** Uptime minus steady clock; `undefined` if the uptime is not available. */
	readonly uptimeOffsetMs: number | undefined;
	/** Whether the clocks were read without a delay in between. */
	readonly isExact: boolean;
};

/**
 * Creates a clock of elapsed time.
 *
 * @param sources - The clocks of the system.
 * @returns The clock.
 * @internal
 */
export function createElapsedClock({readAwakeMs, readNow, readUptimeMs}: ClockSources): ElapsedClock {
	const handlers = new Set<(suspendedMs: number) => void>();
	let suspendedMs = 0;

	const readOffsetsOnce = (): ClockOffsets => {
		const awakeMs = readAwakeMs();
		const timeOfDayOffsetMs = readNow() - awakeMs;
		const uptimeMs = readUptimeMs();
		return {timeOfDayOffsetMs, uptimeOffsetMs: uptimeMs === undefined ? undefined : uptimeMs - awakeMs, isExact: readAwakeMs() - awakeMs <= maximumReadMs};
	};

	const readOffsets = (): ClockOffsets => {
		let read = readOffsetsOnce();
		for (let reads = 1; !read.isExact && reads < maximumReads; reads++) {
			read = readOffsetsOnce();
		}

		return read;
	};

	let lastAwakeMs = readAwakeMs();
	let offsets = readOffsets();

	/** Reads the steady clock. If it went back, a test has replaced the clock. The offsets are then measured again, so that the jump does not count as a suspension. */
	const readAwake = (): number => {
		const awakeMs = readAwakeMs();
		if (awakeMs < lastAwakeMs) {
			offsets = readOffsets();
		}

		lastAwakeMs = awakeMs;
		return awakeMs;
	};

	/** Checks whether a jump of the time of day was a suspension, and reports it to the handlers if so. */
	const checkJump = (): void => {
		const before = offsets;
		const next = readOffsets();
		if (!next.isExact) {
			// The next read checks again.
			return;
		}

		offsets = next;
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
				checkJump();
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
				checkJump();
				return;
			}

			const next = readOffsets();
			offsets = next.isExact ? next : offsets;
		},
	};
}
