/**
 * Watches the store's head on the nodes whose duty it is: the relay of each
 * failure domain and its standby. The duty follows from the members that a
 * node sees. Two relays at once cost a second watch; none for a moment costs
 * time; neither costs a promise.
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
	/** Starts or stops the watch as the duty demands. */
	readonly update: (isOnDuty: boolean) => void;
	readonly dispose: () => void;
};

/** @internal */
export type RelayWatchContext = {
	readonly store: Store;
	readonly configuration: ConfigurationKeeper;
	readonly timeline: Timeline;
	readonly domain: string;
	readonly random: () => number;
	/** Told why this node may be behind, or an empty text. */
	readonly setLagReason: (reason: string) => void;
};

/** Milliseconds that one watch waits at the store. */
const watchTimeoutMs = 25_000;

/** The revision of a key that does not exist. */
const missingRevision = 0;

const initialBackoffMs = 250;
const maximumBackoffMs = 4000;

/**
 * Creates the watch, which is off until {@link RelayWatch.update} turns it on.
 *
 * @param context - What it works with.
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

	/** A watch that yields nothing before its time is over says that there is no head, as in a store that came back empty. To ask again at once would use up this node's calls on the store, also those that the operator needs to write the head anew. */
	const waitForMissingHead = async (signal: AbortSignal): Promise<number> => {
		await waitFor(initialBackoffMs, signal);
		return missingRevision;
	};

	/** @returns The revision to wait for a change of. */
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
		// The answer may have been overtaken by a newer version from a peer; only a read that began after that can prove the store behind.
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
		update(isOnDuty) {
			if (isOnDuty === (watchAbort !== undefined)) {
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
