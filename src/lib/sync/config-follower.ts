/**
 * Follows the configuration in the store: reads it once, then watches it, and
 * reopens the watch after each change.
 *
 * @module
 */
import {Buffer} from 'node:buffer';
import {type Result} from 'neverthrow';
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type ConfigStep} from '../route-config/config-history.js';
import {type ConfigHolder} from '../route-config/config-holder.js';
import {type RouteConfig} from '../route-config/route-config.js';
import {
	type ArrivingAnswer, type MeshStore, type StoreItem, type StoreTransfer, type WatchResult,
} from '../store/mesh-store.js';
import {type StorePosition} from '../store/store-position.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {computeRewatchDelayMs, isBehindLink, shouldGiveUpAnswer} from './answer-pace.js';
import {createConfigApplier} from './config-applier.js';
import {type ConfigCopy} from './config-copy.js';
import {type StoreHealth} from './store-health.js';

/** @internal */
export type ConfigFollowerContext = {
	readonly store: MeshStore;
	readonly health: StoreHealth;
	readonly holder: ConfigHolder;
	/** Key of the configuration in the store. */
	readonly key: string;
	/** Prefix of all keys to follow, among them that of the configuration; `undefined` to follow only the configuration. */
	readonly prefix: string | undefined;
	/** Called with the other items under the prefix, from the store at a position. */
	readonly handleOtherItems: (items: readonly StoreItem[], position: StorePosition) => void;
	readonly decode: (text: string) => Result<RouteConfig, string>;
	readonly log: MeshLog;
	readonly random: () => number;
	/** A copy of the configuration that a node behind a slow link reads at its start. */
	readonly copy: Pick<ConfigCopy, 'read' | 'updateSoon'>;
	/** Prefix of the other keys that must be known before the configuration is applied; `undefined` if there are none. */
	readonly otherPrefix: string | undefined;
	/** Returns whether this node should watch the store; the other nodes get changes from the nodes that do. */
	readonly shouldFollow: () => boolean;
	/** Returns the newest version that this node knows of, its active one included. */
	readonly getNewestKnownVersion: () => number;
	/** Called after a successful read of the configuration, with the time at which the read started, by `readSteadyMs`. */
	readonly handleRead: (startedAt: number) => void;
};

/** @internal */
export type ConfigFollower = {
	/** Follows the configuration until `dispose` is called. */
	readonly run: () => Promise<void>;
	/** Aborts the open watch and reads the configuration immediately, since a watch may have missed changes. */
	readonly resync: () => void;
	/** Applies a configuration received from another node, if it is valid and newer than the active one. */
	readonly applyText: (text: string, source: string, steps?: readonly ConfigStep[]) => void;
	/** Returns whether this node watches the store. */
	readonly isFollowing: () => boolean;
	/** Returns for how many milliseconds a configuration newer than the active one has been arriving from the store; 0 if none is. */
	readonly getReceivingMs: (now: number) => number;
	/** Returns whether the link of this node delays a newer configuration than the active one that the store is sending. */
	readonly isBehind: () => boolean;
	readonly dispose: () => void;
};

/** Longest wait of a watch. Until the wait ends, a half-open connection is indistinguishable from a store without changes; shorter waits cost the store more calls. */
const maxWatchMs = 6000;

/**
 * Shortest wait of a watch, as a fraction of the longest. Waits are random in between, so that watches that are opened together, as after a change, do not all end
 * together: when all connections become half-open at the same time, the first node to reopen its watch detects it for the others.
 */
const minWatchFraction = 0.3;

/**
 * Delay between the first configuration and the first watch: two heartbeat periods, in which a node learns from the heartbeats which nodes watch the store. Without
 * it, all nodes that start together would open watches. Meanwhile the node gets changes from the others.
 */
const startupDelayMs = 900;

/** Interval at which a node that does not watch the store checks whether it should: a small part of the deadline for applying a change. */
const dutyCheckIntervalMs = 300;

/** Minimum delay before a retry after a failed call; jitter can double it. */
const minRetryDelayMs = 250;

/**
 * @param context - The store, the holder of the configuration, and callbacks.
 * @returns The follower; `run` starts it.
 * @internal
 */
