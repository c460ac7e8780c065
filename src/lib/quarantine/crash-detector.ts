/**
 * Tells the end of a backend server from a connection that was lost for another
 * reason: a server that is full resets single connections and goes on listening,
 * one that has ended refuses the next connection.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';

/** @internal */
export type CrashDetectorContext<Item> = {
	/** Whether the server has ended: nobody listens at its address, or another start is there. */
	readonly hasEnded: () => Promise<boolean>;
	/** Told of all that was in work when the server ended. */
	readonly handleCrash: (inFlight: readonly Item[]) => void;
};

/** @internal */
export type CrashDetector<Item> = {
	/** Notes what was in work on a connection that was lost; yields whether the server has ended. */
	readonly recordLost: (item: Item) => Promise<boolean>;
	/** Another start has taken the server's place without a word: what listened when it was asked was that one, and what was lost shortly before was in work at a crash. */
	readonly recordReplaced: () => void;
};

/** Connections of a process that ends are cut together; those that this process has not read yet are read within this time. Milliseconds. */
const gatherWindowMs = 3;

/** A server that was found listening is not asked again for so many milliseconds: one that is full may reset many connections, and each question is a connection more. */
const minProbeIntervalMs = 50;

/** Another start announces itself within this time after the end of the one before, as far as a node that stood still meanwhile can tell. Milliseconds. */
const restartWindowMs = 5000;

/** Lost requests whose server was found listening that are remembered at the most: several times what is in work at the largest servers of the users. */
const maxUnexplained = 64;

/**
 * @param context - How the server is asked, and who is told.
 * @returns A watch over one lifetime of a server.
 * @internal
 */
export function createCrashDetector<Item>({hasEnded, handleCrash}: CrashDetectorContext<Item>): CrashDetector<Item> {
	let lost: Item[] = [];
	let pendingProbe: Promise<boolean> | undefined;
	let foundListeningAt = Number.NEGATIVE_INFINITY;
	/** Lost while the server, or its next start, was found listening. */
	let unexplained: ReadonlyArray<{readonly item: Item; readonly at: number}> = [];

	const keepUnexplained = (items: readonly Item[]): void => {
		const at = readSteadyMs();
		unexplained = [...unexplained, ...items.map(item => ({item, at}))].slice(-maxUnexplained);
	};

	const runProbe = async (): Promise<boolean> => {
		await waitFor(gatherWindowMs);
		const isCrash = await hasEnded();
		const inFlight = lost;
		lost = [];
		pendingProbe = undefined;
		if (isCrash) {
			unexplained = [];
			handleCrash(inFlight);
		} else {
			foundListeningAt = readSteadyMs();
			keepUnexplained(inFlight);
		}

		return isCrash;
	};

	return {
		async recordLost(item) {
			if (pendingProbe === undefined && readSteadyMs() - foundListeningAt < minProbeIntervalMs) {
				keepUnexplained([item]);
				return false;
			}

			lost.push(item);
			pendingProbe ??= runProbe();
			return pendingProbe;
		},
		recordReplaced() {
			const since = readSteadyMs() - restartWindowMs;
			const inFlight = unexplained.filter(({at}) => at > since).map(({item}) => item);
			unexplained = [];
			if (inFlight.length > 0) {
				handleCrash(inFlight);
			}
		},
	};
}
