/**
 * Keeps the turns of the event loop short while much arrives. The loop takes
 * one new connection in a turn, whatever a turn lasts, so long turns leave
 * callers waiting to be connected; closes are heard between turns, too.
 *
 * The load that it answers: hundreds of callers that come back on new
 * connections at once, to a node that has just restarted or is the last one of its
 * failure domain.
 *
 * @module
 */

/** @internal */
export type RequestStartLimiter = {
	/** Waits until the work on a request may begin; at once unless this turn has begun enough. */
	readonly waitForStart: () => Promise<void>;
};

/** Requests of new connections whose work begins in one turn. Those of connections that are there already are not held up, so that reads stay in time under overload. Each takes about a millisecond of a small VM's core, so that a turn stays at a few. */
const maximumStartsPerIteration = 4;

/**
 * @returns Turns in which nothing has begun.
 * @internal
 */
export function createRequestStartLimiter(): RequestStartLimiter {
	const waiting: Array<() => void> = [];
	let startedCount = 0;
	let isCounting = false;

	const endIteration = (): void => {
		const starting = waiting.splice(0, maximumStartsPerIteration);
		startedCount = starting.length;
		isCounting = startedCount > 0;
		if (isCounting) {
			setImmediate(endIteration);
		}

		for (const start of starting) {
			start();
		}
	};

	return {
		async waitForStart() {
			if (!isCounting) {
				isCounting = true;
				setImmediate(endIteration);
			}

			if (startedCount < maximumStartsPerIteration && waiting.length === 0) {
				startedCount++;
				return;
			}

			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		},
	};
}
