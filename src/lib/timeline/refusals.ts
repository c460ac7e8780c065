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
export type Refusals = {
	readonly note: (refusal: Refusal) => void;
	/** Says what was counted and not told yet. */
	readonly dispose: () => void;
};

/** Milliseconds between two lines of one kind and cause: enough lines to see who sends what, at a few hundred bytes a second. */
const lineMs = 1000;

/** Characters of a place that a line shows: paths may be as long as a head. */
const shownLength = 200;

/** What was refused since the last line of its kind and cause. */
type Untold = {count: number; last: Refusal; readonly timer: NodeJS.Timeout};

/**
 * @param log - Where lines go.
 * @param count - Told of each refusal, for metrics.
 * @returns Refusals, none yet.
 * @internal
 */
export function createRefusals(log: MeshLog, count: (kind: RefusalKind, cause: RefusalCause) => void): Refusals {
	const untold = new Map<string, Untold>();

	const write = ({kind, cause, place, reason}: Refusal, times: number): void => {
		log.record('warn', {
			kind, cause, place: place.slice(0, shownLength), reason, count: times,
		});
	};

	const startSecond = (key: string, last: Refusal): void => {
		const timer = setTimeout(() => {
			endSecond(key);
		}, lineMs);
		timer.unref();
		untold.set(key, {count: 0, last, timer});
	};

	const endSecond = (key: string): void => {
		const since = untold.get(key);
		untold.delete(key);
		if (since !== undefined && since.count > 0) {
			write(since.last, since.count);
			startSecond(key, since.last);
		}
	};

	return {
		note(refusal) {
			count(refusal.kind, refusal.cause);
			const key = `${refusal.kind} ${refusal.cause}`;
			const since = untold.get(key);
			if (since === undefined) {
				write(refusal, 1);
				startSecond(key, refusal);
				return;
			}

			since.count++;
			since.last = refusal;
		},
		dispose() {
			for (const {count: times, last, timer} of untold.values()) {
				clearTimeout(timer);
				if (times > 0) {
					write(last, times);
				}
			}

			untold.clear();
		},
	};
}

/** Refusals that nobody hears of, for parts that run without. @internal */
export const silentRefusals: Refusals = {note: () => undefined, dispose: () => undefined};
