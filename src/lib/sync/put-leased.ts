/**
 * Writes keys that expire.
 *
 * @module
 */
import {err, type Result} from 'neverthrow';
import {type MeshStore} from '../store/mesh-store.js';
import {type StorePosition} from '../store/store-position.js';

/**
 * Writes a key under a new lease.
 *
 * @param store - The store.
 * @param key - The key.
 * @param value - Its value.
 * @param ttlMs - TTL of the lease, in milliseconds.
 * @returns The position of the write, or the reason why the key may not have been written.
 * @internal
 */
export async function putLeased(store: Pick<MeshStore, 'putItem' | 'grantLease'>, key: string, value: string, ttlMs: number): Promise<Result<StorePosition, string>> {
	const lease = await store.grantLease(ttlMs);
	if (lease.isErr()) {
		return err(`the lease was not granted: ${lease.error.type}`);
	}

	const put = await store.putItem(key, value, lease.value);
	return put.mapErr(({type}) => type);
}
