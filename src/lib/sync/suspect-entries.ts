/**
 * Keeps quarantined requests in the store, so that they outlive the end of all
 * nodes at once. Nodes tell one another faster; this is for those that start.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {type Fingerprint} from '../quarantine/fingerprint.js';
import {decodeSuspect, encodeSuspect, type SuspectRecord} from '../quarantine/suspect-record.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type Refusals} from '../timeline/refusals.js';
import {putLeased} from './put-leased.js';

/** @internal */
export type SuspectEntriesContext = {
	readonly store: Pick<MeshStore, 'putItem' | 'grantLease'>;
	readonly log: MeshLog;
	readonly refusals: Refusals;
	readonly random: () => number;
	/** Other nodes that are known now. */
	readonly countPeers: () => number;
	readonly listQuarantined: () => readonly SuspectRecord[];
	/** Told of what the store holds. */
	readonly handleRecords: (records: readonly SuspectRecord[]) => void;
};

/** @internal */
export type SuspectEntries = {
	/** Takes the entries as they stand, and writes some of those that are missing. */
	readonly reconcile: (items: readonly StoreItem[]) => void;
	/** Writes entries at once. */
	readonly write: (records: readonly SuspectRecord[]) => void;
	/** The store came back from a copy: what was written may be missing. */
	readonly handleRestored: () => void;
};

/** Where quarantined requests are kept. @internal */
export const suspectPrefix = 'stonemoor/crashing/';

/** An entry ends after this unless it is written anew. Milliseconds: the longest that stores grant; nodes that still hold the request write it again. */
const entryTtlMs = 600_000;

/** An entry that was written this long ago may be missing in a list that is a little old. Milliseconds. */
const rewriteDelayMs = 10_000;

/** Nodes that write a missing entry after a look of each, on average: one may fail. */
const expectedWriterCount = 2;

/** Entries that one look writes at the most: each is two calls on the store. */
const maxWriteCount = 4;

/**
 * @param context - The store and what is quarantined.
 * @returns Entries, none known yet.
 * @internal
 */
export function createSuspectEntries(context: SuspectEntriesContext): SuspectEntries {
	const {store, log, refusals, random, countPeers, listQuarantined, handleRecords} = context;
	const writtenAt = new Map<Fingerprint, number>();

	const decode = ({key, value}: StoreItem): SuspectRecord | undefined => {
		try {
			return decodeSuspect(JSON.parse(value), 'value');
		} catch (error) {
			refusals.note({
				kind: 'entry-refused', cause: 'unreadable', place: key, reason: `${(error as Error).message}; remove the entry`,
			});
			return undefined;
		}
	};

	const writeOne = async (record: SuspectRecord): Promise<void> => {
		writtenAt.set(record.fingerprint, readSteadyMs());
		const put = await putLeased(store, `${suspectPrefix}${record.fingerprint}`, JSON.stringify(encodeSuspect(record)), entryTtlMs);
		if (put.isErr()) {
			log.record('warn', {kind: 'quarantine-not-stored', fingerprint: record.fingerprint, reason: put.error});
		}
	};

	const write = (records: readonly SuspectRecord[]): void => {
		for (const record of records) {
			void writeOne(record);
		}
	};

	/** Forgets when those were written that are quarantined no more. */
	const removeOthers = (quarantined: ReadonlySet<Fingerprint>): void => {
		for (const fingerprint of writtenAt.keys()) {
			if (!quarantined.has(fingerprint)) {
				writtenAt.delete(fingerprint);
			}
		}
	};

	const isDue = ({fingerprint}: SuspectRecord): boolean =>
		readSteadyMs() - (writtenAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) > rewriteDelayMs && random() < expectedWriterCount / (countPeers() + 1);

	return {
		write,
		handleRestored() {
			writtenAt.clear();
		},
		reconcile(items) {
			const records = items.flatMap(item => decode(item) ?? []);
			handleRecords(records);
			const stored = new Set(records.map(({fingerprint}) => fingerprint));
			const quarantined = listQuarantined();
			removeOthers(new Set(quarantined.map(({fingerprint}) => fingerprint)));
			write(quarantined.filter(record => !stored.has(record.fingerprint) && isDue(record)).slice(0, maxWriteCount));
		},
	};
}
