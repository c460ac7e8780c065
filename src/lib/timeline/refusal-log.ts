/**
 * Tells of input that was refused, at a bounded rate: whoever sends what cannot
 * be used may send thousands of it a second. Each is counted; lines are written
 * for the first of a kind and cause at once, then one a second at the most, with
 * how many there were since the last.
 *
 * @module
 */
import {type MeshLog, type RefusalCause, type RefusalKind} from './mesh-log.js';

/** Input that was refused. @internal */
export type Refusal = {
	readonly kind: RefusalKind;
	readonly cause: RefusalCause;
	/** Where it came from or stands. */
	readonly place: string;
	/** What is wrong with it and what is allowed. */
	readonly reason: string;
};

/** @internal */
export type RefusalLog = {
	readonly record: (refusal: Refusal) => void;
	/** Says what was counted and not told yet. */
	readonly dispose: () => void;
};

/** Milliseconds between two lines of one kind and cause: enough lines to see who sends what, at a few hundred bytes a second. */
const lineIntervalMs = 1000;

/** Characters of a place that a line shows: paths may be as long as a head. */
const maximumPlaceLength = 200;

/** What was refused since the last line of its kind and cause. */
type PendingRefusals = {count: number; last: Refusal; readonly timer: NodeJS.Timeout};

/**
 * @param log - Where lines go.
 * @param count - Told of each refusal, for metrics.
 * @returns Refusals, none yet.
 * @internal
 */
export function createRefusalLog(log: MeshLog, count: (kind: RefusalKind, cause: RefusalCause) => void): RefusalLog {
	const pending = new Map<string, PendingRefusals>();

	const write = ({kind, cause, place, reason}: Refusal, times: number): void => {
		log.record('warn', {
			kind, cause, place: place.slice(0, maximumPlaceLength), reason, count: times,
		});
	};

	const startInterval = (key: string, last: Refusal): void => {
		const timer = setTimeout(() => {
			endInterval(key);
		}, lineIntervalMs);
		timer.unref();
		pending.set(key, {count: 0, last, timer});
	};

	const endInterval = (key: string): void => {
		const since = pending.get(key);
		pending.delete(key);
		if (since !== undefined && since.count > 0) {
			write(since.last, since.count);
			startInterval(key, since.last);
		}
	};

	return {
		record(refusal) {
			count(refusal.kind, refusal.cause);
			const key = `${refusal.kind} ${refusal.cause}`;
			const since = pending.get(key);
			if (since === undefined) {
				write(refusal, 1);
				startInterval(key, refusal);
				return;
			}

			since.count++;
			since.last = refusal;
		},
		dispose() {
			for (const {count: times, last, timer} of pending.values()) {
				clearTimeout(timer);
				if (times > 0) {
					write(last, times);
				}
			}

			pending.clear();
		},
	};
}

/** Refusals that nobody hears of, for parts that run without. @internal */
export const silentRefusalLog: RefusalLog = {record: () => undefined, dispose: () => undefined};
