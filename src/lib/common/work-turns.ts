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
export type WorkTurns = {
	/** Waits until the work on a request may begin; at once unless this turn has begun enough. */
	readonly begin: () => Promise<void>;
};

/** Requests of new connections whose work begins in one turn. Those of connections that are there already are not held up, so that reads stay in time under overload. Each takes about a millisecond of a small VM's core, so that a turn stays at a few. */
const begunPerTurn = 4;

/**
 * @returns Turns in which nothing has begun.
 * @internal
 */
export function createWorkTurns(): WorkTurns {
	const waiting: Array<() => void> = [];
	let begun = 0;
	let isCounting = false;

	const endTurn = (): void => {
		const next = waiting.splice(0, begunPerTurn);
		begun = next.length;
		isCounting = begun > 0;
		if (isCounting) {
			setImmediate(endTurn);
		}

		for (const start of next) {
			start();
		}
	};

	return {
		async begin() {
			if (!isCounting) {
				isCounting = true;
				setImmediate(endTurn);
			}

			if (begun < begunPerTurn && waiting.length === 0) {
				begun++;
				return;
			}

			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		},
	};
}
