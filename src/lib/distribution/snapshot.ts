/**
 * Writes, reads and removes snapshots: complete configurations in the store, split
 * into chunks below the platform's maximum value size.
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

/** Target size of a chunk, well below the platform's limit. A chunk ends before the bucket that would exceed it. */
const targetChunkBytes = maximumValueBytes / 2;

function createChunks(configuration: Configuration): readonly string[] {
	const chunks: string[] = [];
	let encodedBuckets: string[] = [];
	let size = 0;
	for (const [index, bucket] of configuration.tree.buckets.entries()) {
		if (bucket.entries.size === 0) {
			continue;
		}

		const encodedBucket = JSON.stringify({index, items: [...bucket.entries.values()].map(entry => entry.value)});
		if (size + encodedBucket.length > targetChunkBytes && encodedBuckets.length > 0) {
			chunks.push(`[${encodedBuckets.join(',')}]`);
			encodedBuckets = [];
			size = 0;
		}

		encodedBuckets.push(encodedBucket);
		size += encodedBucket.length;
	}

	return [...chunks, `[${encodedBuckets.join(',')}]`];
}

/**
 * @param configuration - The version and digest of the snapshot.
 * @returns The key of the manifest.
 * @internal
 */
export function getSnapshotKey(configuration: Pick<Configuration, 'version' | 'digest'>): string {
	return `stonemoor/snapshot/${configuration.version}-${configuration.digest}`;
}

/** Writes a key unless it exists. An existing key is a success, because the key identifies its content. */
async function writeOnce(store: Store, key: string, value: string): Promise<Result<void, StoreError>> {
	const written = await store.write({key, value, expectedRevision: 0});
	if (written.isOk() || written.error.type === 'conflict') {
		return ok();
	}

	return err(written.error);
}

/**
 * Writes a snapshot. This is idempotent: the same version has the same keys and content.
 *
 * @param store - The platform's store.
 * @param configuration - The configuration to write.
 * @returns The manifest's key after all chunks and the manifest are in the store.
 * @internal
 */
export async function writeSnapshot(store: Store, configuration: Configuration): Promise<Result<string, StoreError>> {
	const key = getSnapshotKey(configuration);
	const chunks = createChunks(configuration).map((value, index) => ({key: `${key}/${index}-${computeDigest(value).slice(0, 12)}`, value}));
	for (const chunk of chunks) {
		const written = await writeOnce(store, chunk.key, chunk.value);
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
	const written = await writeOnce(store, key, JSON.stringify(manifest));
	return written.map(() => key);
}

/** Why a snapshot could not be read. Nothing of it was applied. @internal */
export type SnapshotError = StoreReadError | {readonly type: 'damaged'; readonly reason: string};

async function readValue<T>(store: Store, key: string, schema: z.ZodType<T>): Promise<Result<T, SnapshotError>> {
	const stored = await store.read(key);
	return stored.andThen((value): Result<T, SnapshotError> => {
		if (value === undefined) {
			return err({type: 'damaged', reason: `${key} is missing`});
		}

		return parseJson(value.value, schema).mapErr((problem): SnapshotError => ({type: 'damaged', reason: `${key} ${problem}`}));
	});
}

async function readManifest(store: Store, key: string): Promise<Result<Manifest, SnapshotError>> {
	return readValue(store, key, manifestSchema);
}

/**
 * Reads a complete snapshot and verifies its digest.
 *
 * @param store - The platform's store.
 * @param key - The manifest's key.
 * @returns The configuration, or why it could not be read.
 * @internal
 */
export async function readSnapshot(store: Store, key: string): Promise<Result<Configuration, SnapshotError>> {
	const manifest = await readManifest(store, key);
	if (manifest.isErr()) {
		return err(manifest.error);
	}

	const buckets = new Map<number, readonly ConfiguredItem[]>();
	for (const chunkKey of manifest.value.chunks) {
		const chunk: Result<Chunk, SnapshotError> = await readValue(store, chunkKey, chunkSchema);
		if (chunk.isErr()) {
			return err(chunk.error);
		}

		for (const {index, items} of chunk.value) {
			buckets.set(index, items);
		}
	}

	return applyBucketUpdate(createConfiguration(), {...manifest.value, buckets})
		.mapErr((error): SnapshotError => ({type: 'damaged', reason: `the content of ${key} does not match the digest in its manifest (${error.type})`}));
}

/**
 * Removes a snapshot that is no longer referenced. Keys that cannot be removed remain in the store as unreferenced data of bounded size.
 *
 * @param store - The platform's store.
 * @param key - The manifest's key.
 * @returns A promise that resolves after every removal was tried.
 * @internal
 */
export async function removeSnapshot(store: Store, key: string): Promise<void> {
	const manifest = await readManifest(store, key);
	const keys = manifest.isOk() ? [...manifest.value.chunks, key] : [key];
	await removeKeys(store, keys);
}

/**
 * Removes keys that were written once.
 *
 * @param store - The platform's store.
 * @param keys - The keys to remove.
 * @returns A promise that resolves after every removal was tried.
 * @internal
 */
export async function removeKeys(store: Store, keys: readonly string[]): Promise<void> {
	for (const key of keys) {
		// Pages and snapshots are written only once, so their revision is always 1.
		await store.write({key, value: undefined, expectedRevision: 1});
	}
}
