/**
 * Whole versions in the store, cut into chunks below the platform's value size.
 *
 * @module
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {bucketCount} from '../common/digest-tree.js';
import {computeDigest} from '../common/digest.js';
import {type Digest, type SubmissionId} from '../common/ids.js';
import {parseJson} from '../common/parse-json.js';
import {applyBucketUpdate, createConfiguration, type Configuration} from '../configuration/configuration.js';
import {type ConfiguredItem} from '../configuration/configured-item.js';
import {itemSchema} from '../configuration/item.js';
import {
	maximumValueBytes, type Store, type StoreError, type StoreReadError,
} from '../store/store.js';

const configuredItemSchema = z.strictObject({item: itemSchema, revision: z.int().min(1)}).readonly() as z.ZodType<ConfiguredItem>;
const chunkSchema = z.array(z.strictObject({index: z.int().min(0).max(bucketCount - 1), items: z.array(configuredItemSchema).readonly()}).readonly()).readonly();
const manifestSchema = z.strictObject({
	version: z.int().min(1),
	digest: z.string() as unknown as z.ZodType<Digest>,
	parentDigest: z.string() as unknown as z.ZodType<Digest>,
	submissions: z.array(z.strictObject({id: z.string() as unknown as z.ZodType<SubmissionId>, version: z.int()}).readonly()).readonly(),
	chunks: z.array(z.string()).readonly(),
}).readonly();

type Manifest = z.infer<typeof manifestSchema>;
type Chunk = z.infer<typeof chunkSchema>;

/** Chunks are closed at this size, well below the platform's limit. */
const chunkBytes = maximumValueBytes / 2;

function cutChunks(configuration: Configuration): readonly string[] {
	const chunks: string[] = [];
	let lines: string[] = [];
	let size = 0;
	for (const [index, bucket] of configuration.tree.buckets.entries()) {
		if (bucket.entries.size === 0) {
			continue;
		}

		const line = JSON.stringify({index, items: [...bucket.entries.values()].map(entry => entry.value)});
		if (size + line.length > chunkBytes && lines.length > 0) {
			chunks.push(`[${lines.join(',')}]`);
			lines = [];
			size = 0;
		}

		lines.push(line);
		size += line.length;
	}

	return [...chunks, `[${lines.join(',')}]`];
}

/**
 * @param configuration - The version that a snapshot is taken of.
 * @returns The key of its manifest.
 * @internal
 */
export function getSnapshotKey(configuration: Pick<Configuration, 'version' | 'digest'>): string {
	return `stonemoor/snapshot/${configuration.version}-${configuration.digest}`;
}

/** The store refuses nothing here because a key exists: its name says what it holds. */
async function putOnce(store: Store, key: string, value: string): Promise<Result<void, StoreError>> {
	const written = await store.write({key, value, expectedRevision: 0});
	if (written.isOk() || written.error.type === 'conflict') {
		return ok();
	}

	return err(written.error);
}

/**
 * Writes a snapshot. Writing it twice is harmless: the same version has the same keys and content.
 *
 * @param store - The platform's store.
 * @param configuration - The version to write.
 * @returns The manifest's key once everything is in the store.
 * @internal
 */
export async function writeSnapshot(store: Store, configuration: Configuration): Promise<Result<string, StoreError>> {
	const key = getSnapshotKey(configuration);
	const chunks = cutChunks(configuration).map((value, index) => ({key: `${key}/${index}-${computeDigest(value).slice(0, 12)}`, value}));
	for (const chunk of chunks) {
		const written = await putOnce(store, chunk.key, chunk.value);
		if (written.isErr()) {
			return err(written.error);
		}
	}

	const manifest: Manifest = {
		version: configuration.version,
		digest: configuration.digest,
		parentDigest: configuration.parentDigest,
		submissions: configuration.submissions,
		chunks: chunks.map(chunk => chunk.key),
	};
	const written = await putOnce(store, key, JSON.stringify(manifest));
	return written.map(() => key);
}

/** Why a snapshot could not be read: nothing was applied. @internal */
export type SnapshotError = StoreReadError | {readonly type: 'damaged'; readonly reason: string};

async function readPart<T>(store: Store, key: string, schema: z.ZodType<T>): Promise<Result<T, SnapshotError>> {
	const stored = await store.read(key);
	return stored.andThen((value): Result<T, SnapshotError> => {
		if (value === undefined) {
			return err({type: 'damaged', reason: `${key} is missing`});
		}

		return parseJson(value.value, schema).mapErr((problem): SnapshotError => ({type: 'damaged', reason: `${key} ${problem}`}));
	});
}

async function readManifest(store: Store, key: string): Promise<Result<Manifest, SnapshotError>> {
	return readPart(store, key, manifestSchema);
}

/**
 * Reads a snapshot back, whole.
 *
 * @param store - The platform's store.
 * @param key - The manifest's key.
 * @returns The version, or why it could not be had.
 * @internal
 */
export async function readSnapshot(store: Store, key: string): Promise<Result<Configuration, SnapshotError>> {
	const manifest = await readManifest(store, key);
	if (manifest.isErr()) {
		return err(manifest.error);
	}

	const buckets = new Map<number, readonly ConfiguredItem[]>();
	for (const chunkKey of manifest.value.chunks) {
		const chunk: Result<Chunk, SnapshotError> = await readPart(store, chunkKey, chunkSchema);
		if (chunk.isErr()) {
			return err(chunk.error);
		}

		for (const {index, items} of chunk.value) {
			buckets.set(index, items);
		}
	}

	return applyBucketUpdate(createConfiguration(), {...manifest.value, buckets})
		.mapErr((error): SnapshotError => ({type: 'damaged', reason: `${key} does not have the digest it names (${error.type})`}));
}

/**
 * Removes a snapshot that nothing refers to any more. What cannot be removed now stays as garbage of bounded size.
 *
 * @param store - The platform's store.
 * @param key - The manifest's key.
 * @returns When every removal was tried.
 * @internal
 */
export async function removeSnapshot(store: Store, key: string): Promise<void> {
	const manifest = await readManifest(store, key);
	const keys = manifest.isOk() ? [...manifest.value.chunks, key] : [key];
	await removeKeys(store, keys);
}

/**
 * Removes keys, whatever their revision.
 *
 * @param store - The platform's store.
 * @param keys - What to remove.
 * @returns When every removal was tried.
 * @internal
 */
export async function removeKeys(store: Store, keys: readonly string[]): Promise<void> {
	for (const key of keys) {
		// Pages and snapshots are written once, so revision 1 is the only one there can be.
		await store.write({key, value: undefined, expectedRevision: 1});
	}
}
