/**
 * Takes a node out of the mesh without losing work.
 *
 * @module
 */
import {readNow, waitFor} from '../common/clock.js';

/** What a node hands over to be drained. @internal */
export type DrainContext = {
	/** Closes the gates: what they turn away from now on has not run. */
	readonly startDrainingServers: () => void;
	/** Takes no new connections of callers, and closes the idle ones. */
	readonly startDrainingEntry: () => void;
	/** Calls of callers that have not been answered whole. */
	readonly countCalls: () => number;
	/** Waits until the backend servers beside the node work on nothing. */
	readonly waitUntilIdle: (timeoutMs: number) => Promise<boolean>;
	/** Tells the others that the node has left. */
	readonly leave: () => void;
	/** Milliseconds that calls in flight have to end. */
	readonly drainMs: number;
};

/** Milliseconds for which a draining node goes on taking connections, so that those under way find it. */
const lingerMs = 300;

const pollIntervalMs = 20;

async function waitForCalls(countCalls: () => number, deadline: number): Promise<boolean> {
	while (countCalls() > 0 && readNow() < deadline) {
		await waitFor(pollIntervalMs);
	}

	return countCalls() === 0;
}

/**
 * Drains a node: no new work, calls in flight end, the others hear of it.
 *
 * @param parts - What is drained.
 * @returns Whether every call had ended in time.
 * @internal
 */
export async function drainNode(context: DrainContext): Promise<boolean> {
	context.startDrainingServers();
	await waitFor(lingerMs);
	context.startDrainingEntry();
	const deadline = readNow() + context.drainMs;
	const hasNoCalls = await waitForCalls(context.countCalls, deadline);
	const hasIdleServers = await context.waitUntilIdle(Math.max(0, deadline - readNow()));
	context.leave();
	await waitFor(lingerMs);
	return hasNoCalls && hasIdleServers;
}
