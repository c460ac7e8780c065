/**
 * Shuts a node down in an order that loses no requests.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type ShutdownStep} from '../timeline/mesh-log.js';

/** The steps of a shutdown. @internal */
export type ShutdownSteps = {
	/** Makes each request end with an answer by a time, in milliseconds of the steady clock: at once if it cannot be executed by then. */
	readonly answerBy: (time: number) => void;
	/** Removes the node's entry from the store. */
	readonly withdraw: () => void;
	/** Stops accepting requests for the backend server and announces that to the other nodes. */
	readonly closeGate: () => void;
	/** Makes each further response close its connection. */
	readonly closeAfterAnswers: () => void;
	/** Refuses requests that may take longer than until the time of `answerBy`, except calls of the backend server. */
	readonly refuseLateRequests: () => void;
	/** Stops accepting connections and closes idle ones. */
	readonly stopListening: () => Promise<void>;
	/** Returns the number of requests that the backend server beside the node works on. */
	readonly countServerRequests: () => number;
	/** Returns the number of requests in flight. */
	readonly countInFlight: () => number;
	/** Called after each step with the time since the shutdown began and, if the step was due at a certain time, by how much it was late, in milliseconds. */
	readonly handleStep: (step: ShutdownStep, afterMs: number, lateMs: number | undefined) => void;
};

/** How long the gate accepts requests after the shutdown begins. The backend server still works during this time, and the node has to run until its callers have disconnected anyway. A request accepted at the end of this time can still use the longest timeout of the callers before the node must exit. */
const gateOpenMs = 1800;

/** The node accepts connections until this time, since callers may still connect. It accepts them for longer while its backend server works on requests, for which the server may make calls through the node. */
const stopListeningAfterMs = 2700;

/** Requests that are still in flight this long before the deadline of the node are answered with a failure. */
const answerMarginMs = 900;

/** The node stops waiting for its answers to be sent this long before its deadline. */
const exitMarginMs = 600;

const inFlightPollMs = 25;

/**
 * Shuts a node down. Its readiness check must already report that it is not ready.
 *
 * @param steps - The steps of the shutdown.
 * @param limitMs - Time until the process must have exited.
 * @returns How long the shutdown took, in milliseconds.
 * @internal
 */
export async function runGracefulShutdown(steps: ShutdownSteps, limitMs: number): Promise<number> {
	const startedAt = readSteadyMs();
	const waitUntil = async (afterMs: number): Promise<void> => waitFor(Math.max(0, startedAt + afterMs - readSteadyMs()));
	const report = (step: ShutdownStep, dueMs?: number): void => {
		const afterMs = readSteadyMs() - startedAt;
		steps.handleStep(step, afterMs, dueMs === undefined ? undefined : afterMs - dueMs);
	};

	/** Waits while a condition holds, up to the time at which the last answers must have been sent. */
	const waitWhile = async (holds: () => boolean): Promise<void> => {
		while (holds() && readSteadyMs() - startedAt < limitMs - exitMarginMs) {
			await waitFor(inFlightPollMs);
		}
	};

	steps.answerBy(startedAt + limitMs - answerMarginMs);
	steps.withdraw();
	// A caller learns from a response that its connection closes. On one that is closed while it is idle, a request may be on its way. So as few as possible are left to be closed.
	steps.closeAfterAnswers();
	report('connections-closing', 0);
	await waitUntil(gateOpenMs);
	steps.closeGate();
	report('gate-closed', gateOpenMs);
	await waitUntil(stopListeningAfterMs);
	steps.refuseLateRequests();
	report('late-requests-refused', stopListeningAfterMs);
	await waitWhile(() => steps.countServerRequests() > 0);
	await steps.stopListening();
	report('listener-closed');
	await waitWhile(() => steps.countInFlight() > 0);

	// The last responses are still on their way to the callers.
	await waitFor(inFlightPollMs * 2);
	return readSteadyMs() - startedAt;
}
