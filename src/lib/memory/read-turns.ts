/**
 * Reads few connections at a time while much is held for requests. A connection delivers
 * hundreds of requests in one read, and what is held for a closed one is released only at
 * the end of the iteration of the event loop, so that many connections which send at the
 * same moment would pass any bound on their sum.
 *
 * @module
 */
import {type Socket} from 'node:net';

/** @internal */
export type ReadTurns = {
	/** Makes connections wait for their turn to be read. */
	readonly delay: (sockets: Iterable<Socket>) => void;
	readonly isDelayed: (socket: Socket) => boolean;
	/** Makes all connections wait for their turns. */
	readonly startRound: (sockets: Iterable<Socket>) => void;
	/** Returns whether connections of the last round still wait. */
	readonly isInRound: () => boolean;
	/** Forgets a connection that has closed. */
	readonly forget: (socket: Socket) => void;
};

/** Connections that get their turn in one iteration of the event loop. */
const turnsPerIteration = 4;

/**
 * @param mayRead - Whether a connection may be read once it has its turn.
 * @returns The turns, with no connection waiting.
 * @internal
 */
export function createReadTurns(mayRead: (socket: Socket) => boolean): ReadTurns {
	/** In the order of their turns. */
	const delayed = new Set<Socket>();
	/** The connection whose turn ends the round. */
	let lastOfRound: Socket | undefined;
	let isScheduled = false;

	const forget = (socket: Socket): void => {
		delayed.delete(socket);
		if (socket === lastOfRound) {
			lastOfRound = undefined;
		}
	};

	const giveTurns = (): void => {
		isScheduled = false;
		let turns = 0;
		for (const socket of delayed) {
			if (turns >= turnsPerIteration) {
				schedule();
				return;
			}

			turns++;
			forget(socket);
			if (mayRead(socket)) {
				socket.resume();
			}
		}
	};

	const schedule = (): void => {
		if (!isScheduled) {
			isScheduled = true;
			// Connections that are closed meanwhile are gone by then.
			setImmediate(() => {
				setImmediate(giveTurns);
			});
		}
	};

	const delay = (sockets: Iterable<Socket>): void => {
		for (const socket of sockets) {
			delayed.add(socket);
			socket.pause();
		}

		schedule();
	};

	return {
		delay,
		isDelayed: socket => delayed.has(socket),
		startRound(sockets) {
			delay(sockets);
			lastOfRound = [...delayed].at(-1);
		},
		isInRound: () => lastOfRound !== undefined,
		forget,
	};
}
