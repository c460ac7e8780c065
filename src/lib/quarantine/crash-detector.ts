/**
 * Distinguishes a crash of a backend server from a connection that was lost for another
 * reason: an overloaded server resets single connections and keeps listening, a crashed
 * one refuses the next connection.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';

/** @internal */
export type CrashDetectorContext<Item> = {
	/** Probes whether the server has ended: nothing listens at its address, or a new lifetime does. */
	readonly hasEnded: () => Promise<boolean>;
	/** Called with all requests that were in flight when the server ended. */
	readonly handleCrash: (inFlight: readonly Item[]) => void;
};

/** @internal */
export type CrashDetector<Item> = {
	/** Records a request that was in flight on a lost connection; resolves with whether the server has ended. */
	readonly recordLost: (item: Item) => Promise<boolean>;
	/** Records that a new lifetime has replaced the server without a leave message. Earlier probes may have found the new lifetime listening, so requests lost shortly before were in flight at a crash. */
	readonly recordReplaced: () => void;
};

/** All connections of the server close at about the same time when its process ends. After the end of the first one, the node reads the end of the others within this time. */
const gatherWindowMs = 3;

/** Shortest time between probes of a server that was found listening. An overloaded server may reset many connections, and each probe is another connection. */
const minProbeIntervalMs = 50;

/** A new lifetime announces itself within this time after the end of the previous one, as observed by a node that may have been paused in between. */
const restartWindowMs = 5000;

/** Largest number of unexplained requests that are kept: several times the requests in flight at the largest servers of the users. */
const maxUnexplained = 64;

/**
 * @param context - The probe, and the handler of crashes.
 * @returns A detector for one lifetime of a server.
 * @internal
 */
export function createCrashDetector<Item>({hasEnded, handleCrash}: CrashDetectorContext<Item>): CrashDetector<Item> {
	let lost: Item[] = [];
	let pendingProbe: Promise<boolean> | undefined;
	let foundListeningAt = Number.NEGATIVE_INFINITY;
	/** Requests that were lost while the server, or its next lifetime, was found listening. */
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
