/**
 * Follows the configuration in the store: one read, then a watch that is
 * opened again after each change.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type ConfigStep} from '../route-config/config-history.js';
import {type ConfigHolder} from '../route-config/config-holder.js';
import {type RouteConfig} from '../route-config/route-config.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {type StorePosition} from '../store/store-position.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type StoreHealth} from './store-health.js';

/** @internal */
export type ConfigFollowerContext = {
	readonly store: MeshStore;
	readonly health: StoreHealth;
	readonly holder: ConfigHolder;
	/** Key under which the operators' configuration stands. */
	readonly key: string;
	readonly decode: (text: string) => Result<RouteConfig, string>;
	readonly log: MeshLog;
	readonly random: () => number;
	/** Whether this node is one of those that ask the store; the others hear of changes from these. */
	readonly shouldFollow: () => boolean;
	/** Told when the store has told what is newest, with when it was asked, in steady milliseconds. */
	readonly handleRead: (startedAt: number) => void;
};

/** @internal */
export type ConfigFollower = {
	/** Follows until it is disposed. */
	readonly run: () => Promise<void>;
	/** Reads anew at once: a watch may have missed something. */
	readonly resync: () => void;
	/** Puts a configuration that another node handed over in force. */
	readonly applyText: (text: string, source: string, steps?: readonly ConfigStep[]) => void;
	/** Whether it asks the store itself now. */
	readonly isFollowing: () => boolean;
	readonly dispose: () => void;
};

/** How long a watch waits for a change at the most. Milliseconds: a connection that has fallen silent without a reset looks like a store in which nothing changes, for as long as this. Each new watch is a call more. */
const maxWatchMs = 6000;

/** The shortest wait, as a share of the longest. Watchers draw theirs, so that after a change, when all open a watch at once, not all of them ask again at once: when all connections fall silent together, the first to ask again finds out for the others. */
const minWatchFraction = 0.3;

/** After a change the watch rests for this long at the least, so that changes in quick succession come as one. Milliseconds, a quarter of the shortest time in which a change must be in force. */
const minRewatchDelayMs = 450;

/**
 * By how much longer it may rest. Watchers draw it: if all opened their watches at the same moment, a silence of the store as short as 200 ms could swallow all of them, and the next change would be in force only when the
 * first of them had waited in vain. The first to open hears for the others. Milliseconds.
 */
const rewatchJitterMs = 600;

/** A node that has just started hears within this time who watches the store; if it asked for a watch at once, so would all that start together. Milliseconds, two periods of heartbeats; it hears of changes from the others meanwhile. */
const startupDelayMs = 900;

/** Between two looks whether this node has to ask the store itself. Milliseconds: a small part of the time in which a change must be in force. */
const dutyCheckIntervalMs = 300;

/** Values of one configuration that are named in the log: one route of a new type rarely comes alone, and the first ones tell what is missing. */
const maxLoggedWarningCount = 5;

/** Between two tries to reach a store that does not answer. Milliseconds. */
const minRetryDelayMs = 250;

/**
 * @param context - The store and what holds the configuration.
 * @returns The follower, not running yet.
 * @internal
 */
