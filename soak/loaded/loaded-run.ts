/**
 * What a backend server of a loaded mesh records of each request.
 *
 * @module
 */

/** A request that the server began to work on. Times are Unix milliseconds. */
export type LoadedRun = {
	readonly id: string;
	readonly server: string;
	readonly node: string;
	readonly target: string;
	/** When it arrived, and for how long the server was allowed to work on it from then on, in milliseconds. */
	readonly at: number;
	readonly leftMs: number;
	/** When the server answered; `undefined` while it works, and if the connection closed first. */
	endedAt: number | undefined;
	status: number | undefined;
	/** When the connection closed before the answer. */
	brokenOffAt: number | undefined;
	/** When the server gave the request up by itself, without a whole answer. */
	abandonedAt: number | undefined;
	/** Name of the fault with which the server answered. */
	answerFault: string | undefined;
	/** Whether a call that it needed failed. */
	hasFailedCall: boolean;
};
