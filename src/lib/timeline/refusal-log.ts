/**
 * Logs refused input at a limited rate, since a sender may send thousands of
 * invalid messages per second. Each refusal is counted in the metrics. The first
 * of a kind and cause is logged immediately, then at most one line per second, with
 * the number of refusals since the last line.
 *
 * @module
 */
import {type MeshLog, type RefusalCause, type RefusalKind} from './mesh-log.js';

/** A refused input, and why it was refused. @internal */
export type Refusal = {
	readonly kind: RefusalKind;
	readonly cause: RefusalCause;
	/** The sender's address, or the place of the input. */
	readonly place: string;
	/** What is wrong with the input, and what is allowed. */
	readonly reason: string;
	/** The id of the refused request, if it is one. */
	readonly call?: string;
};

/** @internal */
export type RefusalLog = {
	readonly record: (refusal: Refusal) => void;
	/** Logs the refusals that are counted but not logged yet, and stops the timers. */
	readonly dispose: () => void;
};

/** Interval between lines of one kind and cause: short enough to see which sender sends what, at a few hundred bytes per second. */
const lineIntervalMs = 1000;

/** Maximum number of characters of a place in a log line: a path may be as long as the whole head of a request. */
const maximumPlaceLength = 200;

/** The refusals of one kind and cause since the last line. */
type PendingRefusals = {count: number; last: Refusal; readonly timer: NodeJS.Timeout};

/**
 * Creates a refusal log.
 *
 * @param log - The log that lines are written to.
 * @param count - Called for each refusal, to update the metrics.
 * @returns The refusal log.
 * @internal
 */
export function createRefusalLog(log: MeshLog, count: (kind: RefusalKind, cause: RefusalCause) => void): RefusalLog {
	const pending = new Map<string, PendingRefusals>();

	const write = ({kind, cause, place, reason, call}: Refusal, times: number): void => {
		log.record('warn', {
			kind, cause, place: place.slice(0, maximumPlaceLength), reason, count: times, ...call === undefined ? {} : {call},
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

/** A refusal log that discards all refusals, for components that run without one. @internal */
export const silentRefusalLog: RefusalLog = {record: () => undefined, dispose: () => undefined};
