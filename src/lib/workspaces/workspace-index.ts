/**
 * Finds the workspace that holds a key.
 *
 * @module
 */
import {hash} from 'node:crypto';
import {type Workspace} from './workspace.js';

/** Workspaces by the digests of their keys. @internal */
export type WorkspaceIndex = {
	/** Whether the configuration has no workspaces, so that requests need no key. */
	readonly isEmpty: boolean;
	/** Returns the workspace that holds a key. Its time does not depend on how much of the key equals a known one, because only digests are compared. */
	readonly findByKey: (key: string) => Workspace | undefined;
};

const computeKeyDigest = (key: string): string => hash('sha256', key, 'base64');

/**
 * @param workspaces - The workspaces of a configuration.
 * @returns Their index.
 * @internal
 */
export function createWorkspaceIndex(workspaces: readonly Workspace[]): WorkspaceIndex {
	const byDigest = new Map<string, Workspace>();
	for (const workspace of workspaces) {
		for (const key of workspace.keys) {
			byDigest.set(computeKeyDigest(key), workspace);
		}
	}

	return {
		isEmpty: workspaces.length === 0,
		findByKey: key => byDigest.get(computeKeyDigest(key)),
	};
}
