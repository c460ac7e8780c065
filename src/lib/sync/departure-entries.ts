/**
 * Keeps the departures of backend servers in the store, one entry each, so that
 * a node that restarts knows what it has acknowledged, even if no other node does.
 *
 * @module
 */
import {computeDigest} from '../common/digest.js';
import {parseShallowJson} from '../common/parse-shallow-json.js';
import {decodeDeparture, encodeDeparture, type Departure} from '../departures/departure.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {createOwnEntries, type OwnEntries} from './own-entries.js';

/** @internal */
export type DepartureEntriesContext = {
	readonly store: Pick<MeshStore, 'putItem' | 'grantLease'>;
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	/** Called with the departures of each list, also if there are none. */
	readonly handleListed: (departures: readonly Departure[]) => void;
};

/** @internal */
export type DepartureEntries = Pick<OwnEntries, 'hasUnwritten' | 'handleRestored'> & {
	/** Handles the listed entries, and retries those of this node that are not written. */
	readonly reconcile: (items: readonly StoreItem[]) => void;
	/** Writes an entry. Resolves when the write has succeeded or failed. */
	readonly publish: (departure: Departure) => Promise<void>;
};

/** Prefix of the keys of departures. @internal */
export const departurePrefix = 'stonemoor/departures/';

/** TTL of an entry: the longest that stores grant. A server that leaves runs for seconds, and its messages arrive seconds late. */
const entryTtlMs = 600_000;

/** Computes the key of a departure. It contains a digest, since ids of servers may be as long as the longest key. */
const computeKey = (departure: Departure): string => `${departurePrefix}${computeDigest(JSON.stringify(encodeDeparture(departure)))}`;

/**
 * @param context - The store, the logs, and the handler of departures.
 * @returns The entries, with none of this node yet.
 * @internal
 */
export function createDepartureEntries({store, log, refusals, handleListed}: DepartureEntriesContext): DepartureEntries {
	const ownEntries = createOwnEntries(store, entryTtlMs);

	const decode = ({key, value}: StoreItem): readonly Departure[] => {
		try {
			return [decodeDeparture(parseShallowJson(value, 'value'), 'value')];
		} catch (error) {
			refusals.record({
				kind: 'entry-refused', cause: 'unreadable', place: key, reason: `${(error as Error).message}; remove the entry`,
			});
			return [];
		}
	};

	return {
		reconcile(items) {
			handleListed(items.flatMap(item => decode(item)));
			ownEntries.retry();
		},
		publish: async departure => ownEntries.write({
			key: computeKey(departure),
			value: JSON.stringify(encodeDeparture(departure)),
			handleFailure(reason) {
				log.record('warn', {kind: 'departure-not-stored', server: departure.lifetime.id, reason});
			},
		}),
		hasUnwritten: ownEntries.hasUnwritten,
		handleRestored: ownEntries.handleRestored,
	};
}
