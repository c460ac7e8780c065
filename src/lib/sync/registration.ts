/**
 * Keeps this node's address in the store, under a lease, and finds the
 * addresses of the others there. Only addresses are kept: whatever changes is
 * told by heartbeats.
 *
 * @module
 */
import {readSteadyMs, waitFor} from '../common/clock.js';
import {type Address, type NodeId} from '../common/ids.js';
import {type MeshStore, type StoreItem, type StoreItems} from '../store/mesh-store.js';
import {hasReached, type StoreLease, type StorePosition} from '../store/store-position.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type Refusals} from '../timeline/refusals.js';
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
	/** Whether others rely on what this node hears from the store. */
	readonly isFollowing: () => boolean;
	/** Other nodes that are known now. */
	readonly countPeers: () => number;
	/** Nodes that were heard once and have fallen silent. */
	readonly countSilent: () => number;
	/** Whether a node takes heartbeats at an address. */
	readonly isKnown: (address: Address) => boolean;
	readonly refusals: Refusals;
	/** Told of the addresses at which other nodes may listen. */
	readonly handleAddresses: (addresses: readonly Address[]) => void;
	/** Told of what else the mesh keeps in the store, each time that all of it was listed. */
	readonly handleOtherItems: (items: readonly StoreItem[]) => void;
};

/** @internal */
export type Registration = {
	readonly run: () => Promise<void>;
	/** Looks at the store soon: it may have lost this node's entry. All nodes do at once, so each waits for a moment of its own. */
	readonly checkSoon: () => void;
	/** Takes this node's address out of the store. */
	readonly withdraw: () => Promise<void>;
	readonly dispose: () => void;
};

/** Where the mesh keeps what lasts. It is listed whole: a second list would be a second call, and what stands beside the addresses is little. */
const meshPrefix = 'stonemoor/';

/** Where nodes keep their addresses. */
const nodePrefix = `${meshPrefix}nodes/`;

/** Milliseconds after which the address of a node that is gone disappears. */
const leaseTtlMs = 12_000;

/** Nodes that are listed at each look. In a larger mesh a node lists all others less often, and renews its lease in between: newcomers tell the others of themselves, so that a list only mends what was missed. */
const listedNodesPerCheck = 13;

/** Of so many looks at the least one lists and the others renew the lease, so that it is renewed every four seconds in the smallest mesh: two may fail before it ends. */
const minChecksPerList = 2;

/**
 * Milliseconds between two looks at the store. Most renew the lease, which costs no more than a stale read, shows whether the store is reached, and finds
 * the lease ended soon enough to put this node's entry back within two seconds.
 */
const relayCheckIntervalMs = 1000;

/** Milliseconds between two looks of a node on which nobody relies. */
const checkIntervalMs = 2000;

/** When all nodes write their entries anew, they do so over this many milliseconds for each node: two writes each, at the 400 a second that the users' smallest stores take. */
const jitterPerNodeMs = 5;

/** The same over all nodes at the most: entries have to be back within two seconds. */
const maxJitterMs = 1000;

/** Milliseconds between two tries to reach a store that does not answer. */
const retryDelayMs = 400;

/**
 * @param context - The store and who this is.
 * @returns The registration, not running yet.
 * @internal
 */
export function createRegistration(context: RegistrationContext): Registration {
	const {store, health, self, gossip, log, random, isFollowing, countPeers, countSilent, isKnown, refusals, handleAddresses, handleOtherItems} = context;
	const disposed = new AbortController();
	const key = `${nodePrefix}${self}`;
	const entries = createNodeEntryTracker({isKnown, refusals});
	/** The lease of the own entry, and where in the store's history the entry was written: a read from before it may miss the entry. */
	let ownEntry: {readonly lease: StoreLease; readonly writtenAt: StorePosition} | undefined;
	let checkCount = 0;
	let isWithdrawn = false;

	const register = async (reason: string): Promise<boolean> => {
		const granted = await store.grantLease(leaseTtlMs);
		if (granted.isErr()) {
			health.recordFailure('take a lease', describeError(granted.error));
			return false;
		}

		const put = await store.putItem(key, gossip, granted.value);
		if (isWithdrawn && put.isOk()) {
			// The node has withdrawn meanwhile, and there was no entry to take out yet.
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
		// A node that is shutting down has given its lease up meanwhile, and no other.
		if (!renewed.value && ownEntry === entry) {
			handleEntryLost('the store says that the lease has ended, or has come back from a copy');
		}

		return true;
	};

	const checkOwnEntry = ({items, position}: StoreItems): void => {
		if (ownEntry === undefined) {
			return;
		}

		if (position.era !== ownEntry.lease.era) {
			handleEntryLost('the store has come back from a copy');
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

	/** Ends the pause between two looks early. */
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

	/** What silent nodes would have told may stand in the store: a cut leaves no other way. */
	const countChecksPerList = (): number => countSilent() > 0 ? minChecksPerList : Math.max(minChecksPerList, Math.ceil((countPeers() + 1) / listedNodesPerCheck));

	const isListDue = (): boolean => checkCount % countChecksPerList() === 0;

	const checkStore = async (isFirst: boolean): Promise<boolean> => {
		const isDone = ownEntry === undefined || isListDue() ? await list(isFirst) : await renew(ownEntry);
		if (!isDone) {
			return false;
		}

		checkCount++;
		return ownEntry !== undefined || isWithdrawn || register(isFirst ? 'start' : 'the entry was gone');
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
