/**
 * Tells calls that wait for another node when that node falls silent.
 *
 * @module
 */
import {type NodeId} from '../common/ids.js';

/** @internal */
export type SilenceWatchers = {
	/** Calls back once if the node falls silent; yields a function that takes that back. */
	readonly watch: (node: NodeId, handleSilence: () => void) => () => void;
	/** Tells those who wait for a node that is silent. */
	readonly tell: (isSilent: (node: NodeId) => boolean) => void;
	/** Nodes that somebody waits for. */
	readonly listAwaited: () => readonly NodeId[];
	/** Forgets nodes that nobody waits for. */
	readonly forgetIdle: () => void;
};

/**
 * @returns Watchers of no node yet.
 * @internal
 */
export function createSilenceWatchers(): SilenceWatchers {
	const watchersByNode = new Map<NodeId, Set<() => void>>();
	return {
		watch(node, handleSilence) {
			const watchers = watchersByNode.get(node) ?? new Set();
			watchers.add(handleSilence);
			watchersByNode.set(node, watchers);
			return () => {
				watchers.delete(handleSilence);
			};
		},
		tell(isSilent) {
			for (const [node, watchers] of watchersByNode) {
				if (watchers.size === 0 || !isSilent(node)) {
					continue;
				}

				for (const handleSilence of watchers) {
					handleSilence();
				}
			}
		},
		listAwaited: () => [...watchersByNode].filter(([, watchers]) => watchers.size > 0).map(([node]) => node),
		forgetIdle() {
			for (const [node, watchers] of watchersByNode) {
				if (watchers.size === 0) {
					watchersByNode.delete(node);
				}
			}
		},
	};
}
