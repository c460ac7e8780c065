/**
 * The platform's key-value service as the mesh needs it. An adapter puts the
 * platform's own protocol behind this interface.
 *
 * @module
 */
import {type ResultAsync} from 'neverthrow';

/** @public */
export type StoredValue = {
	readonly value: string;
	/** Grows with every write of the key; a key that does not exist has revision 0. */
	readonly revision: number;
};

/**
 * How a call on the store failed.
 *
 * - `not-applied`: the store refused a write, which has no effect.
 * - `conflict`: the key has another revision; the write has no effect.
 * - `unavailable`: no answer, and certainly no effect.
 * - `unknown`: the write may have taken effect; read to find out.
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
	/** The platform's lease on the key: it is removed after so many milliseconds. Without it, it stays. */
	readonly ttlMs?: number;
};

/** @public */
export type StoreWatch = {
	readonly key: string;
	/** The wait ends when the key's revision differs from this one. */
	readonly knownRevision: number;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/** The platform's store. @public */
export type Store = {
	readonly read: (key: string) => ResultAsync<StoredValue | undefined, StoreReadError>;
	/** Compare-and-swap; yields the key's new revision. */
	readonly write: (write: StoreWrite) => ResultAsync<number, StoreError>;
	/** Waits for a change; yields `undefined` when nothing changed in time. */
	readonly watch: (watch: StoreWatch) => ResultAsync<StoredValue | undefined, StoreReadError>;
};

/** Values larger than this are refused by the platform. Bytes. @public */
export const maximumValueBytes = 1_000_000;
