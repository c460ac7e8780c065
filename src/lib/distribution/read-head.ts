/**
 * Updates a configuration to the version of the store's head.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {parseJson} from '../common/parse-json.js';
import {applyDelta, type Configuration, type Delta} from '../configuration/configuration.js';
import {type Store, type StoredValue} from '../store/store.js';
import {
	headKey, headRecordSchema, pageSchema, type HeadRecord,
} from './head-record.js';
import {readSnapshot} from './snapshot.js';

/** Why the store's head could not be applied. The node keeps its configuration. @internal */
export type HeadError =
	| {readonly type: 'unavailable'; readonly reason: string}
	/** The store holds an older version than this node, as after a restore from a backup. */
	| {readonly type: 'store-behind'; readonly storeVersion: number; readonly version: number}
	/** The histories of the store and of this node differ. */
	| {readonly type: 'fork'; readonly storeVersion: number; readonly version: number}
	| {readonly type: 'damaged'; readonly reason: string};

/** The configuration at the head, and the head record that it was read from. @internal */
export type HeadState = {
	readonly configuration: Configuration;
	/** The deltas that were applied, oldest first; empty if a snapshot was read. */
	readonly deltas: readonly Delta[];
	readonly record: HeadRecord | undefined;
	readonly revision: number;
};

/**
 * Parses the value of the store's key `head`.
 *
 * @param stored - The stored value, or `undefined` if the key does not exist.
 * @returns The record, `undefined` if the key does not exist, or what is wrong with the value.
 * @internal
 */
export function parseHead(stored: StoredValue | undefined): Result<HeadRecord | undefined, HeadError> {
	if (stored === undefined) {
		return ok(undefined);
	}

	return parseJson(stored.value, headRecordSchema).mapErr((problem): HeadError => ({type: 'damaged', reason: `the head record ${problem}`}));
}

function applyDeltas(configuration: Configuration, deltas: readonly Delta[]): Result<Configuration, HeadError> {
	let current = configuration;
	for (const delta of deltas) {
		if (delta.version <= current.version) {
			continue;
		}

		const next = applyDelta(current, delta);
		if (next.isErr()) {
			return next.error.type === 'wrong-parent'
				? err({type: 'fork', storeVersion: delta.version, version: current.version})
				: err({type: 'damaged', reason: `the delta to version ${delta.version} cannot be applied (${next.error.type})`});
		}

		current = next.value;
	}

	return ok(current);
}

async function readPages(store: Store, record: HeadRecord, after: number): Promise<Result<readonly Delta[], HeadError>> {
	const deltas: Delta[] = [];
	for (const page of record.pages.filter(reference => reference.last > after)) {
		const stored = await store.read(page.key);
		if (stored.isErr()) {
			return err(stored.error);
		}

		const parsed = parseJson(stored.value?.value ?? '', pageSchema);
		if (parsed.isErr()) {
			return err({type: 'damaged', reason: `${page.key} ${parsed.error}`});
		}

		deltas.push(...parsed.value);
	}

	return ok(deltas);
}

async function chooseBaseConfiguration(store: Store, configuration: Configuration, record: HeadRecord): Promise<Result<Configuration, HeadError>> {
	const {snapshot} = record;
	if (snapshot === undefined || configuration.version >= snapshot.version) {
		return ok(configuration);
	}

	return readSnapshot(store, snapshot.key);
}

/**
 * Updates a configuration to a head record.
 *
 * @param store - The platform's store, from which pages and snapshots are read.
 * @param configuration - The configuration of this node; it is not modified.
 * @param stored - The value of the store's key `head`.
 * @returns The configuration at the head, or why the head could not be applied.
 * @internal
 */
export async function applyHead(store: Store, configuration: Configuration, stored: StoredValue | undefined): Promise<Result<HeadState, HeadError>> {
	const parsed = parseHead(stored);
	if (parsed.isErr()) {
		return err(parsed.error);
	}

	const record = parsed.value;
	const revision = stored?.revision ?? 0;
	const storeVersion = record?.version ?? 0;
	if (storeVersion < configuration.version) {
		return err({type: 'store-behind', storeVersion, version: configuration.version});
	}

	if (record === undefined || storeVersion === configuration.version) {
		return record === undefined || record.digest === configuration.digest
			? ok({
				configuration, deltas: [], record, revision,
			})
			: err({type: 'fork', storeVersion, version: configuration.version});
	}

	const base = await chooseBaseConfiguration(store, configuration, record);
	if (base.isErr()) {
		return err(base.error);
	}

	const pages = await readPages(store, record, base.value.version);
	if (pages.isErr()) {
		return err(pages.error);
	}

	const missing = [...pages.value, ...record.deltas].filter(delta => delta.version > base.value.version);
	return applyDeltas(base.value, missing).andThen((next): Result<HeadState, HeadError> => {
		if (next.digest !== record.digest) {
			return err({type: 'damaged', reason: `the deltas lead to version ${next.version} with a digest that differs from that of version ${record.version} in the head record`});
		}

		const deltas = base.value === configuration ? missing : [];
		return ok({
			configuration: next, deltas, record, revision,
		});
	});
}

/**
 * Reads the head and updates a configuration to it.
 *
 * @param store - The platform's store.
 * @param configuration - The configuration of this node; it is not modified.
 * @returns See {@link applyHead}.
 * @internal
 */
export async function readHead(store: Store, configuration: Configuration): Promise<Result<HeadState, HeadError>> {
	const stored = await store.read(headKey);
	return stored.isErr() ? err(stored.error) : applyHead(store, configuration, stored.value);
}
