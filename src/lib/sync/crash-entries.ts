/**
 * Shares crashes of backend servers through the store, one entry per crash.
 * Heartbeats between nodes are faster, but a network partition blocks them:
 * each side would then count its own crashes, and a request could crash three
 * backend servers on each side. The nodes that reach the store enforce the limit
 * together, and still know the crashes after all nodes were killed at the same time.
 *
 * @module
 */
import {
	decodeCrashReport, encodeCrashReport, toSuspectRecords, type CrashReport,
} from '../quarantine/crash-report.js';
import {parseCrashKey, type SuspectRecord} from '../quarantine/suspect-record.js';
import {FieldError} from '../common/field-error.js';
import {type MeshStore, type StoreItem} from '../store/mesh-store.js';
import {type MeshLog} from '../timeline/mesh-log.js';
import {type RefusalLog} from '../timeline/refusal-log.js';
import {createOwnEntries} from './own-entries.js';

/** @internal */
export type CrashEntriesContext = {
	readonly store: Pick<MeshStore, 'putItem' | 'grantLease' | 'listItems'>;
	readonly log: MeshLog;
	readonly refusals: RefusalLog;
	/** Called with the records from the store, if there are any. */
	readonly handleRecords: (records: readonly SuspectRecord[]) => void;
};

/** @internal */
export type CrashEntries = {
	/** Handles the listed entries, and retries those of this node that are not written. */
	readonly reconcile: (items: readonly StoreItem[]) => void;
	/** Writes an entry, and lists those of other nodes immediately, since the next trial request may be sent before the next regular list. */
	readonly publish: (report: CrashReport) => Promise<void>;
	/** Must be called when the store was restored from a backup. Marks all entries of this node as not written. */
	readonly handleRestored: () => void;
};

/** Prefix of the keys of crash entries. @internal */
export const crashPrefix = 'stonemoor/crashes/';

/** TTL of an entry: the time for which nodes remember the requests in flight at a crash. */
const entryTtlMs = 60_000;

/**
 * @param context - The store, the logs, and the handler of records.
 * @returns The crash entries, with none of this node yet.
 * @internal
 */
export function createCrashEntries({store, log, refusals, handleRecords}: CrashEntriesContext): CrashEntries {
	const ownEntries = createOwnEntries(store, entryTtlMs);

	const decode = ({key, value}: StoreItem): readonly SuspectRecord[] => {
		try {
			const name = key.slice(crashPrefix.length);
			const crash = parseCrashKey(name);
			if (crash === undefined) {
				throw new FieldError('key', name, 'the key of a crash');
			}

			return toSuspectRecords(decodeCrashReport(crash, value, 'value'));
		} catch (error) {
			refusals.record({
				kind: 'entry-refused', cause: 'unreadable', place: key, reason: `${(error as Error).message}; remove the entry`,
			});
			return [];
		}
	};

	const handleItems = (items: readonly StoreItem[]): void => {
		const records = items.flatMap(item => decode(item));
		if (records.length > 0) {
			handleRecords(records);
		}
	};

	return {
		reconcile(items) {
			handleItems(items);
			ownEntries.retry();
		},
		async publish(report) {
			await ownEntries.write({
				key: `${crashPrefix}${report.crash}`,
				value: encodeCrashReport(report),
				handleFailure(reason) {
					log.record('warn', {kind: 'crash-not-stored', crash: report.crash, reason});
				},
			});
			const read = await store.listItems(crashPrefix, {mayBeStale: false});
			// If this list fails, the next regular one returns the entries.
			handleItems(read.map(({items}) => items).unwrapOr([]));
		},
		handleRestored: ownEntries.handleRestored,
	};
}
