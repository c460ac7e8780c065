/**
 * Keeps the address of this node in the store, under a lease, and reads the
 * addresses of the other nodes from it. The store holds only addresses; nodes
 * send everything that changes in heartbeats.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type Address, type NodeId} from '../common/ids.js';
import {type MeshStore, type StoreItem, type StoreItems} from '../store/mesh-store.js';
import {hasReached, type StoreLease, type StorePosition} from '../store/store-position.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {createNodeEntryTracker} from './node-entry-tracker.js';
import {type StoreHealth} from './store-health.js';

/** @internal */
export type RegistrationContext = {
	readonly store: MeshStore;
	readonly health: StoreHealth;
	readonly self: NodeId;
	readonly gossip: Address;
	readonly log: MeshLog;
	readonly random: () => number;
	/** Returns whether this node watches the store for other nodes. */
	readonly isFollowing: () => boolean;
	/** Returns the number of other nodes that are known. */
	readonly countPeers: () => number;
	/** Returns the number of nodes whose heartbeats have stopped. */
	readonly countSilent: () => number;
	/** Returns whether a known node receives heartbeats at an address. */
	readonly isKnown: (address: Address) => boolean;
	readonly refusals: RefusalLog;
	/** Called after each list with the addresses of other nodes to contact. */
	readonly handleAddresses: (addresses: readonly Address[]) => void;
	/** Called after each list with the entries of the mesh other than those of nodes. */
	readonly handleOtherItems: (items: readonly StoreItem[]) => void;
};

/** @internal */
export type Registration = {
	/** Registers this node and keeps its entry until `dispose` is called. */
	readonly run: () => Promise<void>;
	/** Checks the store soon, since it may have lost the entry of this node. Waits for a random delay, since all nodes do this at the same time. */
	readonly checkSoon: () => void;
	/** Removes the entry of this node from the store, and stops registering it. */
	readonly withdraw: () => Promise<void>;
	readonly dispose: () => void;
};

/** Prefix of all keys of the mesh. All are listed in one call, since the entries other than addresses are few. */
const meshPrefix = 'stonemoor/';

/** Prefix of the keys with the addresses of nodes. */
const nodePrefix = `${meshPrefix}nodes/`;

/** TTL of a node's entry. The store removes the entry after this time if the node ends without withdrawing it. */
const leaseTtlMs = 12_000;

/**
 * Number of listed nodes per check, on average. In a larger mesh, a node lists the others less often and renews its lease in between: new nodes contact the others
 * themselves, so a list only recovers what was missed.
 */
const listedNodesPerCheck = 13;

/** Minimum number of checks per list. The other checks renew the lease, so it is renewed at least every four seconds, and two renewals may fail before it expires. */
const minChecksPerList = 2;

/**
 * Interval between checks of the store on a node that watches it for others. Most checks renew the lease, which costs no more than a stale read, shows whether the
 * store is reachable, and detects an expired lease early enough to rewrite the entry of this node within two seconds.
 */
const relayCheckIntervalMs = 1000;

/** Interval between checks on other nodes. */
const checkIntervalMs = 2000;

/** Jitter when all nodes may rewrite their entries at the same time, per node of the mesh. Each node needs two writes, and the smallest stores accept 400 writes per second. */
const jitterPerNodeMs = 5;

/** Upper bound of this jitter, since entries must be rewritten within two seconds. */
const maxJitterMs = 1000;

/** Delay before a retry after a failed call. */
const retryDelayMs = 400;

/**
 * @param context - The store, this node, and callbacks.
 * @returns The registration; `run` starts it.
 * @internal
 */
