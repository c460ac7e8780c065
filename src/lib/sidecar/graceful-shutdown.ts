/**
 * The order in which a node leaves without losing work.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';

/** What a node does on its way out. @internal */
export type ShutdownSteps = {
	/** Takes the node out of the store. */
	readonly withdraw: () => void;
	/** Takes no more requests for the backend server, and says so to the other nodes. */
	readonly closeGate: () => void;
	/** From here on each answer closes its connection. */
	readonly closeAfterAnswers: () => void;
	/** Takes no more connections, and closes idle ones. */
	readonly stopListening: () => void;
	/** Requests in work. */
	readonly countInFlight: () => number;
};

/** For how long requests for the backend server are still taken. Milliseconds: the server goes on working and the node stays anyway until its callers have gone; a request taken last still has the longest time that users' callers wait before the node has to go. */
const gateOpenMs = 1800;

/** From when on answers close their connections. Milliseconds: by then callers have been told twice that the node is not ready. */
const closeConnectionsAfterMs = 2300;

/** Before when the node does not go, since callers may still come. Milliseconds. */
const stopListeningAfterMs = 2700;

/** How long before the end of the time to shut down the node goes, whatever is still in work. Milliseconds. */
const exitMarginMs = 900;

/** Between two looks at what is still in work. Milliseconds. */
const inFlightPollMs = 25;

/**
 * Shuts a node down; it has to be not ready by then.
 *
 * @param steps - What it does.
 * @param limitMs - When it must be gone, in milliseconds from now.
 * @returns How long it took, in milliseconds.
 * @internal
 */
export async function runGracefulShutdown(steps: ShutdownSteps, limitMs: number): Promise<number> {
	const startedAt = readSteadyMs();
	const waitUntil = async (afterMs: number): Promise<void> => waitFor(Math.max(0, startedAt + afterMs - readSteadyMs()));
	steps.withdraw();
	await waitUntil(gateOpenMs);
	steps.closeGate();
	await waitUntil(closeConnectionsAfterMs);
	steps.closeAfterAnswers();
	await waitUntil(stopListeningAfterMs);
	steps.stopListening();
	while (steps.countInFlight() > 0 && readSteadyMs() - startedAt < limitMs - exitMarginMs) {
		await waitFor(inFlightPollMs);
	}

	// The last answers are still on their way to the callers.
	await waitFor(inFlightPollMs * 2);
	return readSteadyMs() - startedAt;
}
