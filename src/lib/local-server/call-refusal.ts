/**
 * Why a call that speaks for the backend server is not taken in. Whoever sent
 * it, it names no server to use, and what is held of servers stays as it is.
 *
 * @module
 */

/** What is wrong with it; refusals are counted by it. @internal */
export type RefusalCause =
	/** The target names no server. */
	| 'server-id'
	/** The body is no JSON object in UTF-8. */
	| 'body'
	/** It does not say which start of the server speaks, or not as a whole number. */
	| 'start'
	/** A field is missing, has another type or is out of bounds. */
	| 'field'
	/** The server says that it is in a state that is not known here. */
	| 'state'
	/** The server says that it runs another service than the one beside this node. */
	| 'service';

/** @internal */
export type CallRefusal = {
	readonly cause: RefusalCause;
	/** The place, what was found there and what is allowed. */
	readonly text: string;
};