export function createConfigFollower(context: ConfigFollowerContext): ConfigFollower {
	const {store, health, holder, key, decode, log, random, shouldFollow, handleRead} = context;
	const disposed = new AbortController();
	let watchAbort = new AbortController();
	/** Up to where in the store's history changes are known; `undefined` if it has to be read anew. */
	let position: StorePosition | undefined;
	let rejectedText: string | undefined;
	let loggedWarnings: ReadonlySet<string> = new Set();
	let isFollowing = false;
	let hasDelayedStartup = false;

	/** Names what this node does not know, once for as long as it stays the same. */
	const reportWarnings = ({version, warnings}: RouteConfig): void => {
		for (const reason of warnings.filter(warning => !loggedWarnings.has(warning)).slice(0, maxLoggedWarningCount)) {
			log.record('warn', {
				kind: 'configuration-unknown', version, reason, count: warnings.length,
			});
		}

		loggedWarnings = new Set(warnings);
	};

	const applyText = (text: string, source: string, steps?: readonly ConfigStep[]): void => {
		if (text === holder.get()?.text || text === rejectedText) {
			return;
		}

		const decoded = decode(text);
		if (decoded.isErr()) {
			// Named once: whatever is in force stays so, whole.
			rejectedText = text;
			log.record('error', {
				kind: 'configuration-refused', version: holder.getVersion(), from: source, reason: decoded.error,
			});
			return;
		}

		const isOlder = decoded.value.version < holder.getVersion();
		if (isOlder) {
			log.record('warn', {
				kind: 'configuration-refused', version: decoded.value.version, from: source, reason: `version ${holder.getVersion()} is in force, and no node goes back`,
			});
			return;
		}

		const isApplied = holder.applyIfNewer({
			config: decoded.value, text, source, ...steps === undefined ? {} : {steps},
		});
		if (isApplied) {
			reportWarnings(decoded.value);
		}
	};

	/** How long the store took; of a watch, most is the time until something changed. */
	const reportRead = (call: 'read' | 'watch', startedAt: number): void => {
		log.record('info', {
			kind: 'configuration-read', call, version: holder.getVersion(), tookMs: Math.round(readSteadyMs() - startedAt),
		});
	};

	const applyItems = (items: readonly StoreItem[]): void => {
		for (const item of items) {
			if (item.key === key) {
				applyText(item.value, 'store');
			}
		}
	};

	const handleFailure = async (call: string, reason: string): Promise<void> => {
		health.recordFailure(call, reason);
		position = undefined;
		await waitFor(minRetryDelayMs * (1 + random()), disposed.signal);
	};

	const readConfig = async (): Promise<void> => {
		const startedAt = readSteadyMs();
		const read = await store.readItem(key, {mayBeStale: false});
		if (read.isErr()) {
			await handleFailure('read the configuration', read.error.reason);
			return;
		}

		({position} = read.value);
		applyItems(read.value.items);
		reportRead('read', startedAt);
		health.recordSuccess();
		// A store without a configuration tells nothing of what others have.
		if (read.value.items.length > 0) {
			handleRead(startedAt);
		}
	};

	const watchOnce = async (after: StorePosition): Promise<void> => {
		watchAbort = new AbortController();
		const {signal} = watchAbort;
		const startedAt = readSteadyMs();
		const watched = await store.watchItems(key, after, Math.round(maxWatchMs * (minWatchFraction + ((1 - minWatchFraction) * random()))), signal);
		if (signal.aborted) {
			position = undefined;
			return;
		}

		if (watched.isErr()) {
			await handleFailure('watch the configuration', watched.error.reason);
			return;
		}

		if (watched.value.type === 'history-gone') {
			position = undefined;
			return;
		}

		const {changes} = watched.value;
		({position} = watched.value);
		applyItems(changes.flatMap(change => change.type === 'written' ? [change.item] : []));
		health.recordSuccess();
		if (changes.length > 0) {
			reportRead('watch', startedAt);
			await waitFor(minRewatchDelayMs + (rewatchJitterMs * random()), disposed.signal);
		}
	};

	const setFollowing = (isNowFollowing: boolean): void => {
		if (isNowFollowing !== isFollowing) {
			isFollowing = isNowFollowing;
			log.record('info', {kind: 'watch-duty-changed', isFollowing, version: holder.getVersion()});
		}
	};

	/** Once the first configuration is there, waits for what the other nodes say of who watches. */
	const delayStartup = async (): Promise<void> => {
		if (!hasDelayedStartup && holder.get() !== undefined) {
			hasDelayedStartup = true;
			await waitFor(startupDelayMs, disposed.signal);
		}
	};

	return {
		async run() {
			while (!disposed.signal.aborted) {
				// Whatever a node is, it reads the configuration once at its start: nobody may be there to hand it over.
				setFollowing(shouldFollow());
				if (isFollowing || holder.get() === undefined) {
					await (position === undefined ? readConfig() : watchOnce(position));
					await delayStartup();
					continue;
				}

				position = undefined;
				await waitFor(dutyCheckIntervalMs, disposed.signal);
			}
		},
		resync() {
			watchAbort.abort();
		},
		applyText,
		isFollowing: () => isFollowing,
		dispose() {
			disposed.abort();
			watchAbort.abort();
		},
	};
}
