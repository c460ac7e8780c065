/**
 * Tells the end of a backend server from a connection that was lost for another
 * reason: a server that is full resets single connections and goes on listening,
 * one that has ended refuses the next connection.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';

/** @internal */
export type CrashWatchContext<Item> = {
	/** Whether the server has ended: nobody listens at its address, or another start is there. */
	readonly hasEnded: () => Promise<boolean>;
	/** Told of all that was in work when the server ended. */
	readonly handleCrash: (atWork: readonly Item[]) => void;
};

/** @internal */
export type CrashWatch<Item> = {
	/** Notes what was in work on a connection that was lost; yields whether the server has ended. */
	readonly noteLost: (item: Item) => Promise<boolean>;
};

/** Connections of a process that ends are cut together; those that this process has not read yet are read within this time. Milliseconds. */
const gatherMs = 3;

/** A server that was found listening is not asked again for so many milliseconds: one that is full may reset many connections, and each question is a connection more. */
const restMs = 50;

/**
 * @param context - How the server is asked, and who is told.
 * @returns A watch over one lifetime of a server.
 * @internal
 */
export function createCrashWatch<Item>({hasEnded, handleCrash}: CrashWatchContext<Item>): CrashWatch<Item> {
	let lost: Item[] = [];
	let question: Promise<boolean> | undefined;
	let foundListeningAt = Number.NEGATIVE_INFINITY;

	const ask = async (): Promise<boolean> => {
		await waitFor(gatherMs);
		const isCrash = await hasEnded();
		const atWork = lost;
		lost = [];
		question = undefined;
		if (isCrash) {
			handleCrash(atWork);
		} else {
			foundListeningAt = readSteadyMs();
		}

		return isCrash;
	};

	return {
		async noteLost(item) {
			if (question === undefined && readSteadyMs() - foundListeningAt < restMs) {
				return false;
			}

			lost.push(item);
			question ??= ask();
			return question;
		},
	};
}