export function createRegistration(context: RegistrationContext): Registration {
	const {store, health, self, gossip, log, random, isFollowing, countPeers, countSilent, isKnown, refusals, handleAddresses, handleOtherItems} = context;
	const disposed = new AbortController();
	const key = `${nodePrefix}${self}`;
	const entries = createNodeEntryTracker({isKnown, refusals});
	/** Lease of the entry of this node, and the position of its write: a read from an earlier position may not include the entry. */
	let ownEntry: {readonly lease: StoreLease; readonly writtenAt: StorePosition} | undefined;
	let checkCount = 0;
	let isWithdrawn = false;

	const register = async (reason: string): Promise<boolean> => {
		const granted = await store.grantLease(leaseTtlMs);
		if (granted.isErr()) {
			health.recordFailure('grant a lease', describeError(granted.error));
			return false;
		}

		const put = await store.putItem(key, gossip, granted.value);
		if (isWithdrawn && put.isOk()) {
			// `withdraw` was called during the write, and had no entry to remove yet.
			await store.removeItem(key, put.value);
			return true;
		}

		if (put.isErr()) {
			health.recordFailure('register', describeError(put.error));
			return false;
		}

		ownEntry = {lease: granted.value, writtenAt: put.value};
		log.record('info', {kind: 'node-registered', reason});
		return true;
	};

	const handleEntryLost = (reason: string): void => {
		ownEntry = undefined;
		log.record('warn', {kind: 'lease-lost', reason});
	};

	const renew = async (entry: NonNullable<typeof ownEntry>): Promise<boolean> => {
		const renewed = await store.renewLease(entry.lease);
		if (renewed.isErr()) {
			health.recordFailure('renew the lease', renewed.error.reason);
			return false;
		}

		health.recordSuccess();
		// `withdraw` may have removed the entry during the call.
		if (!renewed.value && ownEntry === entry) {
			handleEntryLost('the lease has expired, or the store was restored from a backup');
		}

		return true;
	};

	const checkOwnEntry = ({items, position}: StoreItems): void => {
		if (ownEntry === undefined) {
			return;
		}

		if (position.era !== ownEntry.lease.era) {
			handleEntryLost('the store was restored from a backup');
			return;
		}

		const found = items.find(item => item.key === key);
		if (hasReached(position, ownEntry.writtenAt) && found?.value !== gossip) {
			handleEntryLost(found === undefined ? 'the entry of this node is missing' : 'another writer has changed the entry of this node');
		}
	};

	const list = async (isFirst: boolean): Promise<boolean> => {
		const read = await store.listItems(meshPrefix, {mayBeStale: !isFirst});
		if (read.isErr()) {
			health.recordFailure('list the nodes', read.error.reason);
			return false;
		}

		health.recordSuccess();
		checkOwnEntry(read.value);
		const {items, position} = read.value;
		handleAddresses(entries.update(items.filter(item => item.key.startsWith(nodePrefix) && item.key !== key), position.era, readSteadyMs()));
		handleOtherItems(items.filter(item => !item.key.startsWith(nodePrefix)));
		return true;
	};

	/** Aborts the pause before the next check. */
	let pauseAbort = new AbortController();
	let isCheckRequested = false;

	const waitForNextCheck = async (pauseMs: number): Promise<void> => {
		pauseAbort = new AbortController();
		if (!isCheckRequested) {
			await waitFor(pauseMs, pauseAbort.signal);
		}

		if (isCheckRequested) {
			isCheckRequested = false;
			await waitFor(random() * Math.min(maxJitterMs, jitterPerNodeMs * (countPeers() + 1)), disposed.signal);
		}
	};

	/** Returns the number of checks per list of the entries. It is lowest while heartbeats of some nodes are missing: during a network partition, these nodes can share data only through the store. */
	const countChecksPerList = (): number => countSilent() > 0 ? minChecksPerList : Math.max(minChecksPerList, Math.ceil((countPeers() + 1) / listedNodesPerCheck));

	const isListDue = (): boolean => checkCount % countChecksPerList() === 0;

	const checkStore = async (isFirst: boolean): Promise<boolean> => {
		const isDone = ownEntry === undefined || isListDue() ? await list(isFirst) : await renew(ownEntry);
		if (!isDone) {
			return false;
		}

		checkCount++;
		return ownEntry !== undefined || isWithdrawn || register(isFirst ? 'start' : 'the entry was missing');
	};

	return {
		async run() {
			let isFirst = true;
			while (!disposed.signal.aborted) {
				const isDone = await checkStore(isFirst);
				isFirst &&= !isDone;
				const pauseMs = isFollowing() ? relayCheckIntervalMs : checkIntervalMs;
				await waitForNextCheck((isDone ? pauseMs : retryDelayMs) * (0.9 + (0.2 * random())));
			}
		},
		checkSoon() {
			isCheckRequested = true;
			pauseAbort.abort();
		},
		async withdraw() {
			isWithdrawn = true;
			const entry = ownEntry;
			ownEntry = undefined;
			if (entry !== undefined) {
				await store.removeItem(key, entry.writtenAt);
			}
		},
		dispose() {
			disposed.abort();
			pauseAbort.abort();
		},
	};
}

function describeError(error: {readonly type: string; readonly reason?: string}): string {
	return error.reason === undefined ? error.type : `${error.type}: ${error.reason}`;
}
