/**
 * Follows the configuration in the store: one read, then a watch that is
 * opened again after each change.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {waitFor} from '../common/clock.js';
import {type ConfigHolder} from '../route-config/config-holder.js';
import {type RouteConfig} from '../route-config/route-config.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
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
};

/** @internal */
export type ConfigFollower = {
	/** Follows until it is disposed. */
	readonly run: () => Promise<void>;
	/** Reads anew at once: a watch may have missed something. */
	readonly resync: () => void;
	/** Puts a configuration that another node handed over in force. */
	readonly adoptText: (text: string, source: string) => void;
	readonly dispose: () => void;
};

/** How long a watch waits for a change. Milliseconds; a new one is a call more. */
const watchMs = 20_000;

/** After a change the watch rests for this long, so that changes in quick succession come as one. Milliseconds, a quarter of the shortest time in which a change must be in force. */
const restMs = 450;

/** Between two tries to reach a store that does not answer. Milliseconds. */
const retryMs = 250;

/**
 * @param context - The store and what holds the configuration.
 * @returns The follower, not running yet.
 * @internal
 */
export function createConfigFollower(context: ConfigFollowerContext): ConfigFollower {
	const {store, health, holder, key, decode, log, random} = context;
	const disposed = new AbortController();
	let watching = new AbortController();
	/** Revision of the store up to which changes are known; `undefined` if it has to be read anew. */
	let revision: number | undefined;
	let refusedText: string | undefined;

	const adoptText = (text: string, source: string): void => {
		if (text === holder.get()?.text || text === refusedText) {
			return;
		}

		const decoded = decode(text);
		if (decoded.isErr()) {
			// Named once: whatever is in force stays so, whole.
			refusedText = text;
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

		holder.adopt(decoded.value, text, source);
	};

	const adoptItems = (items: readonly StoreItem[]): void => {
		for (const item of items) {
			if (item.key === key) {
				adoptText(item.value, 'store');
			}
		}
	};

	const fail = async (call: string, reason: string): Promise<void> => {
		health.noteFailure(call, reason);
		revision = undefined;
		await waitFor(retryMs * (1 + random()), disposed.signal);
	};

	const readAnew = async (): Promise<void> => {
		const read = await store.readItem(key);
		if (read.isErr()) {
			await fail('read the configuration', read.error.reason);
			return;
		}

		revision = read.value.storeRevision;
		adoptItems(read.value.items);
		health.noteSuccess();
	};

	const watchOnce = async (after: number): Promise<void> => {
		watching = new AbortController();
		const {signal} = watching;
		const watched = await store.watchItems(key, after, watchMs, signal);
		if (signal.aborted) {
			revision = undefined;
			return;
		}

		if (watched.isErr()) {
			await fail('watch the configuration', watched.error.reason);
			return;
		}

		if (watched.value.type === 'compacted') {
			revision = undefined;
			return;
		}

		const {changes, storeRevision} = watched.value;
		revision = storeRevision;
		adoptItems(changes.flatMap(change => change.type === 'written' ? [change.item] : []));
		health.noteSuccess();
		if (changes.length > 0) {
			await waitFor(restMs, disposed.signal);
		}
	};

	return {
		async run() {
			while (!disposed.signal.aborted) {
				await (revision === undefined ? readAnew() : watchOnce(revision));
			}
		},
		resync() {
			watching.abort();
		},
		adoptText,
		dispose() {
			disposed.abort();
			watching.abort();
		},
	};
}
