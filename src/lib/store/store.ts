/**
 * Interface of the platform's key-value store. An adapter implements it for
 * the protocol of a platform.
 *
 * @module
 */
import {type ResultAsync} from 'neverthrow';

/** @public */
export type StoredValue = {
	readonly value: string;
	/** Increases with every write of the key; a key that does not exist has revision 0. */
	readonly revision: number;
};

/**
 * Error of a call to the store.
 *
 * - `not-applied`: the store refused the write, which had no effect.
 * - `conflict`: the key has another revision, and the write had no effect.
 * - `unavailable`: the call failed, and had no effect.
 * - `unknown`: the write may have taken effect; read the key to find out.
 *
 * @public
 */
export type StoreError =
	| {readonly type: 'not-applied'; readonly reason: string}
	| {readonly type: 'conflict'; readonly revision: number}
	| {readonly type: 'unavailable'; readonly reason: string}
	| {readonly type: 'unknown'; readonly reason: string};

/** @public */
export type StoreReadError = Extract<StoreError, {readonly type: 'unavailable'}>;

/** One write, which takes effect only if the key still has the expected revision. @public */
export type StoreWrite = {
	readonly key: string;
	/** `undefined` removes the key. */
	readonly value: string | undefined;
	/** 0 for a key that must not exist yet. */
	readonly expectedRevision: number;
	/** Milliseconds after which the store removes the key; `undefined` for a key that does not expire. */
	readonly ttlMs?: number;
};

/** @public */
export type StoreWatch = {
	readonly key: string;
	/** The watch ends when the revision of the key differs from this one. */
	readonly knownRevision: number;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/** The platform's store. @public */
export type Store = {
	readonly read: (key: string) => ResultAsync<StoredValue | undefined, StoreReadError>;
	/** Writes a key by compare-and-swap; returns its new revision. */
	readonly write: (write: StoreWrite) => ResultAsync<number, StoreError>;
	/** Waits for a change of a key; returns `undefined` if the key did not change before the timeout, or was removed. */
	readonly watch: (watch: StoreWatch) => ResultAsync<StoredValue | undefined, StoreReadError>;
};

/** Largest value that the platform accepts. @public */
export const maximumValueBytes = 1_000_000;
