/**
 * The keys, leases and change history of the stand-in for the platform's store, in memory.
 *
 * @module
 */

/** A key with its value. */
export type StoredItem = {
	readonly key: string;
	/** Base64. */
	readonly value: string;
	/** The revision of the last write. */
	readonly revision: number;
	/** The revision at which the key was created. */
	readonly made: number;
	/** The id of the lease that the key is attached to; 0 for none. */
	readonly lease: number;
};

/** A change in the history: a write or a removal. */
export type StoredEvent = StoredItem | {readonly key: string; readonly revision: number; readonly deleted: true};

/** A transaction: applied as a whole if every expected revision matches (0 for a missing key), otherwise not at all. */
export type Transaction = {
	readonly expect: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly writes: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease?: number}>;
	readonly remove: readonly string[];
};

/** The outcome of a transaction. */
export type TransactionResult =
	| {readonly type: 'done'; readonly revision: number}
	| {readonly type: 'conflict'; readonly items: readonly StoredItem[]}
	| {readonly type: 'no-lease'};

type Lease = {readonly ttlMs: number; expiresAt: number};

/** The complete state of a key space at one moment. */
export type KeySpaceBackup = {
	readonly items: ReadonlyMap<string, StoredItem>;
	readonly leases: ReadonlyMap<number, Lease>;
	readonly history: readonly StoredEvent[];
	readonly revision: number;
	readonly nextLease: number;
};

export type KeySpace = {
	readonly getRevision: () => number;
	readonly getItem: (key: string) => StoredItem | undefined;
	readonly listItems: (prefix: string, after: string) => readonly StoredItem[];
	/** Returns the changes after a revision, or `undefined` if the history after it was compacted or the revision is in the future. */
	readonly listEvents: (prefix: string, after: number) => readonly StoredEvent[] | undefined;
	readonly commit: (transaction: Transaction) => TransactionResult;
	readonly grantLease: (ttlMs: number) => number;
	/** Extends a lease by its TTL. Returns the TTL in milliseconds, or `undefined` if the lease doesn't exist. */
	readonly renewLease: (lease: number) => number | undefined;
	/** Ends a lease and removes its keys. Returns whether the lease existed. */
	readonly endLease: (lease: number) => boolean;
	/** Ends every lease that has expired. */
	readonly endExpiredLeases: () => void;
	/** Removes all keys with a prefix without a request from a client, as a store does when it revokes leases. */
	readonly revokeKeys: (prefix: string) => void;
	/** Drops the history up to the current revision. */
	readonly compactHistory: () => void;
	readonly createBackup: () => KeySpaceBackup;
	/** Restores a backup: later changes are lost, and their revisions and lease ids are assigned again. The leases in the backup start anew with their full TTL. */
	readonly restore: (backup: KeySpaceBackup) => void;
	/** Calls a handler after each change, until the returned function is called. */
	readonly subscribe: (handleChange: () => void) => () => void;
};

/**
 * Creates an empty key space.
 *
 * @param readNow - Returns the current time in milliseconds.
 * @returns The key space.
 */
export function createKeySpace(readNow: () => number): KeySpace {
	const items = new Map<string, StoredItem>();
	const leases = new Map<number, Lease>();
	const subscribers = new Set<() => void>();
	let history: StoredEvent[] = [];
	let compactedRevision = 0;
	let revision = 1;
	let nextLease = 100;

	const notify = (): void => {
		for (const handleChange of subscribers) {
			handleChange();
		}
	};

	const removeKeys = (keys: readonly string[]): void => {
		const present = keys.filter(key => items.has(key));
		if (present.length === 0) {
			return;
		}

		revision++;
		for (const key of present) {
			items.delete(key);
			history.push({key, revision, deleted: true});
		}
	};

	const endLease = (lease: number): boolean => {
		if (!leases.delete(lease)) {
			return false;
		}

		removeKeys([...items.values()].filter(item => item.lease === lease).map(({key}) => key));
		notify();
		return true;
	};

	return {
		getRevision: () => revision,
		getItem: key => items.get(key),
		listItems: (prefix, after) => [...items.values()].filter(({key}) => key.startsWith(prefix) && key > after).toSorted((left, right) => left.key < right.key ? -1 : 1),
		listEvents: (prefix, after) => after < compactedRevision || after > revision ? undefined : history.filter(event => event.revision > after && event.key.startsWith(prefix)),
		commit({expect, writes, remove}) {
			const stale = expect.some(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected);
			if (stale) {
				return {type: 'conflict', items: expect.flatMap(({key}) => items.get(key) ?? [])};
			}

			if (writes.some(({lease = 0}) => lease !== 0 && !leases.has(lease))) {
				return {type: 'no-lease'};
			}

			revision++;
			for (const {key, value, lease = 0} of writes) {
				const item: StoredItem = {
					key, value, lease, revision, made: items.get(key)?.made ?? revision,
				};
				items.set(key, item);
				history.push(item);
			}

			const written = revision;
			removeKeys(remove);
			notify();
			return {type: 'done', revision: written};
		},
		grantLease(ttlMs) {
			const lease = nextLease++;
			leases.set(lease, {ttlMs, expiresAt: readNow() + ttlMs});
			return lease;
		},
		renewLease(id) {
			const lease = leases.get(id);
			if (lease !== undefined) {
				lease.expiresAt = readNow() + lease.ttlMs;
			}

			return lease?.ttlMs;
		},
		endLease,
		endExpiredLeases() {
			const now = readNow();
			for (const [id, lease] of leases) {
				if (lease.expiresAt <= now) {
					endLease(id);
				}
			}
		},
		revokeKeys(prefix) {
			removeKeys([...items.keys()].filter(key => key.startsWith(prefix)));
			notify();
		},
		compactHistory() {
			history = [];
			compactedRevision = revision;
			notify();
		},
		createBackup() {
			return {
				items: new Map(items), leases: new Map([...leases].map(([id, lease]) => [id, {...lease}])), history: [...history], revision, nextLease,
			};
		},
		restore(backup) {
			items.clear();
			for (const [key, item] of backup.items) {
				items.set(key, item);
			}

			leases.clear();
			for (const [id, {ttlMs}] of backup.leases) {
				leases.set(id, {ttlMs, expiresAt: readNow() + ttlMs});
			}

			history = [...backup.history];
			({revision, nextLease} = backup);
		},
		subscribe(handleChange) {
			subscribers.add(handleChange);
			return () => {
				subscribers.delete(handleChange);
			};
		},
	};
}
