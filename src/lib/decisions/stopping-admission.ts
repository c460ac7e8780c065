/**
 * Decides which requests a node takes that shuts down and only still listens because the
 * backend server beside it makes calls for the requests that it works on.
 *
 * @module
 */

/** A request that a stopping node has read. @internal */
export type LateRequest = {
	/** Whether it is considered a call of a backend server, which works on a request of the node meanwhile. Callers may use the same route. */
	readonly isNestedCall: boolean;
	/** Whether it may be run twice. */
	readonly isRepeatable: boolean;
	/** When its caller no longer waits, in milliseconds of the steady clock. */
	readonly deadlineAt: number;
};

/** Until when a stopping node can finish requests, in milliseconds of the steady clock. @internal */
export type LateTimes = {
	/** When the node must have answered its requests. */
	readonly stopTime: number;
	/** Until when the backend server beside the node may work on the requests that it has; negative infinity if it has none. */
	readonly serverWorksUntil: number;
};

/** How much later than its request a call of the server may seem to end: the time left of the call is rounded, and takes a while to arrive. */
const nestedCallDelayMs = 100;

/**
 * @param request - The request.
 * @param times - Until when requests can be finished.
 * @returns Whether the node takes it: it ends before the node does, or a request that the node has taken may need it. A call ends with the request that it is made for at the latest.
 * @internal
 */
export function shouldAdmitLate({isNestedCall, isRepeatable, deadlineAt}: LateRequest, {stopTime, serverWorksUntil}: LateTimes): boolean {
	if (deadlineAt <= stopTime) {
		return true;
	}

	// It may be a caller's. The end of the node then breaks off only what can be repeated.
	return isNestedCall && isRepeatable && deadlineAt <= serverWorksUntil + nestedCallDelayMs;
}
