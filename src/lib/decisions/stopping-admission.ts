/**
 * Decides which requests a node takes that shuts down and only still listens because the
 * backend server beside it makes calls for the requests that it works on.
 *
 * @module
 */

/** A request that a stopping node has read. @internal */
export type LateRequest = {
	/** Whether it is considered a call of a backend server, which works on a request of the node meanwhile. */
	readonly isNestedCall: boolean;
	/** When its caller no longer waits, in milliseconds of the steady clock. */
	readonly deadlineAt: number;
};

/**
 * @param request - The request.
 * @param stopTime - When the node must have answered its requests, in milliseconds of the steady clock.
 * @returns Whether the node takes it: it ends before the node does, or a request that the node has taken needs it.
 * @internal
 */
export function shouldAdmitLate({isNestedCall, deadlineAt}: LateRequest, stopTime: number): boolean {
	return isNestedCall || deadlineAt <= stopTime;
}
