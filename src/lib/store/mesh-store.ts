/**
 * A store of keys with revisions, watches and leases, as a sidecar node needs
 * it. An adapter puts a platform's own protocol behind this interface.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type StoreError, type StoreReadError} from './store.js';

/** One key as it was read. @public */
export type StoreItem = {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
};

/** Keys as they were at about one revision of the store. @public */
export type StoreItems = {
	readonly items: readonly StoreItem[];
	readonly storeRevision: number;
};

/** A change of one key. @public */
export type StoreChange =
	| {readonly type: 'written'; readonly item: StoreItem}
	| {readonly type: 'removed'; readonly key: string; readonly revision: number};

/** What a watch yields. @public */
export type WatchResult =
	| {readonly type: 'changes'; readonly changes: readonly StoreChange[]; readonly storeRevision: number}
	/** The store no longer has this history: read anew. */
	| {readonly type: 'compacted'};

/** @public */
export type MeshStore = {
	/** Reads one key; no item if it does not exist. What may be stale is cheap. */
	readonly readItem: (key: string, options: {readonly mayBeStale: boolean}) => Promise<Result<StoreItems, StoreReadError>>;
	/** Reads all keys that begin with a prefix. What may be stale is cheap. */
	readonly listItems: (prefix: string, options: {readonly mayBeStale: boolean}) => Promise<Result<StoreItems, StoreReadError>>;
	/** Waits for changes of keys that begin with a prefix. */
	readonly watchItems: (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal) => Promise<Result<WatchResult, StoreReadError>>;
	/** Writes a key whatever its revision. */
	readonly putItem: (key: string, value: string, lease: number) => Promise<Result<number, StoreError>>;
	/** Yields the lease's id. */
	readonly grantLease: (ttlMs: number) => Promise<Result<number, StoreError>>;
	/** Yields whether the lease still runs. */
	readonly renewLease: (lease: number) => Promise<Result<boolean, StoreReadError>>;
	/** Ends a lease, and with it its keys. */
	readonly endLease: (lease: number) => Promise<Result<void, StoreError>>;
	readonly dispose: () => void;
};
