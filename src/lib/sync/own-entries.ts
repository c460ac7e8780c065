/**
 * Keeps entries of this node in the store: writes each under a lease, and again if
 * a write has failed or the store was restored from a backup.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type MeshStore} from '../store/mesh-store.js';
import {putLeased} from './put-leased.js';

/** @internal */
export type OwnEntry = {
	readonly key: string;
	readonly value: string;
	/** Called with the reason why the entry may not have been written. */
	readonly handleFailure: (reason: string) => void;
};

/** @internal */
export type OwnEntries = {
	/** Writes an entry. Resolves when the write has succeeded or failed. */
	readonly write: (entry: OwnEntry) => Promise<void>;
	/** Writes the entries again that are not known to be in the store, and drops those whose TTL has passed. */
	readonly retry: () => void;
	/** Returns whether entries are not known to be in the store. */
	readonly hasUnwritten: () => boolean;
	/** Must be called when the store was restored from a backup. Marks all entries as not written. */
	readonly handleRestored: () => void;
};

type KeptEntry = OwnEntry & {readonly createdAt: number; state: 'unwritten' | 'writing' | 'written'};

/**
 * @param store - The store.
 * @param ttlMs - TTL of an entry, in milliseconds.
 * @returns The entries, with none yet.
 * @internal
 */
export function createOwnEntries(store: Pick<MeshStore, 'putItem' | 'grantLease'>, ttlMs: number): OwnEntries {
	const entries = new Map<string, KeptEntry>();
	let restoreCount = 0;

	const put = async (entry: KeptEntry): Promise<void> => {
		const startedAtCount = restoreCount;
		entry.state = 'writing';
		const written = await putLeased(store, entry.key, entry.value, ttlMs);
		// A store that was restored meanwhile may lack the entry.
		entry.state = written.isOk() && startedAtCount === restoreCount ? 'written' : 'unwritten';
		if (written.isErr()) {
			entry.handleFailure(written.error);
		}
	};

	const removeExpired = (now: number): void => {
		for (const [key, {createdAt}] of entries) {
			if (now - createdAt > ttlMs) {
				entries.delete(key);
			}
		}
	};

	return {
		async write(entry) {
			const kept: KeptEntry = {...entry, createdAt: readSteadyMs(), state: 'unwritten'};
			entries.set(entry.key, kept);
			await put(kept);
		},
		retry() {
			removeExpired(readSteadyMs());
			for (const entry of entries.values()) {
				if (entry.state === 'unwritten') {
					void put(entry);
				}
			}
		},
		hasUnwritten: () => [...entries.values()].some(({state}) => state !== 'written'),
		handleRestored() {
			restoreCount++;
			for (const entry of entries.values()) {
				entry.state = 'unwritten';
			}
		},
	};
}
