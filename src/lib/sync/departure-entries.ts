/**
 * Keeps the departures of backend servers in the store, one entry each, so that
 * a node that restarts knows what it has acknowledged, even if no other node does.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {computeDigest} from '../common/digest.js';
import {decodeDeparture, encodeDeparture, type Departure} from '../departures/departure.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {putLeased} from './put-leased.js';

/** @internal */
export type DepartureEntriesContext = {
	readonly store: Pick<MeshStore, 'putItem' | 'grantLease'>;
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	/** Called with the departures of each list, also if there are none. */
	readonly handleListed: (departures: readonly Departure[]) => void;
};

/** @internal */
export type DepartureEntries = {
	/** Handles the listed entries, and retries those of this node that are not written. */
	readonly reconcile: (items: readonly StoreItem[]) => void;
	/** Writes an entry. Resolves when the write has succeeded or failed. */
	readonly publish: (departure: Departure) => Promise<void>;
	/** Returns whether entries of this node are not known to be in the store. */
	readonly hasUnwritten: () => boolean;
	/** Must be called when the store was restored from a backup. Marks all entries of this node as not written. */
	readonly handleRestored: () => void;
};

/** Prefix of the keys of departures. @internal */
export const departurePrefix = 'stonemoor/departures/';

/** TTL of an entry: the longest that stores grant. A server that leaves runs for seconds, and its messages arrive seconds late. */
const entryTtlMs = 600_000;

/** An entry of this node. */
type OwnEntry = {readonly departure: Departure; readonly createdAt: number; isWriting: boolean; isWritten: boolean};

/** Computes the key of a departure. It contains a digest, since ids of servers may be as long as the longest key. */
const computeKey = (departure: Departure): string => `${departurePrefix}${computeDigest(JSON.stringify(encodeDeparture(departure)))}`;

/**
 * @param context - The store, the logs, and the handler of departures.
 * @returns The entries, with none of this node yet.
 * @internal
 */
export function createDepartureEntries({store, log, refusals, handleListed}: DepartureEntriesContext): DepartureEntries {
	const ownEntries = new Map<string, OwnEntry>();

	const decode = ({key, value}: StoreItem): readonly Departure[] => {
		try {
			return [decodeDeparture(JSON.parse(value), 'value')];
		} catch (error) {
			refusals.record({
				kind: 'entry-refused', cause: 'unreadable', place: key, reason: `${(error as Error).message}; remove the entry`,
			});
			return [];
		}
	};

	const write = async (key: string, entry: OwnEntry): Promise<void> => {
		const {departure} = entry;
		entry.isWriting = true;
		const put = await putLeased(store, key, JSON.stringify(encodeDeparture(departure)), entryTtlMs);
		entry.isWriting = false;
		entry.isWritten = put.isOk();
		if (put.isErr()) {
			log.record('warn', {kind: 'departure-not-stored', server: departure.lifetime.id, reason: put.error});
		}
	};

	const removeExpired = (now: number): void => {
		for (const [key, {createdAt}] of ownEntries) {
			if (now - createdAt > entryTtlMs) {
				ownEntries.delete(key);
			}
		}
	};

	return {
		reconcile(items) {
			handleListed(items.flatMap(item => decode(item)));
			removeExpired(readSteadyMs());
			for (const [key, entry] of ownEntries) {
				if (!entry.isWritten && !entry.isWriting) {
					void write(key, entry);
				}
			}
		},
		async publish(departure) {
			const key = computeKey(departure);
			const entry: OwnEntry = {
				departure, createdAt: readSteadyMs(), isWriting: false, isWritten: false,
			};
			ownEntries.set(key, entry);
			await write(key, entry);
		},
		hasUnwritten: () => [...ownEntries.values()].some(({isWritten}) => !isWritten),
		handleRestored() {
			for (const entry of ownEntries.values()) {
				entry.isWritten = false;
			}
		},
	};
}
