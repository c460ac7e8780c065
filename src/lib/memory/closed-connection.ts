/**
 * Why and when a request window closes a connection.
 *
 * @module
 */

/** Why a connection was closed: what is held for its client is too much, all connections are too many, or its client does not read. @internal */
export type ClosingCause = 'memory' | 'connections' | 'unread';

/** A connection that was closed to keep a bound. @internal */
export type ClosedConnection = {
	readonly cause: ClosingCause;
	/** IP address of the client. */
	readonly client: string;
	/** Bytes of bodies and answers that were held for the client. */
	readonly bytes: number;
	/** Requests that were read and not answered. */
	readonly requests: number;
};
