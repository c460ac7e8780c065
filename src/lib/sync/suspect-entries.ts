/**
 * Keeps quarantined requests in the store, so that they survive when all nodes
 * end at the same time. Running nodes learn of them faster through heartbeats; the
 * entries are for nodes that start.
 *
 * @module
 */
import {readSteadyMs} from '../common/clock.js';
import {parseShallowJson} from '../common/parse-shallow-json.js';
import {type Fingerprint} from '../quarantine/fingerprint.js';
import {decodeSuspect, encodeSuspect, type SuspectRecord} from '../quarantine/suspect-record.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {putLeased} from './put-leased.js';

/** @internal */
export type SuspectEntriesContext = {
	readonly store: Pick<MeshStore, 'putItem' | 'grantLease'>;
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	readonly random: () => number;
	/** Returns the number of other nodes that are known. */
	readonly countPeers: () => number;
	readonly listQuarantined: () => readonly SuspectRecord[];
	/** Called with the records from each list. */
	readonly handleRecords: (records: readonly SuspectRecord[]) => void;
};

/** @internal */
export type SuspectEntries = {
	/** Handles the listed entries, and writes some of the missing ones. */
	readonly reconcile: (items: readonly StoreItem[]) => void;
	/** Writes entries immediately. */
	readonly write: (records: readonly SuspectRecord[]) => void;
	/** Must be called when the store was restored from a backup, since entries may be missing. */
	readonly handleRestored: () => void;
};

/** Prefix of the keys of quarantined requests. @internal */
export const suspectPrefix = 'stonemoor/crashing/';

/** TTL of an entry: the longest that stores grant. After it, nodes that still quarantine the request write the entry again. */
const entryTtlMs = 600_000;

/** Time after a write in which a missing entry is not written again, since a stale list may not include it yet. */
const rewriteDelayMs = 10_000;

/** Average number of nodes that write a missing entry when each node has listed the store once. Two, since one may fail. */
const expectedWriterCount = 2;

/** Maximum number of entries written after one list; each takes two calls to the store. */
const maxWriteCount = 4;

/**
 * @param context - The store, the quarantined requests, and the handler of records.
 * @returns The entries of quarantined requests.
 * @internal
 */
export function createSuspectEntries(context: SuspectEntriesContext): SuspectEntries {
	const {store, log, refusals, random, countPeers, listQuarantined, handleRecords} = context;
	const writtenAt = new Map<Fingerprint, number>();

	const decode = ({key, value}: StoreItem): SuspectRecord | undefined => {
		try {
			return decodeSuspect(parseShallowJson(value, 'value'), 'value');
		} catch (error) {
			refusals.record({
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

	/** Removes the write times of requests that are no longer quarantined. */
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
