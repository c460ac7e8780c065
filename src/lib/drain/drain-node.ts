/**
 * Graceful shutdown of a node: rejects new requests, and lets calls in flight
 * end before the node leaves the mesh.
 *
 * @module
 */
import {readNow, waitFor} from '../common/clock.js';

/** Functions of the node to drain. @internal */
export type DrainContext = {
	/** Makes the gates of this node's backend servers reject new requests. A rejected request was not executed. */
	readonly startDrainingServers: () => void;
	/** Makes responses to callers close their connections, and refuses requests that may take longer than until `endsAt`, in Unix milliseconds. */
	readonly startDrainingEntry: (endsAt: number) => void;
	/** Stops accepting connections from callers, and closes idle ones. */
	readonly stopListening: () => Promise<void>;
	/** Returns the number of calls whose response is not complete. */
	readonly countCalls: () => number;
	/** Waits until the backend servers beside the node have no requests. Returns false on timeout. */
	readonly waitUntilIdle: (timeoutMs: number) => Promise<boolean>;
	/** Ends all calls in flight with an answer. */
	readonly endCalls: () => void;
	/** Publishes that the node has left the mesh. */
	readonly leave: () => void;
	/** Milliseconds within which calls in flight have to end. */
	readonly drainMs: number;
};

/** How long a draining node still accepts connections, so that callers that are just connecting do not fail, and how long it keeps running after it has published that it left and has answered the last calls. */
const lingerMs = 300;

const pollIntervalMs = 20;

async function waitForCalls(countCalls: () => number, deadline: number): Promise<boolean> {
	while (countCalls() > 0 && readNow() < deadline) {
		await waitFor(pollIntervalMs);
	}

	return countCalls() === 0;
}

/**
 * Drains a node: rejects new requests, waits until calls in flight end, then publishes that the node has left.
 *
 * @param context - Functions of the node to drain.
 * @returns Whether all calls ended in time.
 * @internal
 */
export async function drainNode(context: DrainContext): Promise<boolean> {
	context.startDrainingServers();
	await waitFor(lingerMs);
	const deadline = readNow() + context.drainMs;
	context.startDrainingEntry(deadline);
	// The servers may make calls through this node for the requests that they work on.
	const hasIdleServers = await context.waitUntilIdle(context.drainMs);
	await context.stopListening();
	const hasNoCalls = await waitForCalls(context.countCalls, deadline);
	context.endCalls();
	context.leave();
	await waitFor(lingerMs);
	return hasNoCalls && hasIdleServers;
}
