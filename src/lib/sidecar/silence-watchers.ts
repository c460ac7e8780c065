/**
 * Registry of callbacks for calls that wait for another node. They run when that
 * node becomes silent.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';

/** @internal */
export type SilenceWatchers = {
	/** Registers a callback, which runs at each check that finds the node silent, ten times a second. Returns a function that unregisters it. */
	readonly watch: (node: NodeId, handleSilence: () => void) => () => void;
	/** Sets the callback that runs whenever a watcher is registered while there are none. */
	readonly listenForFirstWatcher: (handleFirstWatcher: () => void) => void;
	/** Runs the callbacks of the silent nodes. */
	readonly notify: (isSilent: (node: NodeId) => boolean) => void;
	/** Returns the nodes with watchers, each with the time in steady milliseconds since which its oldest watcher waits. */
	readonly listWatchedNodes: () => ReadonlyArray<readonly [node: NodeId, waitingSince: number]>;
	readonly countWatchers: () => number;
	/** Removes the entries of nodes without watchers. */
	readonly removeUnwatchedNodes: () => void;
};

/**
 * @returns An empty registry.
 * @internal
 */
export function createSilenceWatchers(): SilenceWatchers {
	/** Callbacks of each node with the time since which they wait. The first one of a map has waited longest. */
	const watchersByNode = new Map<NodeId, Map<() => void, number>>();
	let watcherCount = 0;
	let handleFirstWatcher = (): void => undefined;
	return {
		listenForFirstWatcher(handler) {
			handleFirstWatcher = handler;
		},
		watch(node, handleSilence) {
			const watchers = watchersByNode.get(node) ?? new Map<() => void, number>();
			// A new function for each registration, so that a callback that is registered twice counts twice.
			const notifyWatcher = (): void => {
				handleSilence();
			};

			watchers.set(notifyWatcher, readSteadyMs());
			watchersByNode.set(node, watchers);
			watcherCount++;
			if (watcherCount === 1) {
				handleFirstWatcher();
			}

			return () => {
				if (watchers.delete(notifyWatcher)) {
					watcherCount--;
				}
			};
		},
		notify(isSilent) {
			for (const [node, watchers] of watchersByNode) {
				if (watchers.size === 0 || !isSilent(node)) {
					continue;
				}

				for (const handleSilence of watchers.keys()) {
					handleSilence();
				}
			}
		},
		listWatchedNodes: () => [...watchersByNode].flatMap(([node, watchers]) => {
			const [waitingSince] = watchers.values();
			return waitingSince === undefined ? [] : [[node, waitingSince] as const];
		}),
		countWatchers: () => watcherCount,
		removeUnwatchedNodes() {
			for (const [node, watchers] of watchersByNode) {
				if (watchers.size === 0) {
					watchersByNode.delete(node);
				}
			}
		},
	};
}
