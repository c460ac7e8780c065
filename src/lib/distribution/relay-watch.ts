/**
 * Watches the store's head on the relay of each failure domain and on its
 * standby. Each node derives these roles from its own member list. If two nodes
 * are relay at the same time, the store serves one more watch; while there is none, new
 * versions arrive later. Neither affects correctness.
 *
 * @module
 */
import {readNow, waitFor} from '../common/clock.js';
import {type Store} from '../store/store.js';
import {type Timeline} from '../timeline/timeline.js';
import {type ConfigurationKeeper} from './configuration-keeper.js';
import {headKey} from './head-record.js';
import {applyHead, readHead} from './read-head.js';

/** @internal */
export type RelayWatch = {
	/** Starts the watch if this node should watch the store, and stops it otherwise. */
	readonly update: (shouldWatch: boolean) => void;
	readonly dispose: () => void;
};

/** @internal */
export type RelayWatchContext = {
	readonly store: Store;
	readonly configuration: ConfigurationKeeper;
	readonly timeline: Timeline;
	readonly domain: string;
	readonly random: () => number;
	/** Sets the reason why this node may be behind; an empty string if it is not behind. */
	readonly setLagReason: (reason: string) => void;
};

/** Timeout of one watch call at the store. */
const watchTimeoutMs = 25_000;

/** Revision of a key that does not exist. */
const missingRevision = 0;

const initialBackoffMs = 250;
const maximumBackoffMs = 4000;

/**
 * Creates the watch. {@link RelayWatch.update} starts it.
 *
 * @param context - The dependencies.
 * @returns The watch.
 * @internal
 */
export function createRelayWatch(context: RelayWatchContext): RelayWatch {
	const {store, configuration, timeline, domain, random, setLagReason} = context;
	let watchAbort: AbortController | undefined;
	let failures = 0;

	const handleFailure = (reason: string): void => {
		if (failures === 0) {
			timeline.record({kind: 'store-lost', reason});
		}

		failures++;
		setLagReason(reason);
	};

	const handleSuccess = (version: number): void => {
		if (failures > 0) {
			timeline.record({kind: 'store-back', version});
		}

		failures = 0;
		setLagReason('');
	};

	/** Waits before the next watch. A watch that returns nothing before its timeout means that there is no head, as in a store that was restored empty. Watching again immediately would use up this node's budget of store calls, which the operator needs to republish the head. */
	const waitForMissingHead = async (signal: AbortSignal): Promise<number> => {
		await waitFor(initialBackoffMs, signal);
		return missingRevision;
	};

	/** @returns The last known revision of the head, for the next watch. */
	const watchOnce = async (revision: number, signal: AbortSignal): Promise<number> => {
		const startedAt = readNow();
		const seen = await store.watch({
			key: headKey, knownRevision: revision, timeoutMs: watchTimeoutMs, signal,
		});
		if (signal.aborted) {
			return revision;
		}

		if (seen.isErr()) {
			handleFailure(`the platform's store does not answer: ${seen.error.reason}`);
			return revision;
		}

		if (seen.value === undefined) {
			handleSuccess(configuration.getConfiguration().version);
			return readNow() - startedAt < watchTimeoutMs ? waitForMissingHead(signal) : revision;
		}

		const first = await applyHead(store, configuration.getConfiguration(), seen.value);
		// A peer may have delivered a newer version during the watch. Only a read that starts after that can show that the store is behind.
		const mayBeOutdated = first.isErr() && first.error.type === 'store-behind';
		const head = mayBeOutdated ? await readHead(store, configuration.getConfiguration()) : first;
		if (head.isErr()) {
			const text = JSON.stringify(head.error);
			timeline.record({
				kind: 'configuration-refused', version: 0, reason: text, from: 'store',
			});
			handleFailure(text);
			return seen.value.revision;
		}

		configuration.applyIfNewer(head.value.configuration, head.value.deltas, 'store');
		handleSuccess(head.value.configuration.version);
		return head.value.revision;
	};

	const run = async (signal: AbortSignal): Promise<void> => {
		let revision = 0;
		while (!signal.aborted) {
			revision = await watchOnce(revision, signal);
			if (failures > 0) {
				await waitFor(Math.min(maximumBackoffMs, initialBackoffMs * (2 ** failures)) * (0.5 + (random() / 2)), signal);
			}
		}
	};

	return {
		update(shouldWatch) {
			if (shouldWatch === (watchAbort !== undefined)) {
				return;
			}

			if (watchAbort === undefined) {
				watchAbort = new AbortController();
				timeline.record({kind: 'relay-started', domain});
				void run(watchAbort.signal);
				return;
			}

			watchAbort.abort();
			watchAbort = undefined;
			timeline.record({kind: 'relay-stopped', domain});
		},
		dispose() {
			watchAbort?.abort();
			watchAbort = undefined;
		},
	};
}