export function createConfigFollower(context: ConfigFollowerContext): ConfigFollower {
	const {store, health, holder, key, prefix, handleOtherItems, decode, log, random, copy, otherPrefix, shouldFollow, getNewestKnownVersion, handleRead} = context;
	const disposed = new AbortController();
	let watchAbort = new AbortController();
	/** Position up to which changes are known; `undefined` if the configuration must be read again. */
	let position: StorePosition | undefined;
	/** The version at that position; `undefined` if the store has none that can be applied. */
	let positionVersion: number | undefined;
	let isFollowing = false;
	let hasDelayedStartup = false;
	/** Since when the store has been sending a newer configuration, in steady milliseconds; `undefined` if it is not known to. */
	let receivingSince: number | undefined;
	/** Whether the next read replaces a watch, so that the next one is delayed. */
	let isReadInsteadOfWatch = false;
	/** The position of the watch that the last read replaced. */
	let replacedPosition: StorePosition | undefined;
	/** Whether the next answer is received whole, since the newest of its versions is invalid and an earlier one may be valid. */
	let isReceivingAll = false;

	const applyText = createConfigApplier({holder, decode, log});

	/** Logs how long a call took; for a watch, this is mostly the time until a change. */
	const reportRead = (call: 'read' | 'watch' | 'copy', startedAt: number, answer?: {readonly items: number; readonly transfer: StoreTransfer | undefined}): void => {
		const now = readSteadyMs();
		log.record('info', {
			kind: 'configuration-read', call, version: holder.getVersion(), tookMs: Math.round(now - startedAt),
			...answer?.transfer === undefined ? {} : {items: answer.items, bytes: answer.transfer.bytes, transferMs: Math.round(now - answer.transfer.startedAt)},
		});
	};

	/** Keeps the copy up to date after a read of the store. */
	const updateCopy = (): void => {
		const active = holder.get();
		if (active !== undefined && position !== undefined) {
			copy.updateSoon({text: active.text, position});
		}
	};

	/** Applies the configuration among items. The other items go first, since a configuration makes this node ready for requests. */
	const applyItems = (items: readonly StoreItem[], at: StorePosition): void => {
		if (prefix !== undefined) {
			handleOtherItems(items.filter(item => item.key !== key), at);
		}

		const versions = items.filter(item => item.key === key).reverse();
		for (const [index, {value}] of versions.entries()) {
			const version = applyText(value, 'store');
			positionVersion = index === 0 ? version : positionVersion;
			if (version !== undefined) {
				// Earlier versions are replaced by this one.
				break;
			}
		}
	};

	/** Returns whether the store is known to have a newer configuration than at the position. A watch would return all versions since, a read only the newest one. */
	const isNewerKnown = (): boolean => positionVersion !== undefined && getNewestKnownVersion() > positionVersion;

	/** Watches the store once, or reads it if the position is unknown or a newer version is known. */
	const runOnce = async (): Promise<void> => {
		if (position !== undefined && !isNewerKnown()) {
			await watchOnce(position);
			return;
		}

		if (position !== undefined) {
			replaceWatch(position);
		}

		await readConfig();
	};

	/** Makes the next read take the place of the watch at a position. */
	const replaceWatch = (at: StorePosition): void => {
		replacedPosition = at;
		isReadInsteadOfWatch = true;
	};

	/** Goes back to the watch that a read has replaced if that read found only an invalid version. */
	const restoreWatch = (): void => {
		if (positionVersion === undefined && replacedPosition !== undefined) {
			position = replacedPosition;
			isReceivingAll = true;
		}
	};

	/** Waits before the next watch, after an answer with a change that began to arrive at a time. */
	const delayRewatch = async (answeredAt: number): Promise<void> => waitFor(computeRewatchDelayMs(readSteadyMs() - answeredAt, random()), disposed.signal);

	const getReceivingMs = (now: number): number => receivingSince === undefined ? 0 : now - receivingSince;

	const handleFailure = async (call: string, reason: string): Promise<void> => {
		health.recordFailure(call, reason);
		position = undefined;
		await waitFor(minRetryDelayMs * (1 + random()), disposed.signal);
	};

	/** Waits once, after the first configuration, until heartbeats have shown which other nodes watch the store. */
	const delayStartup = async (): Promise<void> => {
		if (!hasDelayedStartup && holder.get() !== undefined) {
			hasDelayedStartup = true;
			await waitFor(startupDelayMs, disposed.signal);
		}
	};

	/** Reads the keys that must be known before the configuration is applied. Returns whether they are known. */
	const readOtherItems = async (): Promise<boolean> => {
		if (otherPrefix === undefined) {
			return true;
		}

		const read = await store.listItems(otherPrefix, {mayBeStale: false});
		if (read.isErr()) {
			return false;
		}

		handleOtherItems(read.value.items, read.value.position);
		return true;
	};

	/** Starts with the copy of the configuration, if there is one. */
	const readCopy = async (): Promise<void> => {
		const startedAt = readSteadyMs();
		const copied = await copy.read();
		if (copied === undefined || !(await readOtherItems())) {
			return;
		}

		positionVersion = applyText(copied.text, 'copy');
		({position} = copied);
		reportRead('copy', startedAt);
		await delayStartup();
	};

	const readConfig = async (): Promise<void> => {
		const startedAt = readSteadyMs();
		const isInsteadOfWatch = isReadInsteadOfWatch;
		isReadInsteadOfWatch = false;
		receivingSince ??= startedAt;
		const knownVersion = getNewestKnownVersion();
		const read = await (prefix === undefined ? store.readItem(key, {mayBeStale: false}) : store.listItems(prefix, {mayBeStale: false}));
		receivingSince = undefined;
		if (read.isErr()) {
			await handleFailure('read the configuration', read.error.reason);
			return;
		}

		({position} = read.value);
		positionVersion = undefined;
		applyItems(read.value.items, read.value.position);
		// The store has nothing newer than it returned: versions that were known before may have been lost with a backup, or may never have existed.
		positionVersion = positionVersion === undefined ? undefined : Math.max(positionVersion, knownVersion);
		reportRead('read', startedAt, {items: read.value.items.length, transfer: read.value.transfer});
		updateCopy();
		health.recordSuccess();
		// A store without a configuration does not disprove the newer versions that other nodes report.
		if (read.value.items.some(item => item.key === key)) {
			handleRead(startedAt);
		}

		if (isInsteadOfWatch) {
			restoreWatch();
			await delayRewatch(startedAt);
		}
	};

	/** Follows the arrival of an answer with changes, at a node with an active configuration of a size in bytes. Returns whether to receive the rest. */
	const handleArrival = (answer: ArrivingAnswer, activeBytes: number): boolean => {
		const {changes, elapsedMs} = answer;
		if (changes === 0) {
			return true;
		}

		receivingSince ??= readSteadyMs() - elapsedMs;
		if (isReceivingAll || !shouldGiveUpAnswer(answer, activeBytes)) {
			return true;
		}

		log.record('info', {
			kind: 'configuration-answer-given-up', version: holder.getVersion(), changes, afterMs: Math.round(elapsedMs),
		});
		return false;
	};

	/** Reads the newest configuration in place of an answer that holds several. */
	const giveUpAnswer = (after: StorePosition): void => {
		health.recordSuccess();
		position = undefined;
		replaceWatch(after);
	};

	const handleChanges = async ({changes, position: at, transfer}: Extract<WatchResult, {readonly type: 'changes'}>, startedAt: number): Promise<void> => {
		position = at;
		isReceivingAll = false;
		applyItems(changes.flatMap(change => change.type === 'written' ? [change.item] : []), at);
		health.recordSuccess();
		if (changes.length > 0) {
			reportRead('watch', startedAt, {items: changes.length, transfer});
			updateCopy();
			await delayRewatch(transfer?.startedAt ?? readSteadyMs());
		}
	};

	const watchOnce = async (after: StorePosition): Promise<void> => {
		watchAbort = new AbortController();
		const {signal} = watchAbort;
		const startedAt = readSteadyMs();
		const waitMs = Math.round(maxWatchMs * (minWatchFraction + ((1 - minWatchFraction) * random())));
		const activeBytes = Buffer.byteLength(holder.get()?.text ?? '');
		const watched = await store.watchItems(prefix ?? key, after, waitMs, signal, answer => handleArrival(answer, activeBytes));
		const isGivenUp = watched.isOk() && watched.value.type === 'given-up';
		receivingSince = isGivenUp ? receivingSince : undefined;
		if (signal.aborted) {
			position = undefined;
			return;
		}

		if (watched.isErr()) {
			await handleFailure('watch the configuration', watched.error.reason);
			return;
		}

		switch (watched.value.type) {
			case 'given-up': {
				giveUpAnswer(after);
				break;
			}

			case 'history-gone': {
				position = undefined;
				break;
			}

			case 'changes': {
				await handleChanges(watched.value, startedAt);
				break;
			}
		}
	};

	const setFollowing = (isNowFollowing: boolean): void => {
		if (isNowFollowing !== isFollowing) {
			isFollowing = isNowFollowing;
			log.record('info', {kind: 'watch-duty-changed', isFollowing, version: holder.getVersion()});
		}
	};

	return {
		async run() {
			if (holder.get() === undefined) {
				setFollowing(shouldFollow());
				await readCopy();
			}

			while (!disposed.signal.aborted) {
				// Every node reads the configuration once at its start, since there may be no other node to get it from.
				setFollowing(shouldFollow());
				if (isFollowing || holder.get() === undefined) {
					await runOnce();
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
		applyText(text, source, steps) {
			applyText(text, source, steps);
		},
		isFollowing: () => isFollowing,
		getReceivingMs,
		isBehind: () => holder.get() !== undefined && isBehindLink(getReceivingMs(readSteadyMs())),
		dispose() {
			disposed.abort();
			watchAbort.abort();
		},
	};
}
