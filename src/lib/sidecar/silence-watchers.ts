/**
 * Tells calls that wait for another node when that node falls silent.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type NodeId} from '../common/ids.js';

/** @internal */
export type SilenceWatchers = {
	/** Calls back once if the node falls silent; yields a function that takes that back. */
	readonly watch: (node: NodeId, handleSilence: () => void) => () => void;
	/** Calls back whenever somebody begins to wait while nobody did. */
	readonly listenForFirst: (handleFirst: () => void) => void;
	/** Tells those who wait for a node that is silent. */
	readonly tell: (isSilent: (node: NodeId) => boolean) => void;
	/** Nodes that somebody waits for, each with when the one that has waited longest began. Steady milliseconds. */
	readonly listAwaited: () => ReadonlyArray<readonly [node: NodeId, waitsSince: number]>;
	/** How many wait. */
	readonly countWaiting: () => number;
	/** Forgets nodes that nobody waits for. */
	readonly forgetIdle: () => void;
};

/**
 * @returns Watchers of no node yet.
 * @internal
 */
export function createSilenceWatchers(): SilenceWatchers {
	/** Since when each waits: the first of a map is the one that has waited longest. */
	const watchersByNode = new Map<NodeId, Map<() => void, number>>();
	let waiting = 0;
	let tellFirst = (): void => undefined;
	return {
		listenForFirst(handleFirst) {
			tellFirst = handleFirst;
		},
		watch(node, handleSilence) {
			const watchers = watchersByNode.get(node) ?? new Map<() => void, number>();
			// A function of its own for each, so that one that watches twice counts twice.
			const tellOnce = (): void => {
				handleSilence();
			};

			watchers.set(tellOnce, readSteadyMs());
			watchersByNode.set(node, watchers);
			waiting++;
			if (waiting === 1) {
				tellFirst();
			}

			return () => {
				if (watchers.delete(tellOnce)) {
					waiting--;
				}
			};
		},
		tell(isSilent) {
			for (const [node, watchers] of watchersByNode) {
				if (watchers.size === 0 || !isSilent(node)) {
					continue;
				}

				for (const handleSilence of watchers.keys()) {
					handleSilence();
				}
			}
		},
		listAwaited: () => [...watchersByNode].flatMap(([node, watchers]) => {
			const [waitsSince] = watchers.values();
			return waitsSince === undefined ? [] : [[node, waitsSince] as const];
		}),
		countWaiting: () => waiting,
		forgetIdle() {
			for (const [node, watchers] of watchersByNode) {
				if (watchers.size === 0) {
					watchersByNode.delete(node);
				}
			}
		},
	};
}
