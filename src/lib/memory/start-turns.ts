/**
 * Lets connections with more requests than they may start in one iteration of the event
 * loop start the others in later ones, in turn. A connection delivers hundreds of requests
 * in one read; where they end at once, handling all of them would keep everybody else waiting.
 *
 * @module
 */

/** @internal */
export type StartTurns<Connection> = {
	/** Lets a connection start requests in a later iteration. */
	readonly queue: (connection: Connection) => void;
	/** Forgets a connection that has closed. */
	readonly forget: (connection: Connection) => void;
};

/** Connections that get their turn in one iteration of the event loop. */
const turnsPerIteration = 32;

/**
 * @param startRequests - Starts requests of a connection, as many as it may start in one iteration. It may queue the connection again.
 * @returns The turns, with no connection waiting.
 * @internal
 */
export function createStartTurns<Connection>(startRequests: (connection: Connection) => void): StartTurns<Connection> {
	/** In the order of their turns. */
	const queued = new Set<Connection>();
	let isScheduled = false;

	const giveTurns = (): void => {
		isScheduled = false;
		for (const connection of [...queued].slice(0, turnsPerIteration)) {
			queued.delete(connection);
			startRequests(connection);
		}

		if (queued.size > 0) {
			schedule();
		}
	};

	const schedule = (): void => {
		if (!isScheduled) {
			isScheduled = true;
			setImmediate(giveTurns);
		}
	};

	return {
		queue(connection) {
			queued.add(connection);
			schedule();
		},
		forget(connection) {
			queued.delete(connection);
		},
	};
}
