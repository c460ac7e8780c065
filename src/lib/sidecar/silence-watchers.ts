/**
 * Tells calls that wait for another node when that node falls silent.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';

/** @internal */
export type SilenceWatchers = {
	/** Calls back each time that the node is found silent, ten times a second; yields a function that takes that back. */
	readonly watch: (node: NodeId, handleSilence: () => void) => () => void;
	/** Calls back whenever somebody begins to wait while nobody did. */
	readonly listenForFirstWatcher: (handleFirstWatcher: () => void) => void;
	/** Tells those who wait for a node that is silent. */
	readonly notify: (isSilent: (node: NodeId) => boolean) => void;
	/** Nodes that somebody waits for, each with when the one that has waited longest began. Steady milliseconds. */
	readonly listWatchedNodes: () => ReadonlyArray<readonly [node: NodeId, waitingSince: number]>;
	/** How many wait. */
	readonly countWatchers: () => number;
	/** Forgets nodes that nobody waits for. */
	readonly removeUnwatchedNodes: () => void;
};

/**
 * @returns Watchers of no node yet.
 * @internal
 */
export function createSilenceWatchers(): SilenceWatchers {
	/** Since when each waits: the first of a map is the one that has waited longest. */
	const watchersByNode = new Map<NodeId, Map<() => void, number>>();
	let watcherCount = 0;
	let handleFirstWatcher = (): void => undefined;
	return {
		listenForFirstWatcher(handler) {
			handleFirstWatcher = handler;
		},
		watch(node, handleSilence) {
			const watchers = watchersByNode.get(node) ?? new Map<() => void, number>();
			// A function of its own for each, so that one that watches twice counts twice.
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
