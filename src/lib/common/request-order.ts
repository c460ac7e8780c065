/**
 * Decides which response closes a connection on which a caller sends further
 * requests before it has the response to the first one. Responses are sent in the
 * order of the requests, and those behind a response that closes are lost. Has no
 * sockets and no clock.
 *
 * @module
 */

/** The requests that were read from one connection. @internal */
export type RequestOrder = {
	/** Admits the next request that was read. Returns its position, or `undefined` if it must not be handled, because its response would not be sent. */
	readonly admit: () => number | undefined;
	/** Returns whether the response to a request may close the connection: no request was admitted behind it. If so, no further one is. */
	readonly tryClose: (position: number) => boolean;
	/** Admits no further requests. */
	readonly stop: () => void;
};

/**
 * @returns The order of a connection from which no request was read yet.
 * @internal
 */
export function createRequestOrder(): RequestOrder {
	let admittedCount = 0;
	let isStopped = false;
	return {
		admit: () => isStopped ? undefined : admittedCount++,
		tryClose(position) {
			const isLast = position === admittedCount - 1;
			isStopped ||= isLast;
			return isLast;
		},
		stop() {
			isStopped = true;
		},
	};
}
