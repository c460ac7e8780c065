/**
 * Interface of the key-value store of sidecar nodes, with revisions, watches
 * and leases. An adapter implements it for the protocol of a platform.
 *
 * @module
 */
import {type Result} from 'neverthrow';
import {type StoreError, type StoreReadError} from './store.js';
import {type StoreEra, type StoreLease, type StorePosition} from './store-position.js';

/** A key with its value and revision. @public */
export type StoreItem = {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
};

/** How an answer of the store arrived over the link of this VM. @public */
export type StoreTransfer = {
	/** When its head arrived, in milliseconds of the steady clock. */
	readonly startedAt: number;
	/** Bytes of its body. */
	readonly bytes: number;
};

/** The keys that a read returned. The keys may be newer than `position`, not older. @public */
export type StoreItems = {
	readonly items: readonly StoreItem[];
	readonly position: StorePosition;
	/** How the last answer arrived; `undefined` if the store does not tell. */
	readonly transfer?: StoreTransfer;
};

/** A change of one key. @public */
export type StoreChange =
	| {readonly type: 'written'; readonly item: StoreItem}
	| {readonly type: 'removed'; readonly key: string; readonly revision: number};

/** The answer to a watch while it arrives. @public */
export type ArrivingAnswer = {
	/** Changes of which at least the beginning has arrived. */
	readonly changes: number;
	/** Milliseconds since its head arrived. */
	readonly elapsedMs: number;
	/** Upper bound of the bytes of all values in it; `undefined` if the store did not state the length of the answer. */
	readonly maxValueBytes: number | undefined;
};

/** Called while the answer to a watch arrives, at least at its head. Returns whether to receive the rest. @public */
export type AnswerReceiver = (answer: ArrivingAnswer) => boolean;

/** Result of a watch. @public */
export type WatchResult =
	| {readonly type: 'changes'; readonly changes: readonly StoreChange[]; readonly position: StorePosition; readonly transfer?: StoreTransfer}
	/** The receiver gave the answer up. The caller must read again. */
	| {readonly type: 'given-up'}
	/** The store has compacted this part of its history, or was restored from a backup: the caller must read again. */
	| {readonly type: 'history-gone'};

/** Writes that take effect together, if all keys have the expected revisions. @public */
export type StoreCommit = {
	/** Revision of the last write of each key; 0 for a key that must not exist. */
	readonly expected: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly writes: ReadonlyArray<{readonly key: string; readonly value: string}>;
};

/** @public */
export type MeshStore = {
	/** Reads one key; returns no item if it does not exist. Stale reads cost the store less. */
	readonly readItem: (key: string, options: {readonly mayBeStale: boolean}) => Promise<Result<StoreItems, StoreReadError>>;
	/** Reads all keys with a prefix. Stale reads cost the store less. */
	readonly listItems: (prefix: string, options: {readonly mayBeStale: boolean}) => Promise<Result<StoreItems, StoreReadError>>;
	/** Waits up to `waitMs` milliseconds for changes of keys with a prefix that follow a position. Returns an empty list if there are none. */
	readonly watchItems: (prefix: string, after: StorePosition, waitMs: number, signal: AbortSignal, receive?: AnswerReceiver) => Promise<Result<WatchResult, StoreReadError>>;
	/** Writes a key at any revision. Fails without writing if the lease is known to be from an earlier era. */
	readonly putItem: (key: string, value: string, lease: StoreLease) => Promise<Result<StorePosition, StoreError>>;
	/** Removes a key if its last write was at `writtenAt`; otherwise does nothing. */
	readonly removeItem: (key: string, writtenAt: StorePosition) => Promise<Result<void, StoreError>>;
	/** Writes keys without a lease if all expectations hold; otherwise fails with `conflict` and writes nothing. */
	readonly commit: (commit: StoreCommit) => Promise<Result<StorePosition, StoreError>>;
	readonly grantLease: (ttlMs: number) => Promise<Result<StoreLease, StoreError>>;
	/** Renews a lease. Returns false if it has expired or is from an earlier era. */
	readonly renewLease: (lease: StoreLease) => Promise<Result<boolean, StoreReadError>>;
	/** Returns the current era of the store; `undefined` before the first answer. */
	readonly getEra: () => StoreEra | undefined;
	/** Registers a handler that is called when the store was restored from a backup. */
	readonly watchEra: (handleEra: (era: StoreEra) => void) => void;
	readonly dispose: () => void;
};
