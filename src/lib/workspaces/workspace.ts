/**
 * A workspace: a customer of the mesh whose callers identify themselves by keys.
 *
 * @module
 */

/** @public */
export type Workspace = {
	readonly name: string;
	/** Keys of its callers. They must not be logged, nor sent anywhere except as a part of the configuration. */
	readonly keys: readonly string[];
	/** Priority under overload, in place of the route's; 0 is the highest. `undefined` if the route's priority applies. */
	readonly priority: number | undefined;
	/** Requests per second over all nodes; `undefined` for no quota. */
	readonly ratePerSecond: number | undefined;
	/** Requests that the workspace may send at once, over all nodes, after it was idle; ignored without a quota. */
	readonly burst: number;
};

/** Names are sent to backend servers as the value of a header. */
const namePattern = /^[\u0021-\u007E](?:[\u0020-\u007E]{0,126}[\u0021-\u007E])?$/;

/** The form of a valid name, for error messages. @internal */
export const workspaceNameForm = '1 to 128 printable ASCII characters without spaces at its ends';

/**
 * @param name - A name.
 * @returns Whether it is valid as the name of a workspace.
 * @internal
 */
export function isWorkspaceName(name: string): boolean {
	return namePattern.test(name);
}
