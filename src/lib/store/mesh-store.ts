/**
 * A store of keys with revisions, watches and leases, as a sidecar node needs
 * it. An adapter puts a platform's own protocol behind this interface.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type StoreError, type StoreReadError} from './store.js';
import {type StoreEra, type StoreLease, type StorePosition} from './store-position.js';

/** One key as it was read. @public */
export type StoreItem = {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
};

/** Keys as they were at about one place in the store's history. @public */
export type StoreItems = {
	readonly items: readonly StoreItem[];
	readonly position: StorePosition;
};

/** A change of one key. @public */
export type StoreChange =
	| {readonly type: 'written'; readonly item: StoreItem}
	| {readonly type: 'removed'; readonly key: string; readonly revision: number};

/** What a watch yields. @public */
export type WatchResult =
	| {readonly type: 'changes'; readonly changes: readonly StoreChange[]; readonly position: StorePosition}
	/** The store no longer has this history, or has come back from a copy: read anew. */
	| {readonly type: 'history-gone'};

/** @public */
export type MeshStore = {
	/** Reads one key; no item if it does not exist. What may be stale is cheap. */
	readonly readItem: (key: string, options: {readonly mayBeStale: boolean}) => Promise<Result<StoreItems, StoreReadError>>;
	/** Reads all keys that begin with a prefix. What may be stale is cheap. */
	readonly listItems: (prefix: string, options: {readonly mayBeStale: boolean}) => Promise<Result<StoreItems, StoreReadError>>;
	/** Waits for changes of keys that begin with a prefix. */
	readonly watchItems: (prefix: string, after: StorePosition, waitMs: number, signal: AbortSignal) => Promise<Result<WatchResult, StoreReadError>>;
	/** Writes a key whatever its revision. Under a lease of an earlier era nothing is written. */
	readonly putItem: (key: string, value: string, lease: StoreLease) => Promise<Result<StorePosition, StoreError>>;
	/** Removes a key if it was last written at a position. */
	readonly removeItem: (key: string, writtenAt: StorePosition) => Promise<Result<void, StoreError>>;
	readonly grantLease: (ttlMs: number) => Promise<Result<StoreLease, StoreError>>;
	/** Yields whether the lease still runs; one of an earlier era does not. */
	readonly renewLease: (lease: StoreLease) => Promise<Result<boolean, StoreReadError>>;
	/** The era of the newest answer; `undefined` before the first. */
	readonly getEra: () => StoreEra | undefined;
	/** Calls back when the store is found to have come back from a copy. */
	readonly watchEra: (handleEra: (era: StoreEra) => void) => void;
	readonly dispose: () => void;
};
