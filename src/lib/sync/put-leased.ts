/**
 * Writes a key that ends by itself.
 *
 * @module
 */
import {err, type Result} from 'neverthrow';
import {type MeshStore} from '../store/mesh-store.js';
import {type StorePosition} from '../store/store-position.js';

/**
 * @param store - The store.
 * @param key - The key.
 * @param value - Its value.
 * @param ttlMs - Milliseconds until it ends.
 * @returns Where it was written, or why it may not have been.
 * @internal
 */
export async function putLeased(store: Pick<MeshStore, 'putItem' | 'grantLease'>, key: string, value: string, ttlMs: number): Promise<Result<StorePosition, string>> {
	const lease = await store.grantLease(ttlMs);
	if (lease.isErr()) {
		return err(`no lease: ${lease.error.type}`);
	}

	const put = await store.putItem(key, value, lease.value);
	return put.mapErr(({type}) => type);
}
