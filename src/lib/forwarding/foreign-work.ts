/**
 * Keeps the number of requests at the backend server that its gate did not send, by the load
 * reports. The decisions are in `foreign-requests.ts`; this module holds their state and the timer.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {noForeignRequests, recordForeignRequests, type ForeignRequests} from '../decisions/foreign-requests.js';

/** @internal */
export type ForeignWork = {
	/** Applies a load report: the requests that the gate did not send, at least. `isFirst` tells whether nothing was known of the server. */
	readonly applyReport: (count: number, isFirst: boolean) => void;
	/** Stops the timer. */
	readonly dispose: () => void;
};

/** Requests of others at the server are forgotten this long after the last report, in milliseconds. Ones that take longer are reported again. */
const maxForeignMs = 500;

/**
 * @param handleChange - Called with the number of requests after each report, and when they are forgotten.
 * @returns The state of a server without requests of others.
 * @internal
 */
export function createForeignWork(handleChange: (count: number) => void): ForeignWork {
	let foreign: ForeignRequests = noForeignRequests;
	let isDisposed = false;
	let timer: NodeJS.Timeout | undefined;

	const apply = (next: ForeignRequests): void => {
		foreign = next;
		clearTimeout(timer);
		if (foreign.count > 0 && !isDisposed) {
			timer = setTimeout(() => {
				apply(noForeignRequests);
			}, maxForeignMs);
		}

		handleChange(foreign.count);
	};

	return {
		applyReport(count, isFirst) {
			apply(recordForeignRequests(foreign, count, isFirst, readSteadyMs()));
		},
		dispose() {
			isDisposed = true;
			clearTimeout(timer);
		},
	};
}
